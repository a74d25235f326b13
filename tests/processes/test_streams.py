"""Streamed answers while processes are killed, frozen or stopped.

Guards against missing or repeated text and against text of another stream.
"""

import signal
import threading

import pytest

from demo.caller import Caller, expected

TOKENS = 120
MESSAGES = [{"role": "user", "content": "Tell me all trips."}]


def _stream_with_fault(caller: Caller, fault) -> str:
    parts = []
    for number, text in enumerate(caller.stream(0, MESSAGES, "members", TOKENS)):
        parts.append(text)
        if number == 10:
            fault(_serving_upstream(caller))
    return "".join(parts)


def _serving_upstream(caller: Caller) -> str:
    serving = [n for n in ("guide-1", "guide-2") if caller.seen(n)["requests"]]
    assert len(serving) == 1
    return serving[0]


@pytest.mark.parametrize("process", ["agent-{}", "{}"])
def test_stream_goes_on_elsewhere_when_a_process_is_killed(caller, process):
    def kill(upstream: str) -> None:
        caller.system.signal(process.format(upstream), signal.SIGKILL)

    assert _stream_with_fault(caller, kill) == expected(MESSAGES, TOKENS)


def test_stream_goes_on_elsewhere_when_an_agent_is_frozen(caller):
    def freeze(upstream: str) -> None:
        caller.system.signal(f"agent-{upstream}", signal.SIGSTOP)

    assert _stream_with_fault(caller, freeze) == expected(MESSAGES, TOKENS)


def test_frozen_agent_that_wakes_sends_nothing_into_the_answer(caller):
    def freeze_and_wake(upstream: str) -> None:
        name = f"agent-{upstream}"
        caller.system.signal(name, signal.SIGSTOP)
        wake = threading.Timer(4.0, caller.system.signal, (name, signal.SIGCONT))
        wake.start()

    assert _stream_with_fault(caller, freeze_and_wake) == expected(MESSAGES, TOKENS)


def test_stopping_agent_ends_its_stream_itself(caller):
    stopped = []

    def stop(upstream: str) -> None:
        stopped.append(upstream)
        caller.system.signal(f"agent-{upstream}", signal.SIGTERM)

    assert _stream_with_fault(caller, stop) == expected(MESSAGES, TOKENS)
    assert caller.system.wait(f"agent-{stopped[0]}") == 0
    other = {"guide-1": "guide-2", "guide-2": "guide-1"}[stopped[0]]
    assert not caller.seen(other)["requests"]


def test_streams_at_once_never_mix(caller):
    texts: dict[int, str] = {}

    def stream(number: int) -> None:
        messages = [{"role": "user", "content": f"Trip {number}?"}]
        texts[number] = "".join(caller.stream(number % 2, messages, "members", 40))

    threads = [threading.Thread(target=stream, args=(n,)) for n in range(24)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for number, text in texts.items():
        messages = [{"role": "user", "content": f"Trip {number}?"}]
        assert text == expected(messages, 40)
    assert len(texts) == 24


def test_no_upstream_left_ends_the_stream_with_an_error(caller):
    def kill_all(upstream: str) -> None:
        for name in ("guide-1", "guide-2"):
            caller.system.signal(name, signal.SIGKILL)

    with pytest.raises(Exception, match="event: error"):
        _stream_with_fault(caller, kill_all)

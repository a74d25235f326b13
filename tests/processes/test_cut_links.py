"""Links between entries and agents that break, or go silent, tell the truth."""

import contextlib
import time
from collections.abc import Iterator
from threading import Timer

import pytest

from demo.caller import Caller, expected
from tests.processes.cable import Cable

TOKENS = 120
MESSAGES = [{"role": "user", "content": "Tell me all trips."}]


@pytest.fixture
def cables(caller) -> Iterator[dict[str, Cable]]:
    """Yield a cable to each agent, by upstream, that both entries use."""
    with contextlib.ExitStack() as closing:
        made = {}
        plan = caller.system.plan
        for item in (*plan["runners"], *plan["services"]):
            agent = f"agent-{item['name']}"
            cable = closing.enter_context(Cable(caller.system.ports[agent]))
            caller.system.ports[agent] = cable.port
            caller.system.list_instance(item["name"])
            made[item["name"]] = cable
        time.sleep(1.5)
        yield made


def _serving(caller: Caller) -> str:
    return next(n for n in ("guide-1", "guide-2") if caller.seen(n)["requests"])


@pytest.mark.parametrize("fault", ["cut", "silence"])
def test_stream_goes_on_elsewhere(caller, cables, fault):
    parts = []
    for number, text in enumerate(caller.stream(0, MESSAGES, "members", TOKENS)):
        parts.append(text)
        if number == 10:
            getattr(cables[_serving(caller)], fault)()
    assert "".join(parts) == expected(MESSAGES, TOKENS)


@pytest.mark.parametrize("fault", ["cut", "silence"])
def test_booking_over_a_broken_link_is_unknown_and_runs_once(caller, cables, fault):
    desks = ("desk-1", "desk-2")
    for desk in desks:
        caller.system.set_faults(desk, delay_s=1.5)
    caller.book(0, "warm", "clerks")
    timers = [Timer(0.5, getattr(cables[desk], fault)) for desk in desks]
    for timer in timers:
        timer.start()
    status, answer, _ = caller.book(0, "k1", "clerks")
    assert answer.get("outcome") == "unknown", (status, answer)
    for desk in desks:
        cables[desk].mend()
    again = _until_answered(caller, "k1")
    assert again[0] == 201
    assert sum(item["key"] == "k1" for item in caller.bookings()) == 1


def test_a_link_cut_before_the_call_means_not_run(caller, cables):
    for desk in ("desk-1", "desk-2"):
        cables[desk].cut()
    status, answer, _ = caller.book(0, "k1", "clerks")
    assert status in (502, 503)
    ran = any(item["key"] == "k1" for item in caller.bookings())
    assert not (answer["outcome"] == "not_run" and ran)
    for desk in ("desk-1", "desk-2"):
        cables[desk].mend()
    assert _until_answered(caller, "k1")[0] == 201
    assert sum(item["key"] == "k1" for item in caller.bookings()) == 1


def _until_answered(caller: Caller, key: str):
    limit = time.monotonic() + 20.0
    while True:
        answer = caller.book(1, key, "clerks")
        if answer[0] == 201 or time.monotonic() > limit:
            return answer
        time.sleep(0.2)

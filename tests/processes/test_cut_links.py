"""Links between entries and agents that are cut or go silent.

Streams continue at another upstream. A booking runs at most once, and its outcome is
never reported as not run if it ran.
"""

import contextlib
import time
from collections.abc import Iterator
from threading import Timer

import pytest

from demo.caller import Caller, expected
from tests.processes.link_proxy import LinkProxy

TOKENS = 120
MESSAGES = [{"role": "user", "content": "Tell me all trips."}]


@pytest.fixture
def proxies(caller) -> Iterator[dict[str, LinkProxy]]:
    """Yield the proxy in front of each agent, by upstream, for both entries."""
    with contextlib.ExitStack() as stack:
        by_upstream = {}
        plan = caller.system.plan
        for item in (*plan["runners"], *plan["services"]):
            agent = f"agent-{item['name']}"
            proxy = stack.enter_context(LinkProxy(caller.system.ports[agent]))
            caller.system.ports[agent] = proxy.port
            caller.system.list_instance(item["name"])
            by_upstream[item["name"]] = proxy
        time.sleep(1.5)
        yield by_upstream


def _serving_upstream(caller: Caller) -> str:
    return next(n for n in ("guide-1", "guide-2") if caller.seen(n)["requests"])


@pytest.mark.parametrize("fault", ["cut", "silence"])
def test_stream_goes_on_elsewhere(caller, proxies, fault):
    parts = []
    for number, text in enumerate(caller.stream(0, MESSAGES, "members", TOKENS)):
        parts.append(text)
        if number == 10:
            getattr(proxies[_serving_upstream(caller)], fault)()
    assert "".join(parts) == expected(MESSAGES, TOKENS)


@pytest.mark.parametrize("fault", ["cut", "silence"])
def test_booking_over_a_broken_link_is_unknown_and_runs_once(caller, proxies, fault):
    desks = ("desk-1", "desk-2")
    for desk in desks:
        caller.system.set_faults(desk, delay_s=1.5)
    caller.book(0, "warm", "clerks")
    timers = [Timer(0.5, getattr(proxies[desk], fault)) for desk in desks]
    for timer in timers:
        timer.start()
    status, answer, _ = caller.book(0, "k1", "clerks")
    assert answer.get("outcome") == "unknown", (status, answer)
    for desk in desks:
        proxies[desk].restore()
    again = _until_answered(caller, "k1")
    assert again[0] == 201
    assert sum(item["key"] == "k1" for item in caller.bookings()) == 1


def test_link_cut_before_a_booking_reports_a_true_outcome(caller, proxies):
    for desk in ("desk-1", "desk-2"):
        proxies[desk].cut()
    status, answer, _ = caller.book(0, "k1", "clerks")
    assert status in (502, 503)
    ran = any(item["key"] == "k1" for item in caller.bookings())
    assert not (answer["outcome"] == "not_run" and ran)
    for desk in ("desk-1", "desk-2"):
        proxies[desk].restore()
    assert _until_answered(caller, "k1")[0] == 201
    assert sum(item["key"] == "k1" for item in caller.bookings()) == 1


def _until_answered(caller: Caller, key: str):
    deadline = time.monotonic() + 20.0
    while True:
        answer = caller.book(1, key, "clerks")
        if answer[0] == 201 or time.monotonic() > deadline:
            return answer
        time.sleep(0.2)

"""Upstreams that name a limit of requests a second get no more than that."""

import random
import time
from itertools import pairwise

import gevent
import pytest
from gevent.pool import Pool

from standins.raw_upstream import Script, answering, event, reply, streaming
from tests.gateway.gateways import Gateway, gateway, route
from toucanspool.membership.entries import Entries
from toucanspool.membership.entry_record import EntryRecord
from toucanspool.platform.probes import Prober
from toucanspool.routing.routes import CallKind

# The platform allows this in any window, beyond which a limit counts as broken.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
CALL_GAP_S = 0.1
RUN_S = 6.0
STREAM = [route(CallKind.STREAM, resumable=True)]
AT_MOST_ONCE = [route(CallKind.AT_MOST_ONCE, max_attempts=1)]


def timed(script: Script, arrivals: list[float]) -> Script:
    """Return a script that records when each request arrives."""

    def timed_script(sock, seen):
        arrivals.append(time.monotonic())
        script(sock, seen)

    return timed_script


def limited(limit: str, body: bytes = b"answer", **options: object) -> Script:
    return answering(body, headers=f"Server-Limit: {limit}", **options)


def call_steadily(gw: Gateway, seconds: float, method: str = "GET") -> list[int]:
    """Make a call each `CALL_GAP_S`; return the statuses."""
    calls, statuses = Pool(), []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        calls.spawn(lambda: statuses.append(gw.call(method)[0]))
        gevent.sleep(CALL_GAP_S)
    calls.join(timeout=5.0)
    return statuses


def most_in_window(arrivals: list[float]) -> int:
    return max(sum(at <= t < at + WINDOW_S for t in arrivals) for at in arrivals)


def allowed(limit: float) -> float:
    return LIMIT_FACTOR * limit * WINDOW_S + EXTRA_REQUESTS


@pytest.mark.parametrize(
    "script",
    [
        limited("2.5"),
        limited("2.5", b"", status="503 Full", signed=False),
        limited("2.5", b"failed", status="500 Failed"),
    ],
)
def test_an_upstream_gets_no_more_requests_than_its_limit(script):
    arrivals = []
    with gateway(timed(script, arrivals)) as gw:
        call_steadily(gw, RUN_S)
    assert most_in_window(arrivals) <= allowed(2.5)


def test_streams_count_against_the_limit_that_their_head_names():
    arrivals = []
    stream = streaming([event(1)], headers="Server-Limit: 2")
    with gateway(timed(stream, arrivals), routes=STREAM) as gw:
        call_steadily(gw, RUN_S, "POST")
    assert most_in_window(arrivals) <= allowed(2.0)


def test_calls_that_a_limit_keeps_out_go_to_other_upstreams():
    with gateway(limited("1"), answering(b"other")) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        statuses = call_steadily(gw, RUN_S)
        seen = [len(upstream.seen) for upstream in gw.upstreams]
    assert set(statuses) == {200}
    assert seen[0] <= RUN_S + EXTRA_REQUESTS
    assert seen[1] >= len(statuses) - seen[0]


def test_a_call_that_no_limit_admits_is_rejected_at_once_with_a_time_that_holds():
    with gateway(limited("0.5"), routes=AT_MOST_ONCE) as gw:
        statuses = [gw.call("POST", body=b"book")[0] for _ in range(8)]
        started = time.monotonic()
        status, head, body = gw.call("POST", body=b"book")
        assert time.monotonic() - started < 0.2
        assert (status, statuses[0]) == (503, 200)
        assert b'"not_run"' in body
        _, _, retry_after = head.partition("Retry-After: ")
        gevent.sleep(float(retry_after.split("\r\n")[0]))
        assert gw.call("POST", body=b"book")[0] == 200


def test_callers_rejected_together_are_told_different_times():
    with gateway(limited("1"), routes=AT_MOST_ONCE) as gw:
        heads = [gw.call("POST", body=b"book")[1] for _ in range(12)]
    times = sorted(
        float(head.partition("Retry-After: ")[2].split("\r\n")[0])
        for head in heads
        if "Retry-After" in head
    )
    assert len(times) >= 6
    assert all(later - earlier >= 0.8 for earlier, later in pairwise(times))


def test_a_limit_ends_with_an_answer_that_names_none():
    def ending(sock, seen):
        names_limit = len(gw.upstreams[0].seen) < 4
        sock.sendall(reply(seen, headers="Server-Limit: 2" if names_limit else ""))

    with gateway(ending) as gw:
        call_steadily(gw, 3.0)
        gevent.sleep(0.5)
        assert set(call_steadily(gw, 1.0)) == {200}


def test_an_upstream_that_takes_nothing_is_asked_now_and_then():
    taking = []

    def script(sock, seen):
        sock.sendall(reply(seen, headers="" if taking else "Server-Limit: 0"))

    with gateway(script) as gw:
        call_steadily(gw, 2.0)
        assert len(gw.upstreams[0].seen) <= EXTRA_REQUESTS
        taking.append(True)
        with gevent.Timeout(15.0):
            while gw.call()[0] != 200:
                gevent.sleep(0.2)
        assert set(call_steadily(gw, 1.0)) == {200}


@pytest.mark.parametrize("value", ["", "-1", "inf", "nan", "many"])
def test_a_limit_that_cannot_be_read_limits_nothing(value):
    with gateway(limited(value)) as gw:
        assert set(call_steadily(gw, 1.0)) == {200}


def test_a_limit_that_cannot_be_read_ends_none():
    def script(sock, seen):
        first = len(gw.upstreams[0].seen) == 1
        sock.sendall(reply(seen, headers=f"Server-Limit: {'1' if first else 'many'}"))

    with gateway(script) as gw:
        call_steadily(gw, 3.0)
        # Clients of other test processes may still use the port of an earlier server.
        sent = [req for req in gw.upstreams[0].seen if "/p/x" in req.head]
        assert len(sent) <= 3.0 + EXTRA_REQUESTS


def test_what_another_instance_at_the_address_names_does_not_count():
    with gateway(
        limited("0", b"", status="421 Other", signed=False), answering(b"other")
    ) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        assert gw.call()[2] == b"other"
        assert gw.call()[2] == b"other"
        assert len(gw.upstreams[0].seen) == 2


def test_a_failure_is_passed_on_if_limits_keep_the_call_from_other_upstreams():
    failing = answering(b"failed", status="500 Failed")
    with gateway(limited("0"), failing) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        gw.call()
        gw.core._balancer.set_tie_offset(0.5)
        status, _, body = gw.call()
    assert (status, body) == (500, b"failed")


def test_health_checks_count_against_the_limit():
    with gateway(limited("0.2")) as gw:
        assert gw.call()[0] == 200
        prober = Prober(Entries(EntryRecord("e1", "", "")), gw.core, random.Random(1))
        for _ in range(3 * EXTRA_REQUESTS):
            prober._probe_upstream("u0")
        assert len(gw.upstreams[0].seen) <= EXTRA_REQUESTS

"""Second attempts at slow calls, as seen by callers and upstreams."""

import time
from contextlib import contextmanager

import gevent
import pytest
from structlog.testing import capture_logs

from standins.raw_upstream import answering, event, reply, streaming
from tests.gateway.gateways import Gateway, gateway, route
from tests.gateway.test_calls import rejecting, truncated_reply
from tests.gateway.test_evacuated_upstreams import place
from tests.gateway.test_stream import ALL, EVENTS, decode_chunks
from toucanspool.gateway import stream
from toucanspool.gateway.crash_watch import CHECK_DELAY_S, CrashWatch
from toucanspool.limits.memory_budget import MemoryBudget
from toucanspool.retries.ejection import FAILURES_TO_EJECT
from toucanspool.retries.hedging import HedgePolicy
from toucanspool.routing.routes import CallKind
from toucanspool.settings.hedging import Hedging

DELAY_S = 0.1
# Enough for a second attempt after the delay, and far from a slow answer.
SOON_S = 0.9
STREAM = [route(CallKind.STREAM, resumable=True)]
KINDS = [("desk", "r", size) for size in (0, 1, 2)]


def after(seconds, script):
    """Return a script that begins later."""

    def late(sock, seen):
        gevent.sleep(seconds)
        script(sock, seen)

    return late


class Hanging:
    """Hold requests, and tell when the gateway closes their connections."""

    def __init__(self, head: bytes = b"") -> None:
        self.closed_at: list[float] = []
        self._head = head

    def __call__(self, sock, seen):
        """Serve a request."""
        sock.sendall(self._head)
        try:
            while sock.recv(1):
                pass
        finally:
            self.closed_at.append(time.monotonic())


@contextmanager
def hedging_gateway(*scripts, calls=200, **options):
    """Run a gateway that knows fast calls and has earned second attempts.

    The first upstream is chosen first.
    """
    hedging = Hedging(ratio=0.1, min_delay_ms=DELAY_S * 1000)
    with capture_logs() as lines, gateway(*scripts, hedging=hedging, **options) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        gw.lines = lines
        policy, now = gw.core._relay.runner.policy, time.monotonic()
        for _ in range(calls):
            policy.record_call("desk", now)
            for kind in KINDS:
                policy.record_latency(kind, 0.01, now)
        yield gw
        gevent.sleep(0.02)
        assert [u.in_flight for u in gw.core.upstreams] == [0] * len(scripts)


def hedges(gw: Gateway) -> list[dict]:
    return [line for line in gw.lines if line["event"] == "second attempt"]


def declined(gw: Gateway) -> list[str]:
    return [x["reason"] for x in gw.lines if x["event"] == "no second attempt"]


def seen(gw: Gateway) -> list[int]:
    return [len(upstream.seen) for upstream in gw.upstreams]


def test_a_slow_call_is_answered_by_another_upstream_and_the_loser_closed_at_once():
    slow = Hanging()
    with hedging_gateway(slow, answering(b"second")) as gw, gevent.Timeout(SOON_S):
        status, _, body = gw.call()
        answered_at = time.monotonic()
        gevent.sleep(0.05)
        metrics = gw.core._metrics.render()
    assert (status, body) == (200, b"second")
    assert slow.closed_at[0] - answered_at < 0.2
    (line,) = hedges(gw)
    assert (line["upstream"], line["second_upstream"]) == ("u0", "u1")
    assert (line["winner"], line["after_ms"]) == ("second", 100)
    assert line["reason"] == "slower than 95.0 % of recent calls"
    sample = b'toucanspool_second_attempts_total{service="desk",winner="second"} 1.0'
    assert sample in metrics


def test_the_first_attempt_wins_if_it_answers_first():
    slow = Hanging()
    with hedging_gateway(after(2 * DELAY_S, answering(b"first")), slow) as gw:
        assert gw.call()[2] == b"first"
        gevent.sleep(0.05)
    assert len(slow.closed_at) == 1
    assert [line["winner"] for line in hedges(gw)] == ["first"]


def test_a_fast_call_gets_no_second_attempt():
    with hedging_gateway(answering(), answering()) as gw:
        assert gw.call()[0] == 200
        gevent.sleep(2 * DELAY_S)
        assert sum(seen(gw)) == 1


@pytest.mark.parametrize(
    "only_once",
    [
        route(CallKind.AT_MOST_ONCE, max_attempts=2),
        route(max_attempts=1),
        route(CallKind.STREAM, resumable=False),
    ],
)
def test_a_call_that_may_not_run_twice_gets_no_second_attempt(only_once):
    slow = after(3 * DELAY_S, answering(b"first"))
    with hedging_gateway(slow, answering(b"second"), routes=[only_once]) as gw:
        assert gw.call("POST", body=b"book")[0] == 200
        assert seen(gw) == [1, 0]


def test_without_its_section_nothing_is_hedged_measured_or_exported():
    slow = after(3 * DELAY_S, answering(b"first"))
    with gateway(slow, answering(b"second")) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        assert gw.call()[2] == b"first"
        assert gw.core._relay.runner.policy is None
        assert b"second_attempts" not in gw.core._metrics.render()


def test_it_can_be_switched_off_while_a_call_runs():
    with hedging_gateway(after(3 * DELAY_S, answering(b"first")), answering()) as gw:
        call = gevent.spawn(gw.call)
        gevent.sleep(DELAY_S / 2)
        gw.core.set_hedging(None)
        assert call.get()[0] == 200
        assert gw.call()[0] == 200
        assert len(hedges(gw)) <= 1


def test_a_stream_without_its_first_event_is_begun_by_another_upstream():
    with (
        hedging_gateway(Hanging(), streaming(EVENTS), routes=STREAM) as gw,
        gevent.Timeout(SOON_S),
    ):
        body = gw.call("POST", body=b"ask")[2]
    assert decode_chunks(body) == ALL + b"(end)"
    assert [line["winner"] for line in hedges(gw)] == ["second"]


def test_a_head_without_an_event_does_not_win():
    def head_only(sock, seen):
        streaming([], cut=True)(sock, seen)
        Hanging()(sock, seen)

    with (
        hedging_gateway(head_only, streaming(EVENTS), routes=STREAM) as gw,
        gevent.Timeout(SOON_S),
    ):
        assert decode_chunks(gw.call("POST", body=b"ask")[2]) == ALL + b"(end)"


def test_a_comment_without_an_event_does_not_win():
    """Guards against a stalled stream whose upstream sends comments."""

    def comments(sock, seen):
        streaming([b": wait\n\n"], cut=True)(sock, seen)
        Hanging()(sock, seen)

    with (
        hedging_gateway(comments, streaming(EVENTS), routes=STREAM) as gw,
        gevent.Timeout(SOON_S),
    ):
        assert decode_chunks(gw.call("POST", body=b"ask")[2]) == ALL + b"(end)"


def test_a_comment_before_the_first_event_is_passed_on():
    begun = streaming([b": wait\n\n", *EVENTS])
    with hedging_gateway(begun, streaming(EVENTS), routes=STREAM) as gw:
        body = decode_chunks(gw.call("POST", body=b"ask")[2])
    assert body == b": wait\n\n" + ALL + b"(end)"


def test_a_stream_whose_events_have_begun_gets_no_second_attempt():
    slow = streaming(EVENTS, gap_s=0.04)
    with hedging_gateway(slow, streaming(EVENTS), routes=STREAM) as gw:
        body = gw.call("POST", body=b"ask")[2]
        assert seen(gw) == [1, 0]
    assert decode_chunks(body) == ALL + b"(end)"


def test_a_caller_that_resumes_gets_no_event_twice_from_a_second_attempt():
    with hedging_gateway(Hanging(), streaming(EVENTS), routes=STREAM) as gw:
        _, _, body = gw.call("POST", headers="Last-Event-Id: 3", body=b"ask")
    assert decode_chunks(body) == b"".join(EVENTS[3:]) + b"(end)"
    assert hedges(gw)


def test_a_hedged_stream_that_breaks_off_is_resumed_within_its_attempts():
    broken = streaming(EVENTS[:2], cut=True)
    routes = [route(CallKind.STREAM, resumable=True, max_attempts=3)]
    scripts = (Hanging(), broken, streaming(EVENTS))
    with hedging_gateway(*scripts, routes=routes) as gw:
        body = gw.call("POST", body=b"ask")[2]
        assert sum(seen(gw)) == 3
    assert decode_chunks(body) == ALL + b"(end)"


def test_a_hedged_stream_that_breaks_off_is_not_resumed_beyond_its_attempts():
    broken = streaming(EVENTS[:2], cut=True)
    with hedging_gateway(Hanging(), broken, streaming(EVENTS), routes=STREAM) as gw:
        body = gw.call("POST", body=b"ask")[2]
        assert sum(seen(gw)) == 2
    assert decode_chunks(body) == b"".join(EVENTS[:2]) + b"(cut)"


def test_both_attempts_count_and_no_third_is_made():
    late = after(2 * DELAY_S, truncated_reply)
    with hedging_gateway(late, late, answering()) as gw:
        status, _, body = gw.call()
        assert sum(seen(gw)) == 2
    assert status == 502
    assert b'"unknown"' in body


def test_a_first_attempt_that_fails_leaves_the_call_to_the_second():
    first = after(2 * DELAY_S, truncated_reply)
    with hedging_gateway(first, after(2 * DELAY_S, answering(b"second"))) as gw:
        assert gw.call()[2] == b"second"
        assert seen(gw) == [1, 1]


@pytest.mark.parametrize("second", [truncated_reply, rejecting])
def test_a_second_attempt_that_fails_leaves_the_call_to_the_first(second):
    with hedging_gateway(after(3 * DELAY_S, answering(b"first")), second) as gw:
        assert gw.call()[2] == b"first"
        assert seen(gw) == [1, 1]


def test_a_server_error_does_not_win_against_an_answer():
    error = answering(b"no", status="500 Failed")
    with hedging_gateway(after(3 * DELAY_S, answering(b"first")), error) as gw:
        assert gw.call()[2] == b"first"


def test_a_server_error_is_passed_on_if_the_other_attempt_fails():
    error = answering(b"no", status="500 Failed")
    with hedging_gateway(after(3 * DELAY_S, truncated_reply), error) as gw:
        status, _, body = gw.call()
    assert (status, body) == (500, b"no")


def test_not_run_is_said_only_if_neither_attempt_may_have_run():
    late = after(2 * DELAY_S, rejecting)
    with hedging_gateway(late, late) as gw:
        status, _, body = gw.call()
        assert seen(gw) == [1, 1]
    assert status == 503
    assert b'"not_run"' in body
    with hedging_gateway(after(2 * DELAY_S, truncated_reply), late) as gw:
        assert b'"unknown"' in gw.call()[2]
    with hedging_gateway(late, after(2 * DELAY_S, truncated_reply)) as gw:
        assert b'"unknown"' in gw.call()[2]


def test_a_second_attempt_is_told_no_more_time_than_the_caller_has_left():
    routes = [route(timeout_s=0.3)]
    with hedging_gateway(Hanging(), Hanging(), routes=routes) as gw:
        with gevent.Timeout(SOON_S):
            assert gw.call()[0] == 504
        second = gw.upstreams[1].seen[0]
    assert int(second.header("toucanspool-deadline-ms")) <= 300 - DELAY_S * 1000
    assert [line["winner"] for line in hedges(gw)] == ["none"]


def test_both_connections_are_closed_as_the_caller_leaves():
    scripts = Hanging(), Hanging()
    with hedging_gateway(*scripts) as gw:
        sock = gw.send()
        gevent.sleep(2 * DELAY_S)
        assert seen(gw) == [1, 1]
        sock.close()
        gevent.sleep(0.05)
        assert [len(script.closed_at) for script in scripts] == [1, 1]
        assert not gw.core.ejector.ejected


def test_no_second_attempt_beyond_the_shared_retry_budget():
    with hedging_gateway(after(2 * DELAY_S, answering()), answering()) as gw:
        gw.core._budget.configure(ratio=0.0, window_s=10.0, extra=0.0)
        gw.call()
        assert seen(gw) == [1, 0]
    assert declined(gw) == ["the retry budget is used up"]


def test_a_second_attempt_withdraws_from_the_retry_budget_as_a_retry_does():
    with hedging_gateway(after(2 * DELAY_S, answering()), answering()) as gw:
        gw.core._budget.configure(ratio=2.0, window_s=10.0, extra=0.0)
        gw.call()
        assert hedges(gw)
        assert not gw.core._budget.try_withdraw("desk", time.monotonic())


def test_no_second_attempt_beyond_the_share_of_calls():
    with hedging_gateway(after(2 * DELAY_S, answering()), answering(), calls=30) as gw:
        gw.call()
        assert seen(gw) == [1, 0]
    assert declined(gw) == ["the share of second attempts is used up"]


def test_no_second_attempt_while_calls_are_refused():
    def slow_or_full(sock, request):
        script = (
            rejecting if request.body == b"big" else after(2 * DELAY_S, answering())
        )
        script(sock, request)

    with hedging_gateway(slow_or_full, slow_or_full) as gw:
        assert gw.call("POST", body=b"big")[0] == 503
        gw.call()
        assert not hedges(gw)
    assert declined(gw) == ["calls wait or were refused of late"]


def test_no_second_attempt_after_an_upstream_was_full():
    def slow_or_full(sock, request):
        script = (
            rejecting if request.body == b"big" else after(2 * DELAY_S, answering())
        )
        script(sock, request)

    with hedging_gateway(slow_or_full, answering()) as gw:
        assert gw.call("POST", body=b"big")[0] == 200
        gw.call()
        assert not hedges(gw)
    assert declined(gw) == ["calls wait or were refused of late"]


def test_no_second_attempt_while_streams_fill_their_room():
    slow = after(2 * DELAY_S, streaming(EVENTS))
    with hedging_gateway(slow, streaming(EVENTS), routes=STREAM) as gw:
        full_services = ["desk"]
        gw.core._relay.runner._is_full = full_services.__contains__
        gw.call("POST", body=b"ask")
        assert not hedges(gw)
    assert declined(gw) == ["calls wait or were refused of late"]


def test_a_loser_that_the_gateway_closes_is_no_crash_of_its_upstream():
    """Guards against a closed connection being taken for one that broke off."""
    with hedging_gateway(Hanging(), answering(b"second")) as gw:
        assert gw.call()[2] == b"second"
        gw.upstreams[0].crash()
        gevent.sleep(2 * CHECK_DELAY_S)
        assert b"toucanspool_upstream_crashes_total 0.0" in gw.core._metrics.render()


def test_a_crash_under_two_attempts_is_counted_once_for_the_upstream_that_crashed():
    def crashing(sock, request):
        gevent.sleep(2 * DELAY_S)
        gw.upstreams[0].crash()

    with hedging_gateway(crashing, after(4 * DELAY_S, answering(b"second"))) as gw:
        assert gw.call()[2] == b"second"
        gevent.sleep(2 * CHECK_DELAY_S)
        assert b"toucanspool_upstream_crashes_total 1.0" in gw.core._metrics.render()
    crashes = [line for line in gw.lines if line["event"] == "upstream crashed"]
    assert [(line["upstream"], line["number"]) for line in crashes] == [("u0", 1)]


@pytest.mark.parametrize("breaks", [0, 1])
def test_a_break_is_dated_by_its_own_attempt(monkeypatch, breaks):
    """Guards against a crash that is counted twice, or taken for an earlier one."""
    arrivals, sent_at = [], []

    def arriving(script):
        def arrive(sock, request):
            arrivals.append(time.monotonic())
            script(sock, request)

        return arrive

    scripts = [after(5 * DELAY_S, answering()), after(5 * DELAY_S, answering())]
    scripts[breaks] = after(2 * DELAY_S, truncated_reply)
    with hedging_gateway(*map(arriving, scripts)) as gw:
        monkeypatch.setattr(
            CrashWatch, "record_break", lambda self, *args: sent_at.append(args[2])
        )
        assert gw.call()[0] == 200
    began_at = [0.0, *arrivals]
    assert began_at[breaks] < sent_at[0] < began_at[breaks + 1]


def test_an_upstream_that_hangs_is_ejected_though_its_calls_are_answered_elsewhere():
    scripts = Hanging(), answering(), answering()
    with hedging_gateway(*scripts) as gw:
        for _ in range(FAILURES_TO_EJECT):
            gw.core._balancer.set_tie_offset(0.0)
            assert gw.call()[0] == 200
        assert gw.core.ejector.ejected == {"u0"}


def test_an_upstream_that_loses_now_and_then_is_not_ejected():
    count = 0

    def sometimes_slow(sock, request):
        nonlocal count
        count += 1
        gevent.sleep(2 * DELAY_S if count % 2 else 0.0)
        sock.sendall(reply(request))

    with hedging_gateway(sometimes_slow, answering()) as gw:
        for _ in range(8):
            assert gw.call()[0] == 200
        assert len(hedges(gw)) >= 3
        assert not gw.core.ejector.ejected


def test_times_that_were_cut_short_count_as_long_as_they_lasted(monkeypatch):
    """Guards against a delay that falls as more second attempts win."""
    recorded = []
    with hedging_gateway(Hanging(), answering()) as gw:
        monkeypatch.setattr(
            HedgePolicy,
            "record_latency",
            lambda self, kind, seconds, now: recorded.append(seconds),
        )
        gw.call()
    (seconds,) = recorded
    assert seconds >= DELAY_S


def test_a_first_event_of_a_stream_in_one_piece_with_others_comes_whole():
    def burst(sock, request):
        streaming([b"".join(EVENTS[:4]), EVENTS[4]])(sock, request)

    with hedging_gateway(after(2 * DELAY_S, burst), Hanging(), routes=STREAM) as gw:
        body = gw.call("POST", body=b"ask")[2]
    assert decode_chunks(body) == ALL + b"(end)"


def test_two_silent_streams_end_at_the_idle_time(monkeypatch):
    monkeypatch.setattr(stream, "STREAM_IDLE_TIMEOUT_S", 0.3)
    with hedging_gateway(Hanging(), Hanging(), routes=STREAM) as gw:
        with gevent.Timeout(1.0):
            assert gw.call("POST", body=b"ask")[0] == 502
        assert sum(seen(gw)) == 2


def test_a_slow_stream_that_nobody_can_resume_any_more_is_kept(monkeypatch):
    """Guards against cutting off the winner after the time of a first attempt."""
    monkeypatch.setattr(stream, "STREAM_IDLE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(stream, "LAST_ATTEMPT_IDLE_TIMEOUT_S", 1.0)

    def slow(sock, request):
        streaming(EVENTS[:1], cut=True)(sock, request)
        gevent.sleep(0.5)
        rest = b"".join(EVENTS[1:])
        sock.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(rest), rest))

    with hedging_gateway(Hanging(), slow, routes=STREAM) as gw:
        body = gw.call("POST", body=b"ask")[2]
        assert seen(gw) == [1, 1]
    assert decode_chunks(body) == ALL + b"(end)"


def test_events_are_numbered_as_the_caller_expects():
    # The last event's id is the winner's, so that a later break resumes after it.
    broken = streaming([event(1), event(2)], cut=True)
    routes = [route(CallKind.STREAM, resumable=True, max_attempts=3)]
    with hedging_gateway(Hanging(), broken, streaming(EVENTS), routes=routes) as gw:
        gw.call("POST", body=b"ask")
        resumed = [u for u in gw.upstreams if u.seen[0].header("last-event-id") == "2"]
        assert len(resumed) == 1


def test_a_second_attempt_stays_in_the_regions_of_its_call():
    """Guards against a call that runs in a region where it must not."""
    routes = [route(allowed_regions=frozenset({"north"}))]
    slow = after(3 * DELAY_S, answering(b"first"))
    with hedging_gateway(slow, answering(b"second"), routes=routes) as gw:
        gw.core.regions.replace({"one": "north", "two": "south"})
        place(gw, "one", "two")
        assert gw.call()[2] == b"first"
        assert seen(gw) == [1, 0]


@pytest.mark.parametrize("excess", [0, 1])
def test_a_reply_that_can_not_be_held_leaves_the_call_to_the_other_attempt(excess):
    """Guards against a refusal while an answer is ready or may still come."""
    scripts = [after(3 * DELAY_S, answering(b"small"))] * 2
    scripts[excess] = after(1.5 * DELAY_S, answering(b"x" * 100_000))
    with hedging_gateway(*scripts, memory=MemoryBudget(50_000)) as gw:
        status, _, body = gw.call()
        assert seen(gw) == [1, 1]
        assert not gw.core.ejector.ejected
    assert (status, body) == (200, b"small")


def test_a_loser_that_has_ended_is_closed_before_the_winning_stream_ends():
    """Guards against counting an ended attempt as long as the winning stream runs."""
    error = answering(b"no", status="500 Failed")
    slow = after(2 * DELAY_S, streaming(EVENTS, gap_s=1.5 * DELAY_S))
    with hedging_gateway(slow, error, routes=STREAM) as gw:
        call = gevent.spawn(gw.call, "POST", body=b"ask")
        gevent.sleep(4.5 * DELAY_S)
        assert seen(gw) == [1, 1]
        assert [gw.core.upstreams.find(u).in_flight for u in ("u0", "u1")] == [1, 0]
        assert decode_chunks(call.get()[2]) == ALL + b"(end)"

"""Streams are resumed without gaps, and broken streams don't look complete."""

import time
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

import gevent
import pytest

from standins.raw_upstream import event, reply, streaming
from tests.gateway.gateways import RESET, gateway, request, route
from toucanspool.gateway import stream
from toucanspool.routing.routes import CallKind
from toucanspool.settings.settings import RetryBudget

EVENTS = [event(number) for number in range(1, 6)]
ALL = b"".join(EVENTS)
STREAM = [route(CallKind.STREAM, resumable=True)]
UNRESUMABLE = [route(CallKind.STREAM, resumable=False, max_attempts=1)]


def decode_body(head: str, body: bytes) -> bytes:
    """Decode a body and mark whether it ends properly.

    A body without chunks ends with its connection, unless that is reset.
    """
    if "transfer-encoding: chunked" in head.lower():
        return decode_chunks(body)
    if body.endswith(RESET):
        return body.removesuffix(RESET) + b"(cut)"
    return body + b"(end)"


def decode_chunks(body: bytes) -> bytes:
    """Decode a chunked body and mark whether it ends properly."""
    decoded = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        if not size.strip() or size.startswith(b"("):
            return decoded + b"(cut)"
        length = int(size, 16)
        if not length:
            return decoded + b"(end)"
        decoded += rest[:length]
        body = rest[length + 2 :]
    return decoded + b"(cut)"


def test_events_come_whole_and_the_stream_ends():
    with gateway(streaming(EVENTS), routes=STREAM) as gw:
        status, head, body = gw.call("POST", body=b"ask")
    assert status == 200
    assert "text/event-stream" in head
    assert decode_chunks(body) == ALL + b"(end)"


def test_the_first_event_does_not_wait_for_the_second():
    with gateway(streaming(EVENTS, gap_s=0.2), routes=STREAM) as gw:
        sock = gw.send("POST", body=b"ask")
        with gevent.Timeout(0.5):
            assert b"piece 1" in sock.recv(4000) + sock.recv(4000)


def test_a_broken_stream_goes_on_at_another_upstream_with_no_gap_and_no_repeat():
    broken = streaming(EVENTS[:2], cut=True, partial=b"id: 3\nda")
    with gateway(broken, streaming(EVENTS), routes=STREAM) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        _, _, body = gw.call("POST", body=b"ask")
        assert gw.upstreams[1].seen[0].header("last-event-id") == "2"
    assert decode_chunks(body) == ALL + b"(end)"


def test_a_silent_stream_goes_on_elsewhere(monkeypatch):
    monkeypatch.setattr(stream, "STREAM_IDLE_TIMEOUT_S", 0.1)

    def silent(sock, seen):
        streaming(EVENTS[:2], cut=True)(sock, seen)
        gevent.sleep(30)

    with gateway(silent, streaming(EVENTS), routes=STREAM) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        assert decode_chunks(gw.call("POST", body=b"ask")[2]) == ALL + b"(end)"


def test_a_stream_without_framing_ends_with_its_connection():
    with gateway(streaming(EVENTS, framed=False), routes=STREAM) as gw:
        assert decode_body(*gw.call("POST", body=b"ask")[1:]) == ALL + b"(end)"


@pytest.mark.parametrize(
    ("events", "partial"), [(EVENTS[:2], b"id: 3\nda"), ([], b"id: 1"), ([], b"")]
)
def test_a_stream_without_framing_that_ends_inside_an_event_goes_on_elsewhere(
    events, partial
):
    broken = streaming(events, partial=partial, framed=False)
    with gateway(broken, streaming(EVENTS, framed=False), routes=STREAM) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        assert decode_body(*gw.call("POST", body=b"ask")[1:]) == ALL + b"(end)"


def test_a_stream_without_framing_goes_on_elsewhere_if_its_upstream_crashes():
    crashing = streaming(EVENTS[:2], framed=False)
    with gateway(crashing, streaming(EVENTS, framed=False), routes=STREAM) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        gw.upstreams[0].crashes = True
        body = decode_body(*gw.call("POST", body=b"ask")[1:])
    assert body == ALL + b"(end)"


def test_a_stream_without_framing_whose_upstream_crashes_does_not_look_complete():
    with gateway(streaming(EVENTS[:2], framed=False), routes=UNRESUMABLE) as gw:
        gw.upstreams[0].crashes = True
        body = decode_body(*gw.call("POST", body=b"ask")[1:])
    assert body == b"".join(EVENTS[:2]) + b"(cut)"


def test_a_stream_gets_no_framing_that_the_upstream_did_not_give():
    with gateway(streaming(EVENTS, framed=False), routes=STREAM) as gw:
        _, head, body = gw.call("POST", body=b"ask")
    assert "Transfer-Encoding" not in head
    assert body == ALL


def test_a_resumed_stream_without_framing_that_ends_at_once_does_not_look_complete():
    broken = streaming(EVENTS[:2], cut=True)
    with gateway(broken, streaming([], framed=False), routes=STREAM) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        body = decode_chunks(gw.call("POST", body=b"ask")[2])
    assert body == b"".join(EVENTS[:2]) + b"(cut)"


def test_a_stream_without_framing_that_is_reset_goes_on_elsewhere():
    def reset(sock, seen):
        streaming(EVENTS[:2], framed=False)(sock, seen)
        sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))

    with gateway(reset, streaming(EVENTS), routes=STREAM) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        assert decode_body(*gw.call("POST", body=b"ask")[1:]) == ALL + b"(end)"


def test_a_stream_without_framing_that_can_not_go_on_does_not_look_complete():
    broken = streaming(EVENTS[:2], partial=b"id: 3\nda", framed=False)
    with gateway(broken, routes=UNRESUMABLE) as gw:
        body = decode_body(*gw.call("POST", body=b"ask")[1:])
    assert body == b"".join(EVENTS[:2]) + b"(cut)"


def test_a_stream_that_can_not_go_on_does_not_look_complete():
    with gateway(streaming(EVENTS[:2], cut=True), routes=UNRESUMABLE) as gw:
        assert (
            decode_chunks(gw.call("POST", body=b"ask")[2])
            == b"".join(EVENTS[:2]) + b"(cut)"
        )


def test_a_stream_that_broke_before_its_first_event_is_answered_502():
    with gateway(streaming([], cut=True), routes=UNRESUMABLE) as gw:
        assert gw.call("POST", body=b"ask")[0] == 502


def failing(sock, seen):
    sock.sendall(reply(seen, b"whole failure", status="500 Failed")[:-4])


def test_a_failure_that_breaks_off_before_a_stream_is_answered_502():
    with gateway(failing, routes=UNRESUMABLE) as gw:
        status, _, body = gw.call("POST", body=b"ask")
    assert status == 502
    assert b'"unknown"' in body


def test_a_stream_is_asked_for_elsewhere_after_a_failure_that_breaks_off():
    with gateway(failing, streaming(EVENTS), routes=STREAM) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        assert decode_chunks(gw.call("POST", body=b"ask")[2]) == ALL + b"(end)"


def test_streams_add_to_the_retry_budget():
    with gateway(streaming(EVENTS), routes=STREAM) as gw:
        gw.core._budget.configure(ratio=0.5, window_s=10.0, extra=0.0)
        for _ in range(5):
            gw.call("POST", body=b"ask")
        now = time.monotonic()
        taken = [gw.core._budget.try_withdraw("desk", now) for _ in range(3)]
    assert taken == [True, True, False]


def test_a_caller_that_resumes_gets_the_rest():
    with gateway(streaming(EVENTS), routes=STREAM) as gw:
        _, _, body = gw.call("POST", headers="Last-Event-Id: 3", body=b"ask")
    assert decode_chunks(body) == b"".join(EVENTS[3:]) + b"(end)"


def test_a_stream_is_cut_at_its_routes_time():
    routes = [route(CallKind.STREAM, resumable=True, timeout_s=0.3)]
    with gateway(streaming(EVENTS, gap_s=0.1), routes=routes) as gw, gevent.Timeout(1):
        body = decode_chunks(gw.call("POST", body=b"ask")[2])
    assert body.endswith(b"(cut)")


def test_the_upstreams_stream_ends_as_the_caller_leaves():
    with gateway(streaming(EVENTS * 20, gap_s=0.02), routes=STREAM) as gw:
        sock = gw.send("POST", body=b"ask")
        sock.recv(100)
        sock.close()
        gevent.sleep(0.2)
        assert gw.upstreams[0].closed_early == 1
        assert gw.core.dispatcher.running == 0


def test_a_stream_that_breaks_off_is_reset_for_a_caller_without_chunks():
    with gateway(streaming(EVENTS[:2], cut=True), routes=UNRESUMABLE) as gw:
        ask = request("POST", body=b"ask").replace(b"HTTP/1.1", b"HTTP/1.0")
        assert gw.exchange(ask)[2] == b"".join(EVENTS[:2]) + RESET


def test_a_whole_stream_is_not_reset_for_a_caller_without_chunks():
    with gateway(streaming(EVENTS), routes=STREAM) as gw:
        ask = request("POST", body=b"ask").replace(b"HTTP/1.1", b"HTTP/1.0")
        assert gw.exchange(ask)[2] == ALL


def test_a_stream_that_only_sends_comments_goes_on_elsewhere(monkeypatch):
    """Guards against a stalled upstream that keeps its stream with comments."""
    monkeypatch.setattr(stream, "STREAM_IDLE_TIMEOUT_S", 0.2)

    def stalled(sock, seen):
        streaming(EVENTS[:2], cut=True)(sock, seen)
        for _ in range(100):
            sock.sendall(b"4\r\n:a\n\n\r\n")
            gevent.sleep(0.05)

    with gateway(stalled, streaming(EVENTS), routes=STREAM) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        with gevent.Timeout(2.0):
            body = decode_chunks(gw.call("POST", body=b"ask")[2])
    assert body.replace(b":a\n\n", b"") == ALL + b"(end)"


def test_a_slow_stream_that_can_not_go_on_elsewhere_is_not_given_up(monkeypatch):
    """Guards against cutting off a sound stream before its caller would give it up."""
    monkeypatch.setattr(stream, "STREAM_IDLE_TIMEOUT_S", 0.1)
    slow = streaming(EVENTS[:3], gap_s=0.2)
    with gateway(slow, streaming(EVENTS), routes=UNRESUMABLE) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        body = decode_chunks(gw.call("POST", body=b"ask")[2])
    assert body == b"".join(EVENTS[:3]) + b"(end)"


@pytest.mark.parametrize("first", [[], EVENTS[:2]])
def test_a_silent_stream_is_not_cut_off_if_the_retry_budget_is_used_up(
    monkeypatch, first
):
    """Guards against ending a stream sooner because another upstream might go on."""
    monkeypatch.setattr(stream, "STREAM_IDLE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(stream, "LAST_ATTEMPT_IDLE_TIMEOUT_S", 1.0)

    def pausing(sock, seen):
        streaming(first, cut=True)(sock, seen)
        gevent.sleep(0.5)
        for data in EVENTS[len(first) :]:
            sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
        sock.sendall(b"0\r\n\r\n")

    with gateway(pausing, streaming(EVENTS), routes=STREAM) as gw:
        gw.core.set_retry_budget(RetryBudget(ratio=0.0, window_s=10.0, extra=0.0))
        status, head, body = gw.call()
        assert (status, decode_body(head, body)) == (200, ALL + b"(end)")


def test_a_silent_stream_that_can_not_go_on_elsewhere_ends(monkeypatch):
    """Guards against streams that stall until the deadline of their call."""
    monkeypatch.setattr(stream, "LAST_ATTEMPT_IDLE_TIMEOUT_S", 0.2)

    def silent(sock, seen):
        streaming(EVENTS[:2], cut=True)(sock, seen)
        gevent.sleep(30)

    with gateway(silent, routes=UNRESUMABLE) as gw, gevent.Timeout(1.0):
        body = decode_chunks(gw.call("POST", body=b"ask")[2])
    assert body == b"".join(EVENTS[:2]) + b"(cut)"


def test_what_arrived_while_the_process_stood_still_is_read(monkeypatch):
    """Guards against giving up all streams of a process that was stopped."""
    monkeypatch.setattr(stream, "STREAM_IDLE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(stream, "LAST_ATTEMPT_IDLE_TIMEOUT_S", 0.2)

    def freezing(sock, seen):
        streaming(EVENTS[:3], cut=True)(sock, seen)
        gevent.sleep(0.05)
        sock.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENTS[3]), EVENTS[3]))
        # This process stands still, as one that is stopped by a signal.
        time.sleep(0.3)

    with gateway(freezing, routes=UNRESUMABLE) as gw:
        body = decode_chunks(gw.call("POST", body=b"ask")[2])
    assert body == b"".join(EVENTS[:4]) + b"(end)"

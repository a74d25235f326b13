"""Replies without end are given up early, at a bounded size."""

import time

import gevent
import pytest

from standins.raw_upstream import RawUpstream, answering, event, streaming, without_end
from tests.gateway.gateways import gateway, route
from toucanspool.routing.routes import CallKind

AT_MOST_ONCE = [route(CallKind.AT_MOST_ONCE, max_attempts=1, timeout_s=4.0)]
RETRYABLE = [route(timeout_s=4.0)]
STREAM = [route(CallKind.STREAM, resumable=True, timeout_s=4.0)]
EVENTS = [event(number) for number in range(1, 6)]
START = b"HTTP/1.1 200 OK\r\nToucanspool-Attempt-Id: a1\r\n"
START += b"Toucanspool-Server-Signature: s.1\r\n"
STREAM_START = START + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK_BYTES = 64 * 1024
# What a gateway reads of one reply, with the buffers of both sockets.
LIMIT_BYTES = 24 * 1024 * 1024
ANSWERED_WITHIN_S = 2.0

HEADS = {
    "headers": (START, b"X-More: 1\r\n" * (BLOCK_BYTES // 11)),
    "tiny headers": (START, b"a:\r\n" * (BLOCK_BYTES // 4)),
    "one header": (START + b"X-More: ", b"x" * BLOCK_BYTES),
    "interim replies": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000),
    "blank lines": (b"", b"\r\n" * (BLOCK_BYTES // 2)),
}
BODIES = {
    "no framing": (START + b"\r\n", b"x" * BLOCK_BYTES),
    "chunks": (START + CHUNKED, b"%x\r\n%s\r\n" % (BLOCK_BYTES, b"x" * BLOCK_BYTES)),
    "tiny chunks": (START + CHUNKED, b"1\r\nx\r\n" * (BLOCK_BYTES // 6)),
    "chunk extension": (START + CHUNKED + b"1;x=", b"x" * BLOCK_BYTES),
    "trailers": (START + CHUNKED + b"0\r\n", b"X-More: 1\r\n" * 6000),
    "tiny trailers": (START + CHUNKED + b"0\r\n", b"a:\r\n" * (BLOCK_BYTES // 4)),
    "length": (START + b"Content-Length: 999999999999\r\n\r\n", b"x" * BLOCK_BYTES),
}
REPLIES = HEADS | BODIES


@pytest.mark.parametrize("name", REPLIES)
def test_a_reply_without_end_is_given_up_early(name):
    endless = without_end(*REPLIES[name], limit_bytes=LIMIT_BYTES)
    with gateway(endless, routes=AT_MOST_ONCE) as gw, gevent.Timeout(ANSWERED_WITHIN_S):
        status, _, body = gw.call("POST", body=b"book")
        gevent.sleep(0.05)
        assert gw.upstreams[0].closed_early == 1
    assert status == 502
    assert b'"unknown"' in body


@pytest.mark.parametrize("name", REPLIES)
def test_a_call_goes_on_elsewhere_after_a_reply_without_end(name):
    endless = without_end(*REPLIES[name], limit_bytes=LIMIT_BYTES)
    with gateway(endless, answering(b"second"), routes=RETRYABLE) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        with gevent.Timeout(ANSWERED_WITHIN_S):
            assert gw.call()[2] == b"second"
        gevent.sleep(0.05)
        assert gw.upstreams[0].closed_early == 1


@pytest.mark.parametrize("framing", [b"\r\n", CHUNKED])
def test_a_stream_goes_on_elsewhere_after_an_event_without_end(framing):
    block = b"x" * BLOCK_BYTES
    if framing == CHUNKED:
        block = b"%x\r\n%s\r\n" % (BLOCK_BYTES, block)
    endless = without_end(STREAM_START + framing, block, limit_bytes=LIMIT_BYTES)
    with gateway(endless, streaming(EVENTS), routes=STREAM) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        with gevent.Timeout(ANSWERED_WITHIN_S):
            assert b"piece 5" in gw.call("POST", body=b"ask")[2]


@pytest.mark.parametrize(
    ("head", "block"),
    [
        (START, b"X-More: 1\r\n"),
        (START + b"X-More: ", b"x"),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"", b"\r\n"),
    ],
)
def test_a_slow_head_without_end_is_given_up_before_the_calls_time_is_over(head, block):
    endless = without_end(head, block, pause_s=0.05, limit_bytes=10_000)
    with gateway(endless, routes=AT_MOST_ONCE) as gw, gevent.Timeout(ANSWERED_WITHIN_S):
        assert gw.call("POST", body=b"book")[0] == 502


def test_a_stream_goes_on_elsewhere_after_a_slow_event_without_end():
    endless = without_end(STREAM_START + b"\r\n", b"x", pause_s=0.1, limit_bytes=9_000)
    with gateway(endless, streaming(EVENTS), routes=STREAM) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        with gevent.Timeout(3.0):
            assert b"piece 5" in gw.call("POST", body=b"ask")[2]


def test_a_late_answer_after_interim_replies_is_no_reply_without_end():
    def late(sock, seen):
        for _ in range(3):
            sock.sendall(b"HTTP/1.1 102 Processing\r\n\r\n")
            gevent.sleep(0.6)
        answering(b"late")(sock, seen)

    with gateway(late, routes=AT_MOST_ONCE) as gw:
        assert gw.call("POST", body=b"book")[2] == b"late"


def test_an_upstream_that_sends_replies_without_end_is_ejected():
    endless = without_end(*BODIES["no framing"], limit_bytes=LIMIT_BYTES)
    with gateway(endless, answering(), answering(), routes=RETRYABLE) as gw:
        for _ in range(12):
            assert gw.call()[2] == b"answer"
        assert gw.core.ejector.ejected == {"u0"}


def test_a_large_reply_within_the_bounds_comes_whole():
    body = b"x" * (6 * 1024 * 1024)
    with gateway(answering(body), routes=AT_MOST_ONCE) as gw:
        assert gw.call("POST", body=b"book")[2] == body


def test_other_calls_are_served_while_replies_without_end_are_read():
    endless = without_end(*BODIES["no framing"], limit_bytes=LIMIT_BYTES)
    with gateway(endless, routes=AT_MOST_ONCE) as gw:
        calls = [gevent.spawn(gw.call, "POST", body=b"book") for _ in range(8)]
        gevent.sleep(0.01)
        before = time.monotonic()
        assert gw.call(path="/other/x")[0] == 404
        assert time.monotonic() - before < 0.5
        gevent.joinall(calls, timeout=5.0)


def test_a_raw_upstream_tells_of_an_endless_reply_that_is_read():
    with RawUpstream(without_end(b"", b"x" * 1000, limit_bytes=10_000)) as upstream:
        sock = gevent.socket.create_connection(("127.0.0.1", upstream.port))
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert len(sock.makefile("rb").read()) == 10_000
        assert upstream.closed_early == 0

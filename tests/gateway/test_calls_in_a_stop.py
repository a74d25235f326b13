"""Calls that wait, or are being tried, as a gateway stops."""

import time
from contextlib import contextmanager

import gevent
import orjson
import pytest
from gevent import socket
from gevent.event import Event

from standins.raw_upstream import answering, event
from tests.gateway.gateways import Gateway, gateway, request, route
from tests.gateway.test_hedged_attempt import Hanging, hedging_gateway
from toucanspool.gateway.draining import drain
from toucanspool.routing.routes import CallKind

ROUTES = {
    "at most once": route(CallKind.AT_MOST_ONCE, max_attempts=1),
    "idempotent": route(),
    "stream": route(CallKind.STREAM, resumable=True),
}
LATE_S = 0.05
ARRIVAL_TIMEOUT_S = 1.0
KEPT = request("POST", body=b"ask").replace(b"Connection: close\r\n", b"")


class FullLimiter:
    """Let calls wait until there is room."""

    capacity, running, waiting = 1.0, 1, 0

    def __init__(self) -> None:
        self.room = Event()

    @contextmanager
    def hold(self, team, urgency):
        """Wait for room."""
        self.room.wait()
        yield


def waiting_call(gw: Gateway) -> tuple[gevent.Greenlet, FullLimiter]:
    """Return a call that waits for admission, and what it waits for."""
    limiter = FullLimiter()
    gw.core.dispatcher._find_limiter = lambda service: limiter
    call = gevent.spawn(gw.call, "POST", body=b"ask")
    with gevent.Timeout(ARRIVAL_TIMEOUT_S):
        while gw.core.dispatcher.running != 1:
            gevent.sleep(0.001)
    return call, limiter


def check_idle(gw: Gateway) -> None:
    """Check that nothing is left of a call."""
    gevent.sleep(LATE_S)
    assert gw.core.dispatcher.running == 0
    assert all(upstream.in_flight == 0 for upstream in gw.core.upstreams)


@pytest.mark.parametrize("kind", ROUTES)
def test_a_call_that_waited_is_refused_if_it_may_outlast_the_stop(kind):
    """Guards against late calls that were on time as they arrived."""
    with gateway(answering(), routes=[ROUTES[kind]]) as gw:
        call, limiter = waiting_call(gw)
        stop = gw.core.dispatcher.graceful_stop
        stop.begin(time.monotonic(), open_s=0.0, time_s=1.0)
        limiter.room.set()
        status, _, body = call.get(timeout=1.0)
        assert (status, orjson.loads(body)["outcome"]) == (503, "not_run")
        assert not gw.upstreams[0].seen
        check_idle(gw)


@pytest.mark.parametrize("kind", ROUTES)
def test_a_call_that_waited_is_served_if_it_ends_before_the_process(kind):
    with gateway(answering(), routes=[ROUTES[kind]]) as gw:
        call, limiter = waiting_call(gw)
        stop = gw.core.dispatcher.graceful_stop
        stop.begin(time.monotonic(), open_s=0.0, time_s=60.0)
        limiter.room.set()
        assert call.get(timeout=1.0)[0] == 200


@pytest.mark.parametrize("kind", ROUTES)
def test_a_call_that_waits_as_the_process_ends_is_told_that_it_was_not_run(kind):
    with gateway(answering(), routes=[ROUTES[kind]]) as gw:
        call, _ = waiting_call(gw)
        gw.core.dispatcher.graceful_stop.end_unanswered()
        status, _, body = call.get(timeout=1.0)
        assert (status, orjson.loads(body)["outcome"]) == (503, "not_run")
        check_idle(gw)


@pytest.mark.parametrize("head", [b"", b"HTTP/1.1 200 OK\r\n"])
@pytest.mark.parametrize("hedged", [True, False])
@pytest.mark.parametrize("kind", ROUTES)
def test_a_call_without_an_answer_as_the_process_ends_is_unknown(kind, hedged, head):
    """Guards against connections that are closed without a word, and work left over."""
    hanging = Hanging(head)
    run = hedging_gateway if hedged else gateway
    with run(hanging, hanging, routes=[ROUTES[kind]]) as gw:
        call = gevent.spawn(gw.call, "POST", body=b"ask")
        # A second attempt follows after 0.1 s.
        gevent.sleep(0.2)
        gw.core.dispatcher.graceful_stop.end_unanswered()
        status, _, body = call.get(timeout=1.0)
        assert (status, orjson.loads(body)["outcome"]) == (504, "unknown")
        check_idle(gw)
        sent = sum(len(upstream.seen) for upstream in gw.upstreams)
        assert len(hanging.closed_at) == sent == 1 + (hedged and kind != "at most once")


def test_a_stream_that_has_begun_goes_on_as_the_last_calls_are_given_up():
    """Guards against exceptions in the middle of a stream."""

    def slow(sock, seen):
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Toucanspool-Attempt-Id: a1\r\nToucanspool-Server-Signature: s\r\n"
            b"Content-Length: %d\r\n\r\n" % (2 * len(event(1)))
        )
        sock.sendall(event(1))
        gevent.sleep(0.3)
        sock.sendall(event(2))

    with gateway(slow, routes=[ROUTES["stream"]]) as gw:
        call = gevent.spawn(gw.call, "POST", body=b"ask")
        gevent.sleep(0.1)
        gw.core.dispatcher.graceful_stop.end_unanswered()
        status, _, body = call.get(timeout=1.0)
        assert status == 200
        assert b"piece 2" in body
        assert body.endswith(b"0\r\n\r\n")
        check_idle(gw)


def kept_connection(gw: Gateway) -> socket.socket:
    """Return a connection that has served a call and is kept."""
    sock = gw.connect()
    sock.sendall(KEPT)
    assert b"Connection: close" not in sock.recv(4096)
    return sock


def test_kept_connections_are_closed_before_the_process_ends():
    """Guards against connections that stay open while nobody reads them any more.

    A busy machine takes half a second from the last call to the end of the process.
    """
    with gateway(answering(), routes=[ROUTES["at most once"]]) as gw:
        used, new = kept_connection(gw), gw.connect()
        drain(gw.server, gw.core.dispatcher, address_life_s=0.0, grace_s=2.0)
        for sock in (used, new):
            sock.settimeout(0.0)
            assert sock.recv(1) == b""


@pytest.mark.parametrize("kept", [True, False])
def test_a_call_that_crosses_the_close_is_refused_if_it_has_arrived(kept):
    """Guards against calls that arrive while the last ones end, and get no answer."""
    with gateway(answering(), routes=[ROUTES["at most once"]]) as gw:
        sock = kept_connection(gw) if kept else gw.connect()
        gevent.sleep(LATE_S)
        gw.core.dispatcher.draining = True
        sock.sendall(KEPT)
        gw.server.close_idle(1.0)
        assert b"HTTP/1.1 503 " in sock.recv(4096)
        assert len(gw.upstreams[0].seen) == kept

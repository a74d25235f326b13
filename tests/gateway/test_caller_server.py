"""Limits on the request head and on idle connections."""

import gevent
import pytest
from structlog.testing import capture_logs

from standins.raw_upstream import answering
from tests.gateway.gateways import gateway, request
from toucanspool.wire.request_limits import RequestLimits

SMALL = RequestLimits(max_header_bytes=600, header_timeout_s=0.3, idle_timeout_s=0.6)


def _read_all(sock) -> bytes:
    data = b""
    while block := sock.recv(65536):
        data += block
    return data


def test_a_head_within_the_limit_is_served():
    with gateway(answering(), limits=SMALL) as gw:
        status, _, body = gw.call(headers=f"X-Long: {'x' * 300}")
    assert (status, body) == (200, b"answer")


@pytest.mark.parametrize(
    "headers",
    [
        pytest.param(f"X-Long: {'x' * 600}", id="one long header"),
        pytest.param(
            "\r\n".join(f"X-{n}: {'x' * 20}" for n in range(30)), id="many headers"
        ),
    ],
)
def test_a_head_over_the_limit_is_answered_431_and_not_run(headers):
    with capture_logs() as lines, gateway(answering(), limits=SMALL) as gw:
        status, head, _ = gw.call(headers=headers)
        assert gw.upstreams[0].seen == []
    assert status == 431
    assert "Connection: close" in head
    assert [x["status"] for x in lines if x["event"] == "request not read"] == [431]


def test_more_headers_than_the_library_reads_are_answered_431():
    headers = "\r\n".join(f"X-{n}: 1" for n in range(200))
    with gateway(answering()) as gw:
        assert gw.call(headers=headers)[0] == 431


def test_a_head_that_trickles_is_answered_408_in_time():
    with capture_logs() as lines, gateway(answering(), limits=SMALL) as gw:
        sock = gw.connect()
        with gevent.Timeout(2.0):
            sock.sendall(b"GET /p/x HTTP/1.1\r\n")
            for _ in range(4):
                gevent.sleep(0.05)
                sock.sendall(b"X-A: 1\r\n")
            assert _read_all(sock).startswith(b"HTTP/1.1 408 ")
    assert [x["status"] for x in lines if x["event"] == "request not read"] == [408]


def test_a_kept_connection_may_rest_longer_than_a_head_may_take():
    with gateway(answering(), limits=SMALL) as gw:
        sock = gw.connect()
        asked = request("GET").replace(b"Connection: close", b"Connection: keep-alive")
        for _ in range(2):
            sock.sendall(asked)
            with gevent.Timeout(2.0):
                assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")
            gevent.sleep(SMALL.header_timeout_s * 1.3)


def test_an_idle_connection_is_closed_without_an_answer():
    with gateway(answering(), limits=SMALL) as gw:
        sock = gw.connect()
        with gevent.Timeout(2.0):
            assert _read_all(sock) == b""


def test_two_lengths_are_answered_400_and_logged():
    with capture_logs() as lines, gateway(answering(), limits=SMALL) as gw:
        status, _, _ = gw.call("POST", headers="Content-Length: 9", body=b"order")
        assert gw.upstreams[0].seen == []
    assert status == 400
    (line,) = [x for x in lines if x["event"] == "request not read"]
    assert "more than one length" in line["reason"]


def test_connections_in_the_accept_queue_are_served_before_the_port_closes():
    """Guards against resets of connections that the kernel has accepted."""
    with gateway(answering()) as gw:
        gw.server.stop_accepting()
        waiting = [gw.send() for _ in range(3)]
        gevent.sleep(0.05)
        gw.server.finish_accepting()
        for sock in waiting:
            assert b"200 OK" in _read_all(sock)
        with pytest.raises(ConnectionRefusedError):
            gw.connect()


def test_the_last_reply_is_not_lost_to_requests_that_are_pipelined_behind_it():
    """Guards against a reset by unread bytes, which discards a reply in transit."""
    ask = request("POST", body=b"x").replace(b"Connection: close\r\n", b"")
    with gateway(answering()) as gw:
        gw.server.closing = True
        sock = gw.connect()
        sock.sendall(ask)
        gevent.spawn(sock.sendall, request("POST", body=b"y" * 1_000_000))
        gevent.sleep(0.2)
        data = _read_all(sock)
        assert len(gw.upstreams[0].seen) == 1
    assert data.count(b"200 OK") == 1
    assert b"Connection: close" in data


@pytest.mark.parametrize("cut", [40, -2])
def test_a_request_that_is_refused_half_read_may_come_back_soon(cut):
    """Guards against refusals as not run that don't say when to come back."""
    with gateway(answering()) as gw, gw.connect() as sock:
        sock.sendall(request("POST", body=b"seat")[:cut])
        gevent.sleep(0.05)
        gw.server.refuse_unread()
        reply = sock.recv(4096)
        assert reply.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 0.050\r\n" in reply

"""A gateway that stops answers every request that it has accepted."""

import signal
import time

import gevent
import orjson
import pytest
from gevent import socket

from standins.raw_upstream import answering
from tests.gateway.gateways import request
from tests.processes.test_gateway import gateway

LARGE = b"x" * (6 * 1024 * 1024)
GRACE_S = 4.0


def connect(one) -> socket.socket:
    return socket.create_connection(("127.0.0.1", one.callers), timeout=5.0)


def read_all(sock) -> tuple[int, bytes, bytes]:
    """Return status, head and body of a reply that ends with its connection."""
    data = b""
    while block := sock.recv(65536):
        data += block
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]) if head else 0, head, body


def test_kept_connections_are_told_to_close_from_the_signal_on(tmp_path):
    """Guards against callers that keep a connection until it is cut off."""
    with gateway(tmp_path, answering()) as one:
        sock = connect(one)
        ask = request("POST", path="/book/x", body=b"seat")
        kept = ask.replace(b"Connection: close\r\n", b"")
        sock.sendall(kept)
        assert b"Connection: close" not in sock.recv(65536)
        one.process.send_signal(signal.SIGTERM)
        gevent.sleep(0.2)
        sock.sendall(kept)
        status, head, body = read_all(sock)
        assert (status, body) == (200, b"answer")
        assert b"Connection: close" in head


@pytest.mark.parametrize("path", ["/book/x", "/p/x"])
def test_a_request_that_is_half_read_is_answered(tmp_path, path):
    """Guards against closing the connection of a request whose body still arrives."""
    with gateway(tmp_path, answering()) as one:
        slow, stuck = connect(one), connect(one)
        ask = request("POST", path=path, body=b"seat")
        slow.sendall(ask[:-2])
        stuck.sendall(ask[:-2])
        gevent.sleep(0.1)
        one.process.send_signal(signal.SIGTERM)
        started = time.monotonic()
        gevent.sleep(1.5)
        slow.sendall(ask[-2:])
        status, head, body = read_all(slow)
        assert (status, orjson.loads(body)["outcome"]) == (503, "not_run")
        assert b"Connection: close" in head
        # Its body never comes, so it is refused as the grace period ends.
        assert read_all(stuck)[0] == 503
        assert one.process.wait(timeout=5) == 0
        assert time.monotonic() - started < GRACE_S


def test_a_reply_to_a_slow_reader_is_not_cut_off(tmp_path):
    """Guards against stopping while the end of a reply is still being written."""
    with gateway(tmp_path, answering(LARGE)) as one:
        sock = connect(one)
        sock.sendall(request("POST", path="/book/x", body=b"seat"))
        gevent.sleep(0.5)
        one.process.send_signal(signal.SIGTERM)
        gevent.sleep(1.5)
        status, _, body = read_all(sock)
        assert (status, len(body)) == (200, len(LARGE))
        assert one.process.wait(timeout=5) == 0


def test_callers_with_an_old_address_are_refused_and_not_cut_off(tmp_path):
    """Guards against closing the port while callers may still use the address."""
    with gateway(tmp_path, answering()) as one:
        one.write_settings(address_ttl_s=1.0)
        one.process.send_signal(signal.SIGHUP)
        gevent.sleep(0.5)
        one.process.send_signal(signal.SIGTERM)
        # Three times the TTL is 3 s, and new calls are refused after half the grace.
        gevent.sleep(2.5)
        status, body = one.send(request("POST", path="/book/x", body=b"seat"))
        assert (status, orjson.loads(body)["outcome"]) == (503, "not_run")
        assert one.process.wait(timeout=5) == 0

"""The end of a connection is the end of a reply only if the upstream lives on."""

import select
import socket
import time
from contextlib import closing

import gevent
import pytest
from gevent.server import StreamServer

from standins.raw_upstream import RawUpstream, answering
from toucanspool.wire.exchange import Exchange
from toucanspool.wire.reply_end import MIN_RESTART_S
from toucanspool.wire.reply_parser import BrokenReply
from toucanspool.wire.reply_reader import OPEN_CHECK_INTERVAL_S

MAX_BYTES = 1000


def read(port: int) -> bytes:
    """Return the body of an upstream's reply to one request."""
    until = time.monotonic() + 3.0
    with closing(Exchange("127.0.0.1", port, "GET")) as exchange:
        exchange.send("/x", [("Host", "x")], b"")
        exchange.read_head(until)
        return exchange.read_body(until, MAX_BYTES)


def wait_readable(sock: socket.socket) -> None:
    """Let other greenlets run until a blocking socket has something to read."""
    with gevent.Timeout(5.0):
        while not select.select([sock], [], [], 0)[0]:
            gevent.sleep(0.01)


def test_a_reply_whose_upstream_crashes_is_broken_if_it_is_back_before_we_ask():
    listener = socket.create_server(("127.0.0.1", 0))
    address = listener.getsockname()
    reading = gevent.spawn(read, address[1])
    wait_readable(listener)
    sock, _ = listener.accept()
    wait_readable(sock)
    sock.recv(1000)
    sock.sendall(b"HTTP/1.1 200 OK\r\n\r\npar")
    sock.close()
    listener.close()
    # This process stands still, as one that is stopped by a signal.
    time.sleep(MIN_RESTART_S + 0.1)
    with (
        socket.create_server(address),
        pytest.raises(BrokenReply, match="may have been restarted"),
    ):
        reading.get()


def test_a_reply_that_takes_long_is_whole_if_its_upstream_lives():
    def slow(sock, seen):
        gevent.sleep(MIN_RESTART_S + 2 * OPEN_CHECK_INTERVAL_S)
        answering(b"whole", framed=False)(sock, seen)

    with RawUpstream(slow) as upstream:
        assert read(upstream.port) == b"whole"


def test_a_reply_that_was_read_while_we_stood_still_is_whole_if_it_has_a_length():
    def slow(sock, seen):
        answering(b"whole")(sock, seen)
        time.sleep(MIN_RESTART_S + 0.1)

    with RawUpstream(slow) as upstream:
        assert read(upstream.port) == b"whole"


def test_a_large_body_is_sent_to_an_upstream_that_reads_slowly():
    """Guards against a fixed time limit for sending, which cuts slow links off."""
    # More than the connection's buffers hold.
    size = 32 * 1024 * 1024

    def serve(sock, address):
        left = size
        while left > 0:
            left -= len(sock.recv(1 << 20))
            gevent.sleep(0.025)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    until = time.monotonic() + 5.0
    with closing(Exchange("127.0.0.1", server.server_port, "POST")) as exchange:
        headers = [("Content-Length", str(size))]
        exchange.send("/x", headers, b"x" * size, until=until)
        exchange.read_head(until)
        assert exchange.read_body(until, MAX_BYTES) == b"whole"
    server.stop(timeout=0)

"""What the kernel may hold for connections is bounded together."""

import gevent
import pytest
from gevent import socket

from toucanspool.wire.socket_buffers import (
    KERNEL_FACTOR,
    MIN_SEND_BYTES,
    MIN_UNREAD_S,
    BuffersExhausted,
    SocketBuffers,
    unsent_bytes,
)

MIN_RECEIVE_BYTES = 32 * 1024
LEAST_BYTES = MIN_RECEIVE_BYTES + MIN_SEND_BYTES


@pytest.fixture
def pair():
    """Return the two ends of a TCP connection."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
    yield server, client
    server.close()
    client.close()


def test_the_kernel_holds_no_more_than_is_reserved(pair):
    server, _ = pair
    buffers = SocketBuffers(1_000_000)
    buffers.reserve(server)
    sizes = [
        server.getsockopt(socket.SOL_SOCKET, option)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF)
    ]
    assert sum(sizes) <= buffers.reserved_bytes


def test_later_connections_get_less_until_there_is_none_left(pair):
    server, _ = pair
    buffers = SocketBuffers(100 * LEAST_BYTES)
    sizes = []
    with pytest.raises(BuffersExhausted):
        while True:
            before = buffers.reserved_bytes
            buffers.reserve(server)
            sizes.append(buffers.reserved_bytes - before)
    assert sizes == sorted(sizes, reverse=True)
    assert min(sizes) == LEAST_BYTES
    assert buffers.reserved_bytes <= buffers.max_bytes


def test_a_connection_that_waits_gets_what_another_releases(pair):
    server, _ = pair
    buffers = SocketBuffers(LEAST_BYTES)
    part = buffers.reserve(server)
    gevent.spawn_later(0.05, part.close)
    buffers.wait(server, 2.0, lambda: False, lambda: False).close()
    assert buffers.reserved_bytes == 0


def test_one_that_waits_in_vain_is_told(pair):
    server, _ = pair
    buffers = SocketBuffers(LEAST_BYTES)
    buffers.reserve(server)
    with pytest.raises(BuffersExhausted):
        buffers.wait(server, 0.1, lambda: False, lambda: False)


def test_a_connection_whose_reply_was_read_makes_room(pair):
    server, client = pair
    buffers = SocketBuffers(LEAST_BYTES)
    part = buffers.reserve(server)
    server.sendall(b"reply")
    assert client.recv(100) == b"reply"
    part.settle(lambda: pytest.fail("the client has read its reply"))
    gevent.sleep(0.1)
    assert unsent_bytes(server) == 0
    buffers.reserve(server)
    assert part.closed


def test_a_connection_whose_reply_is_not_read_is_closed_for_another(pair):
    server, _ = pair
    buffers = SocketBuffers(LEAST_BYTES)
    part = buffers.reserve(server)
    server.settimeout(0.2)
    with pytest.raises(TimeoutError):
        server.sendall(b"x" * 50 * 1024 * 1024)
    assert unsent_bytes(server) > MIN_SEND_BYTES // KERNEL_FACTOR
    evicted = []
    part.settle(lambda: evicted.append(part))
    buffers.wait(server, 2.0, lambda: False, lambda: False)
    assert evicted == [part]
    assert MIN_UNREAD_S < 2.0

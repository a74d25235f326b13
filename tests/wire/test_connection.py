"""Frames arrive whole and in order, and an end of the connection is told once."""

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from toucanspool.wire.codec import BadFrame, decode, encode
from toucanspool.wire.connection import Connection, ConnectionLost, connect
from toucanspool.wire.gen.messages.ttypes import Chunk, Frame
from toucanspool.wire.listener import Listener

WAIT_S = 5.0


class Sink:
    """Keep what arrives."""

    def __init__(self) -> None:
        self.frames: list[Frame] = []
        self.losses = 0
        self.gone = Event()

    def received(self, conn: Connection, frame: Frame) -> None:
        """Keep a frame."""
        self.frames.append(frame)

    def lost(self, conn: Connection) -> None:
        """Count the end."""
        self.losses += 1
        self.gone.set()


@pytest.fixture
def ends():
    """Yield a connection, what its own side got, and what the other side got."""
    there, here = Sink(), Sink()
    listener = Listener("127.0.0.1", 0, lambda: there)
    listener.start()
    conn = connect("127.0.0.1", listener.port, here, timeout_s=WAIT_S)
    yield conn, here, there
    conn.close()
    listener.stop()


def wait_for(sink: Sink, count: int) -> None:
    """Wait until a number of frames have arrived."""
    with gevent.Timeout(WAIT_S):
        while len(sink.frames) < count:
            gevent.sleep(0.001)


def make_frame(number: int, size: int = 10) -> Frame:
    """Return a frame with a chunk."""
    return Frame(chunk=Chunk(call=number, offset=0, data=b"x" * size))


def test_frames_arrive_whole_and_in_order(ends):
    conn, _, there = ends
    for number in range(500):
        conn.send(make_frame(number, size=number * 7))
    wait_for(there, 500)
    assert [f.chunk.call for f in there.frames] == list(range(500))
    assert all(len(f.chunk.data) == f.chunk.call * 7 for f in there.frames)


def test_an_end_is_told_once_to_each_side(ends):
    conn, here, there = ends
    conn.send(make_frame(1))
    wait_for(there, 1)
    conn.close()
    conn.close()
    assert there.gone.wait(WAIT_S)
    assert (here.losses, there.losses) == (1, 1)
    with pytest.raises(ConnectionLost):
        conn.send(make_frame(2))


def test_no_listener_is_a_lost_connection():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        with pytest.raises(ConnectionLost):
            connect("127.0.0.1", port, Sink(), timeout_s=WAIT_S)


@pytest.mark.parametrize(
    "data", [b"\x00\x00\x00\x03abc", b"\x7f\xff\xff\xff", b"GET / HTTP/1.1\r\n\r\n"]
)
def test_garbage_ends_the_connection(ends, data):
    conn, _, there = ends
    host, port = conn._sock.getpeername()
    with socket.create_connection((host, port), timeout=WAIT_S) as sock:
        sock.sendall(data)
        assert sock.recv(1) == b""
    assert not there.frames


def test_a_batch_that_is_queued_can_still_grow(ends):
    conn, _, there = ends
    frame = make_frame(1)
    batch = conn.batch
    conn.send(frame)
    assert conn.batch == batch
    frame.chunk.data += b"y"
    wait_for(there, 1)
    assert there.frames[0].chunk.data.endswith(b"y")
    assert conn.batch == batch + 1


def test_codec_refuses_what_is_no_frame():
    assert decode(encode(make_frame(3))) == make_frame(3)
    with pytest.raises(BadFrame):
        decode(b"\xff\xff\xff")

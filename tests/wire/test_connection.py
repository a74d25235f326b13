"""Frames arrive complete and in order, and the end of a connection is reported once."""

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from toucanspool.wire.codec import BadFrame, decode, encode
from toucanspool.wire.connection import Connection, ConnectionLost, connect
from toucanspool.wire.gen.messages.ttypes import Chunk, Frame
from toucanspool.wire.listener import Listener

WAIT_S = 5.0


class RecordingReceiver:
    """Record received frames and the end of the connection."""

    def __init__(self) -> None:
        self.frames: list[Frame] = []
        self.lost_count = 0
        self.lost_event = Event()

    def received(self, conn: Connection, frame: Frame) -> None:
        """Record a frame."""
        self.frames.append(frame)

    def lost(self, conn: Connection) -> None:
        """Count the reported ends."""
        self.lost_count += 1
        self.lost_event.set()


@pytest.fixture
def linked():
    """Yield a connection and the receivers of its local and its remote end."""
    remote, local = RecordingReceiver(), RecordingReceiver()
    listener = Listener("127.0.0.1", 0, lambda: remote)
    listener.start()
    conn = connect("127.0.0.1", listener.port, local, timeout_s=WAIT_S)
    yield conn, local, remote
    conn.close()
    listener.stop()


def wait_for(receiver: RecordingReceiver, count: int) -> None:
    """Wait until the receiver has recorded a number of frames."""
    with gevent.Timeout(WAIT_S):
        while len(receiver.frames) < count:
            gevent.sleep(0.001)


def make_frame(number: int, size: int = 10) -> Frame:
    """Return a chunk frame with a body of the given size in bytes."""
    return Frame(chunk=Chunk(call=number, offset=0, data=b"x" * size))


def test_frames_arrive_whole_and_in_order(linked):
    conn, _, remote = linked
    for number in range(500):
        conn.send(make_frame(number, size=number * 7))
    wait_for(remote, 500)
    assert [f.chunk.call for f in remote.frames] == list(range(500))
    assert all(len(f.chunk.data) == f.chunk.call * 7 for f in remote.frames)


def test_an_end_is_told_once_to_each_side(linked):
    conn, local, remote = linked
    conn.send(make_frame(1))
    wait_for(remote, 1)
    conn.close()
    conn.close()
    assert remote.lost_event.wait(WAIT_S)
    assert (local.lost_count, remote.lost_count) == (1, 1)
    with pytest.raises(ConnectionLost):
        conn.send(make_frame(2))


def test_no_listener_is_a_lost_connection():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        with pytest.raises(ConnectionLost):
            connect("127.0.0.1", port, RecordingReceiver(), timeout_s=WAIT_S)


@pytest.mark.parametrize(
    "data", [b"\x00\x00\x00\x03abc", b"\x7f\xff\xff\xff", b"GET / HTTP/1.1\r\n\r\n"]
)
def test_garbage_ends_the_connection(linked, data):
    conn, _, remote = linked
    host, port = conn._sock.getpeername()
    with socket.create_connection((host, port), timeout=WAIT_S) as sock:
        sock.sendall(data)
        assert sock.recv(1) == b""
    assert not remote.frames


def test_a_batch_that_is_queued_can_still_grow(linked):
    conn, _, remote = linked
    frame = make_frame(1)
    batch = conn.batch
    conn.send(frame)
    assert conn.batch == batch
    frame.chunk.data += b"y"
    wait_for(remote, 1)
    assert remote.frames[0].chunk.data.endswith(b"y")
    assert conn.batch == batch + 1


def test_codec_refuses_what_is_no_frame():
    assert decode(encode(make_frame(3))) == make_frame(3)
    with pytest.raises(BadFrame):
        decode(b"\xff\xff\xff")

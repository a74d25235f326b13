"""A bidirectional connection between two processes that carries frames.

One greenlet reads and another writes. Frames that are queued during a write are
sent together by the next write.
"""

import contextlib
import time
from collections.abc import Callable
from typing import Protocol

import gevent
import structlog
from gevent import socket
from gevent.event import Event
from thrift.transport.TTransport import (
    TFramedTransport,
    TMemoryBuffer,
    TTransportException,
)

from toucanspool.limits.memory_budget import MemoryBudget, MemoryExceeded
from toucanspool.telemetry.rate_limited import RateLimitedLog
from toucanspool.wire.client_limits import ClientLimits
from toucanspool.wire.codec import BadFrame, decode, encode
from toucanspool.wire.frame_reader import MAX_FRAME_BYTES, FrameReader
from toucanspool.wire.gen.messages.ttypes import Frame
from toucanspool.wire.open_connections import Phase
from toucanspool.wire.slow_reader import MIN_BYTES_PER_S, SlowReader

# While more frames wait to be sent, no more are read: most of them answer others.
MAX_QUEUED_FRAMES = 1024
# Peers that send more lose their place first.
MAX_FRAMES_PER_S = 100
# Time in which the peer may read nothing before the connection is closed.
STALL_S = 5.0

_log = RateLimitedLog(structlog.get_logger())


class ConnectionLost(Exception):
    """Report that a connection is closed or could not be opened."""


class Receiver(Protocol):
    """Handle the frames and the end of a connection."""

    def received(self, conn: "Connection", frame: Frame) -> None:
        """Handle a frame; must not block, as it delays all later frames.

        Parameters
        ----------
        conn : Connection
            Connection that the frame arrived on.
        frame : Frame
            The decoded frame.
        """
        ...

    def lost(self, conn: "Connection") -> None:
        """Handle the end of a connection; called once.

        Parameters
        ----------
        conn : Connection
            The closed connection.
        """
        ...


class Connection:
    """Send and receive frames on a socket.

    Parameters
    ----------
    sock : gevent.socket.socket
        A connected socket; the connection takes ownership and closes it.
    receiver : Receiver
        Handler of received frames.
    limits : ClientLimits, optional
        Bounds on the connections that a process accepts; None for one that it opened.
    """

    __slots__ = (
        "_batches_written",
        "_closed",
        "_frames",
        "_frames_in_second",
        "_limits",
        "_room_event",
        "_second",
        "_send_queue",
        "_reader",
        "_receiver",
        "_sock",
        "_send_event",
        "_writer",
    )

    def __init__(
        self,
        sock: socket.socket,
        receiver: Receiver,
        limits: ClientLimits | None = None,
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._receiver = receiver
        self._limits = limits
        self._frames = FrameReader(sock, limits.frames if limits else MemoryBudget())
        self._room_event = Event()
        self._second = self._frames_in_second = 0
        self._send_queue: list[Frame] = []
        self._batches_written = 0
        self._send_event = Event()
        self._closed = False
        self._reader = gevent.spawn(self._read)
        self._writer = gevent.spawn(self._write)

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._closed

    @property
    def batch(self) -> int:
        """Number of the batch now being queued; grows by one with each write."""
        return self._batches_written

    def send(self, frame: Frame) -> None:
        """Queue a frame for sending.

        Parameters
        ----------
        frame : Frame
            The frame. It is encoded only when its batch is written, so the caller
            may still change it while `batch` stays the same.

        Raises
        ------
        ConnectionLost
            The connection is closed.
        """
        if self._closed:
            raise ConnectionLost
        self._send_queue.append(frame)
        self._send_event.set()

    def flush(self, timeout_s: float) -> None:
        """Wait until no frames are queued, the connection is closed or time runs out.

        Parameters
        ----------
        timeout_s : float
            Maximum wait, in seconds.
        """
        with gevent.Timeout(timeout_s, False):
            while self._send_queue and not self._closed:
                gevent.sleep(0.005)

    def wait(self) -> None:
        """Wait until the connection is closed."""
        self._reader.join()

    def close(self) -> None:
        """Close the socket and notify the receiver."""
        if self._closed:
            return
        self._closed = True
        self._send_event.set()
        self._room_event.set()
        self._close_socket()
        self._receiver.lost(self)

    def _close_socket(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    @property
    def transferred_bytes(self) -> int:
        """Return the bytes received since the last complete frame; see `Evictable`."""
        return self._frames.received_bytes

    def evict(self, phase: Phase) -> None:
        """Close the connection for another one; see `Evictable`."""
        _log.info("connection evicted", phase=phase.name)
        self.close()

    def _read(self) -> None:
        try:
            while not self._closed:
                frame = decode(self._frames.read())
                self._count_frame()
                self._receiver.received(self, frame)
                self._wait_for_room()
        except (TTransportException, OSError):
            pass
        except (BadFrame, MemoryExceeded) as exc:
            _log.info("frame not read", error=str(exc))
        finally:
            self._frames.close()
            self.close()

    def _count_frame(self) -> None:
        """Keep the connection's place for as long as it sends frames, if not too many.

        Peers that have sent too many are closed first, then those that have sent none.
        """
        if self._limits is None:
            return
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._frames_in_second = second, 0
        self._frames_in_second += 1
        if self._frames_in_second > MAX_FRAMES_PER_S:
            self._limits.connections.move(self, Phase.CLOSING)
        else:
            self._limits.connections.move(self, Phase.SENDING, renew=True)

    def _wait_for_room(self) -> None:
        while len(self._send_queue) > MAX_QUEUED_FRAMES and not self._closed:
            self._room_event.clear()
            self._room_event.wait()

    def _write(self) -> None:
        try:
            while not self._closed:
                self._send_event.wait()
                self._send_event.clear()
                while self._send_queue and not self._closed:
                    batch, self._send_queue = self._send_queue, []
                    self._batches_written += 1
                    self._room_event.set()
                    self._send(_encode_frames(batch))
        except SlowReader as exc:
            _log.info("peer reads too slowly", unsent_bytes=exc.unsent_bytes)
        except OSError:
            pass
        finally:
            self.close()

    def _send(self, data: bytes) -> None:
        # The socket's own time limit would hold for the reader as well.
        limit_s = STALL_S + len(data) / MIN_BYTES_PER_S
        with gevent.Timeout(limit_s, SlowReader(len(data))):
            self._sock.sendall(data)


def _encode_frames(frames: list[Frame]) -> bytes:
    buffer = TMemoryBuffer()
    framed = TFramedTransport(buffer, MAX_FRAME_BYTES)
    for frame in frames:
        framed.write(encode(frame))
        framed.flush()
    return buffer.getvalue()


def connect(
    host: str,
    port: int,
    receiver: Receiver,
    *,
    timeout_s: float,
    create: Callable[..., socket.socket] = socket.create_connection,
) -> Connection:
    """Open a connection.

    Parameters
    ----------
    host : str
        IP address of the peer.
    port : int
        TCP port of the peer.
    receiver : Receiver
        Handler of received frames.
    timeout_s : float
        Maximum time to establish the connection, in seconds.
    create : callable, optional
        Opens the socket; takes the arguments of `socket.create_connection`.

    Returns
    -------
    Connection

    Raises
    ------
    ConnectionLost
        The connection could not be established.
    """
    try:
        sock = create((host, port), timeout=timeout_s)
    except OSError as exc:
        raise ConnectionLost(f"{host}:{port}: {exc}") from exc
    sock.settimeout(None)
    return Connection(sock, receiver)

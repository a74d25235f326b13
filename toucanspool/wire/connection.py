"""A bidirectional connection between two processes that carries frames.

One greenlet reads and another writes. Frames that are queued during a write are
sent together by the next write.
"""

import contextlib
from collections.abc import Callable
from typing import Protocol

import gevent
import structlog
from gevent import socket
from gevent.event import Event
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import (
    TBufferedTransport,
    TFramedTransport,
    TMemoryBuffer,
    TTransportException,
)

from toucanspool.wire.codec import BadFrame, decode, encode
from toucanspool.wire.gen.messages.ttypes import Frame

MAX_FRAME_BYTES = 16 * 1024 * 1024
READ_BUFFER_BYTES = 64 * 1024

_log = structlog.get_logger()


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
    """

    __slots__ = (
        "_batches_written",
        "_closed",
        "_send_queue",
        "_reader",
        "_receiver",
        "_sock",
        "_send_event",
        "_writer",
    )

    def __init__(self, sock: socket.socket, receiver: Receiver) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._receiver = receiver
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
        self._close_socket()
        self._receiver.lost(self)

    def _close_socket(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _read(self) -> None:
        transport = TSocket()
        transport.setHandle(self._sock)
        buffered = TBufferedTransport(transport, READ_BUFFER_BYTES)
        framed = TFramedTransport(buffered, MAX_FRAME_BYTES)
        try:
            while not self._closed:
                framed.readFrame()
                frame = decode(framed.cstringio_buf.getvalue())
                self._receiver.received(self, frame)
        except (TTransportException, OSError):
            pass
        except BadFrame as exc:
            _log.warning("undecodable frame", error=str(exc))
        finally:
            self.close()

    def _write(self) -> None:
        try:
            while not self._closed:
                self._send_event.wait()
                self._send_event.clear()
                while self._send_queue and not self._closed:
                    batch, self._send_queue = self._send_queue, []
                    self._batches_written += 1
                    self._sock.sendall(_encode_frames(batch))
        except OSError:
            pass
        finally:
            self.close()


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

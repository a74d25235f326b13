"""A connection between two processes that carries frames both ways.

One greenlet reads and one writes; frames queued while a write is under way go
out together with the next one.
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
    """Report that a connection is gone."""


class Receiver(Protocol):
    """Take what arrives on a connection."""

    def received(self, conn: "Connection", frame: Frame) -> None:
        """Take a frame; must not block for long.

        Parameters
        ----------
        conn : Connection
            Where it came from.
        frame : Frame
            The frame.
        """
        ...

    def lost(self, conn: "Connection") -> None:
        """Take note that no more frames come.

        Parameters
        ----------
        conn : Connection
            What is gone.
        """
        ...


class Connection:
    """Own a socket and send and receive frames on it.

    Parameters
    ----------
    sock : gevent.socket.socket
        A connected socket; owned from now on.
    receiver : Receiver
        Who takes what arrives.
    """

    __slots__ = (
        "_batches",
        "_closed",
        "_outbox",
        "_reader",
        "_receiver",
        "_sock",
        "_wake",
        "_writer",
    )

    def __init__(self, sock: socket.socket, receiver: Receiver) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._receiver = receiver
        self._outbox: list[Frame] = []
        self._batches = 0
        self._wake = Event()
        self._closed = False
        self._reader = gevent.spawn(self._read)
        self._writer = gevent.spawn(self._write)

    @property
    def closed(self) -> bool:
        """Whether the connection is gone."""
        return self._closed

    @property
    def batch(self) -> int:
        """Number of the batch that is queued now; it grows when one is written."""
        return self._batches

    def send(self, frame: Frame) -> None:
        """Queue a frame; its content may be changed while its batch is queued.

        Parameters
        ----------
        frame : Frame
            The frame.

        Raises
        ------
        ConnectionLost
            The connection is gone.
        """
        if self._closed:
            raise ConnectionLost
        self._outbox.append(frame)
        self._wake.set()

    def flush(self, timeout_s: float) -> None:
        """Wait until what was queued is written, or the time is over.

        Parameters
        ----------
        timeout_s : float
            The longest wait, in seconds.
        """
        with gevent.Timeout(timeout_s, False):
            while self._outbox and not self._closed:
                gevent.sleep(0.005)

    def wait(self) -> None:
        """Wait until the connection is gone."""
        self._reader.join()

    def close(self) -> None:
        """Close the socket; the receiver is told."""
        if self._closed:
            return
        self._closed = True
        self._wake.set()
        self._shut()
        self._receiver.lost(self)

    def _shut(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _read(self) -> None:
        raw = TSocket()
        raw.setHandle(self._sock)
        buffered = TBufferedTransport(raw, READ_BUFFER_BYTES)
        framed = TFramedTransport(buffered, MAX_FRAME_BYTES)
        try:
            while not self._closed:
                framed.readFrame()
                frame = decode(framed.cstringio_buf.getvalue())
                self._receiver.received(self, frame)
        except (TTransportException, OSError):
            pass
        except BadFrame as exc:
            _log.warning("bad frame", error=str(exc))
        finally:
            self.close()

    def _write(self) -> None:
        try:
            while not self._closed:
                self._wake.wait()
                self._wake.clear()
                while self._outbox and not self._closed:
                    batch, self._outbox = self._outbox, []
                    self._batches += 1
                    self._sock.sendall(_framed(batch))
        except OSError:
            pass
        finally:
            self.close()


def _framed(frames: list[Frame]) -> bytes:
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
        IP number.
    port : int
        Port.
    receiver : Receiver
        Who takes what arrives.
    timeout_s : float
        The longest wait for the connection, in seconds.
    create : callable, optional
        How a socket is connected.

    Returns
    -------
    Connection

    Raises
    ------
    ConnectionLost
        It could not be opened.
    """
    try:
        sock = create((host, port), timeout=timeout_s)
    except OSError as exc:
        raise ConnectionLost(f"{host}:{port}: {exc}") from exc
    sock.settimeout(None)
    return Connection(sock, receiver)

"""What the kernel may hold for connections, bounded together.

The kernel counts what it holds for a connection against the sizes of its buffers, and
by itself lets each grow to some MB. So each connection in use reserves its buffers.
"""

import fcntl
import struct
import termios
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress

import gevent
from gevent import socket
from gevent.event import Event

# The kernel doubles the sizes that are set, to cover its own structures.
KERNEL_FACTOR = 2
# Each connection may take this part of what is left, so that those that come later
# get less, and all still find some.
PART_OF_REST = 1 / 128
# Enough for 5 MB/s to a client at a round-trip time of 50 ms.
MAX_BYTES = 640 * 1024
MIN_SEND_BYTES = 32 * 1024
SWEEP_INTERVAL_S = 0.05
# Time that a client has to read the end of a reply before its connection may be closed
# for another client.
MIN_UNREAD_S = 0.25
# Interval at which a connection that waits looks for others that may be closed.
WAIT_POLL_S = 0.1


class BuffersExhausted(Exception):
    """Report that a connection can't have buffers within the bound."""


class SocketBuffers:
    """Bound what the kernel may hold for all connections.

    Parameters
    ----------
    max_bytes : float, optional
        Bound in bytes; none by default.
    receive_share : float, default=0.2
        Share of a connection's bytes for what it receives; the rest is to send.
    min_receive_bytes : int, default=32 KiB
        Least bytes for that. A receive buffer must not shrink while it is in use: below
        about this size, the kernel then lets in a few bytes a second.

    Attributes
    ----------
    reserved_bytes : int
        Bytes that connections have reserved.
    """

    __slots__ = (
        "_min_receive_bytes",
        "_receive_share",
        "_settled",
        "_swept_at",
        "_waiting",
        "max_bytes",
        "reserved_bytes",
    )

    def __init__(
        self,
        max_bytes: float = float("inf"),
        *,
        receive_share: float = 0.2,
        min_receive_bytes: int = 32 * 1024,
    ) -> None:
        self.max_bytes = max_bytes
        self._receive_share = receive_share
        self._min_receive_bytes = min_receive_bytes
        self.reserved_bytes = 0
        # Of connections without a request, whose last reply may not have been read.
        self._settled: dict[BufferPart, tuple[float, Callable[[], None]]] = {}
        self._swept_at = 0.0
        self._waiting: deque[Event] = deque()

    def wait(
        self,
        sock: socket.socket,
        timeout_s: float,
        make_room: Callable[[], bool],
        given_up: Callable[[], bool],
    ) -> "BufferPart":
        """Reserve a connection's buffers as soon as its turn comes.

        Parameters
        ----------
        sock : gevent.socket.socket
            The connection.
        timeout_s : float
            Longest wait, in seconds.
        make_room : callable
            Closes a connection that keeps buffers, if there is one that may be closed.
        given_up : callable
            Returns whether this connection needs no buffers any longer.

        Returns
        -------
        BufferPart
            As of `reserve`.

        Raises
        ------
        BuffersExhausted
            Its turn did not come in time.
        """
        if not self._waiting:
            with suppress(BuffersExhausted):
                return self.reserve(sock)
        until = time.monotonic() + timeout_s
        turn = Event()
        self._waiting.append(turn)
        try:
            while time.monotonic() < until and not given_up():
                if self._waiting[0] is turn:
                    with suppress(BuffersExhausted):
                        return self.reserve(sock)
                    if self._evict_settled() or make_room():
                        gevent.sleep(0)
                        continue
                turn.wait(WAIT_POLL_S)
                turn.clear()
        finally:
            self._waiting.remove(turn)
            self._wake_first()
        raise BuffersExhausted(f"no buffers within {timeout_s} s")

    def release(self, n_bytes: int) -> None:
        """Make bytes available that were reserved."""
        self.reserved_bytes -= n_bytes
        self._wake_first()

    def _wake_first(self) -> None:
        if self._waiting:
            self._waiting[0].set()

    def reserve(self, sock: socket.socket) -> "BufferPart":
        """Set the sizes of a connection's buffers and reserve them.

        Parameters
        ----------
        sock : gevent.socket.socket
            The connection.

        Returns
        -------
        BufferPart
            Must be closed with the connection.

        Raises
        ------
        BuffersExhausted
            The bound does not allow it.
        """
        least = self._min_receive_bytes + MIN_SEND_BYTES
        left = self.max_bytes - self.reserved_bytes
        if left < least:
            self._release_read()
            left = self.max_bytes - self.reserved_bytes
        if left < least:
            raise BuffersExhausted(f"{self.reserved_bytes} bytes are reserved")
        wanted = min(MAX_BYTES, max(least, left * PART_OF_REST))
        receive = max(self._min_receive_bytes, int(self._receive_share * wanted))
        send = max(MIN_SEND_BYTES, int(wanted) - receive)
        with suppress(OSError):
            _set_size(sock, socket.SO_RCVBUF, receive)
            _set_size(sock, socket.SO_SNDBUF, send)
        return BufferPart(self, sock, receive + send)

    def _release_read(self) -> None:
        """Release the buffers of connections that have sent all and got no request."""
        now = time.monotonic()
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        for part in list(self._settled):
            if unsent_bytes(part.sock) == 0:
                part.close()

    def _evict_settled(self) -> bool:
        """Close the connection that has left its last reply unread for longest."""
        part, settled = next(iter(self._settled.items()), (None, None))
        if part is None or time.monotonic() - settled[0] < MIN_UNREAD_S:
            return False
        settled[1]()
        part.close()
        return True


class BufferPart:
    """Hold what one connection has reserved.

    Parameters
    ----------
    buffers : SocketBuffers
        What it is a part of.
    sock : gevent.socket.socket
        The connection.
    n_bytes : int
        Bytes reserved.
    """

    __slots__ = ("_buffers", "_n_bytes", "sock")

    def __init__(
        self, buffers: SocketBuffers, sock: socket.socket, n_bytes: int
    ) -> None:
        self._buffers = buffers
        self._n_bytes = n_bytes
        self.sock = sock
        buffers.reserved_bytes += n_bytes

    @property
    def closed(self) -> bool:
        """Return whether nothing is reserved any longer."""
        return not self._n_bytes

    def settle(self, evict: Callable[[], None]) -> None:
        """Allow to release the buffers once the client has read the last reply.

        Parameters
        ----------
        evict : callable
            Closes the connection, if it does not read it.
        """
        if self._n_bytes:
            self._buffers._settled[self] = (time.monotonic(), evict)

    def resume(self) -> None:
        """Keep the buffers for a further request."""
        self._buffers._settled.pop(self, None)

    def close(self) -> None:
        """Release the buffers; may be called repeatedly."""
        self.resume()
        n_bytes, self._n_bytes = self._n_bytes, 0
        self._buffers.release(n_bytes)


def unsent_bytes(sock: socket.socket) -> int:
    """Return how many bytes the peer has not received; 0 if that isn't known."""
    try:
        data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except OSError:
        return 0
    return struct.unpack("i", data)[0]


def _set_size(sock: socket.socket, option: int, n_bytes: int) -> None:
    sock.setsockopt(socket.SOL_SOCKET, option, n_bytes // KERNEL_FACTOR)

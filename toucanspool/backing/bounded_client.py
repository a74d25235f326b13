"""HTTP clients with a connection pool whose replies are bounded in size."""

import errno
import re
from typing import Any

import gevent
from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.header import Headers

from toucanspool.backing.reply_memory import REPLY_MEMORY
from toucanspool.limits.memory_budget import MemoryExceeded
from toucanspool.wire.reply_parser import MAX_HEADER_LINES

# Larger than the largest object or answer of the platform's services.
MAX_REPLY_BYTES = 32 * 1024 * 1024
# Bytes after which other greenlets get a turn, even if more can be read.
BURST_BYTES = 64 * 1024

# How each reply begins. The client takes statuses below 200 for interim ones, whatever
# they are, and waits for another reply.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?![0-9])")
_STATUS_LINE_BYTES = 13


class InvalidStatus(OSError):
    """Report a reply whose status is none.

    Parameters
    ----------
    line : bytes
        How the reply begins.
    """

    def __init__(self, line: bytes) -> None:
        super().__init__(errno.EBADMSG, f"a reply begins with {line!r}")


class ReplyTooLarge(OSError):
    """Report a reply that exceeds a limit on its size, its head included.

    Parameters
    ----------
    message : str
        The limit.
    """

    def __init__(self, message: str) -> None:
        super().__init__(errno.EMSGSIZE, message)


class BoundedHeaders(Headers):
    """Hold the headers of a reply; refuse more lines than `MAX_HEADER_LINES`."""

    _lines = 0

    def add(self, field: str, value: Any) -> None:
        """Add a header line; overrides `Headers`."""
        self._lines += 1
        if self._lines > MAX_HEADER_LINES:
            raise ReplyTooLarge(f"more than {MAX_HEADER_LINES} header lines")
        super().add(field, value)


class BoundedSocket(socket.socket):
    """Bound the bytes received since the last request was sent.

    Attributes
    ----------
    max_reply_bytes : int
        Limit on one reply.
    """

    max_reply_bytes = MAX_REPLY_BYTES
    _received_bytes = 0
    _burst_bytes = 0

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._held = REPLY_MEMORY.part()
        self._status_line = b""

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Send a request; overrides the socket's method."""
        self.end_reply()
        super().sendall(data, flags)

    def recv(self, *args: int) -> bytes:
        """Receive a part of a reply; overrides the socket's method."""
        data = super().recv(*args)
        self._check_status(data)
        self._received_bytes += len(data)
        if self._received_bytes > self.max_reply_bytes:
            raise ReplyTooLarge(f"more than {self.max_reply_bytes} bytes")
        try:
            self._held.resize(self._received_bytes)
        except MemoryExceeded as exc:
            raise ReplyTooLarge(f"with other replies {exc}") from exc
        self._burst_bytes += len(data)
        if self._burst_bytes > BURST_BYTES:
            self._burst_bytes = 0
            gevent.sleep(0)
        return data

    def end_reply(self) -> None:
        """Hold none of the bytes received so far."""
        self._received_bytes = 0
        self._status_line = b""
        self._held.close()

    def _check_status(self, data: bytes) -> None:
        missing = _STATUS_LINE_BYTES - len(self._status_line)
        if missing and data:
            self._status_line += data[:missing]
            complete = len(self._status_line) == _STATUS_LINE_BYTES
            if complete and not _STATUS_LINE.match(self._status_line):
                raise InvalidStatus(self._status_line)

    def close(self) -> None:
        """Close the connection; overrides the socket's method."""
        self._held.close()
        super().close()


class BoundedPool(ConnectionPool):
    """Open connections whose replies are bounded.

    Attributes
    ----------
    max_reply_bytes : int
        Limit on one reply.
    """

    max_reply_bytes = MAX_REPLY_BYTES

    def return_socket(self, sock: BoundedSocket) -> None:
        """Keep a connection whose reply is complete; overrides `ConnectionPool`."""
        sock.end_reply()
        super().return_socket(sock)

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> BoundedSocket:
        sock = BoundedSocket(family, socktype, protocol)
        sock.max_reply_bytes = self.max_reply_bytes
        return sock


class SingleUsePool(BoundedPool):
    """Open connections that serve one request each."""

    def return_socket(self, sock: socket.socket) -> None:
        """Close a connection whose reply is complete; overrides `ConnectionPool`."""
        self.release_socket(sock)


class BoundedClient(HTTPClient):
    """Send requests to one server over a pool of connections with bounded replies.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    concurrency : int, default=1
        Maximum number of connections.
    connection_timeout : float
        Time limit for opening a connection, in seconds.
    network_timeout : float or None
        Maximum wait for the next bytes, in seconds; None waits without limit.
    reuse_connections : bool, default=False
        Whether a connection serves several requests. A server that repeats a reply on
        such a connection answers the next request with it.
    max_reply_bytes : int, optional
        Limit on the size of one reply; `MAX_REPLY_BYTES` by default.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        concurrency: int = 1,
        connection_timeout: float,
        network_timeout: float | None,
        reuse_connections: bool = False,
        max_reply_bytes: int | None = None,
    ) -> None:
        super().__init__(host, port, headers_type=BoundedHeaders)
        pool_class = BoundedPool if reuse_connections else SingleUsePool
        self._connection_pool = pool_class(
            host,
            port,
            host,
            port,
            size=concurrency,
            connection_timeout=connection_timeout,
            network_timeout=network_timeout,
        )
        self._connection_pool.max_reply_bytes = max_reply_bytes or MAX_REPLY_BYTES

"""HTTP clients with a connection pool whose replies are bounded in size."""

import errno
from typing import Any

from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool

# Larger than the largest object or answer of the platform's services.
MAX_REPLY_BYTES = 32 * 1024 * 1024


class ReplyTooLarge(OSError):
    """Report a reply that exceeds `MAX_REPLY_BYTES`, its head included."""

    def __init__(self) -> None:
        super().__init__(errno.EMSGSIZE, f"more than {MAX_REPLY_BYTES} bytes")


class BoundedSocket(socket.socket):
    """Count the bytes received since the last request was sent."""

    _received_bytes = 0

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Send a request; overrides the socket's method."""
        self._received_bytes = 0
        super().sendall(data, flags)

    def recv(self, *args: int) -> bytes:
        """Receive a part of a reply; overrides the socket's method."""
        data = super().recv(*args)
        self._received_bytes += len(data)
        if self._received_bytes > MAX_REPLY_BYTES:
            raise ReplyTooLarge
        return data


class BoundedPool(ConnectionPool):
    """Open connections whose replies are bounded."""

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> BoundedSocket:
        return BoundedSocket(family, socktype, protocol)


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
    ) -> None:
        super().__init__(host, port)
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

"""A gevent HTTP server that disables Nagle's algorithm on its sockets."""

from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIServer


class HttpServer(WSGIServer):
    """Serve a WSGI application.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 picks a free one.
    app : callable
        WSGI application.
    idle_timeout_s : float, default=60.0
        Time without sent or received bytes after which a connection is closed,
        in seconds.
    """

    def __init__(
        self, host: str, port: int, app: Any, *, idle_timeout_s: float = 60.0
    ) -> None:
        super().__init__((host, port), app, log=None, error_log=None)
        self._idle_timeout_s = idle_timeout_s

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection; called by gevent.

        Parameters
        ----------
        sock : gevent.socket.socket
            The accepted socket.
        address : tuple
            IP address and port of the client.
        """
        # Headers and body are sent as two writes; Nagle's algorithm would hold the
        # second one back until the client's delayed ACK, about 40 ms later.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(self._idle_timeout_s)
        super().handle(sock, address)

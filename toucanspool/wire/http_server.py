"""An HTTP server on gevent whose sockets do not delay small writes."""

from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIServer


class HttpServer(WSGIServer):
    """Serve a WSGI application.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        Port; 0 picks a free one.
    app : callable
        The WSGI application.
    idle_timeout_s : float, default=60.0
        A connection that moves no byte for this long is closed, in seconds.
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
            The caller's address.
        """
        # Headers and body go out as two writes; Nagle's algorithm would hold the
        # second back until the caller's delayed ACK, about 40 ms later.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(self._idle_timeout_s)
        super().handle(sock, address)

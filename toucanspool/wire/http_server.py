"""A gevent HTTP server without Nagle's algorithm, whose replies may lack framing."""

import struct
from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

# Key of the request's handler in its WSGI environment.
HANDLER_KEY = "toucanspool.handler"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_NORMALLY = struct.pack("ii", 0, 0)


class ReplyHandler(WSGIHandler):
    """Handle requests whose replies may have neither a length nor chunks."""

    _reply_framed = True

    def begin_unframed_reply(self) -> None:
        """Send the next reply without framing: it ends with the connection.

        Until `finish_unframed_reply`, the connection is reset however it ends, also by
        the end of this process, so that a part of the reply can't look complete. The
        reply needs the header ``Connection: close``.
        """
        self._reply_framed = False
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def finish_unframed_reply(self) -> None:
        """Mark the unframed reply as complete, so that the connection is closed."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_NORMALLY)

    def finalize_headers(self) -> None:
        """Add the headers that frame the reply; overrides `WSGIHandler`."""
        super().finalize_headers()
        if not self._reply_framed and self.response_use_chunked:
            self.response_use_chunked = False
            self.response_headers.remove((b"Transfer-Encoding", b"chunked"))

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment; overrides `WSGIHandler`."""
        environ = super().get_environ()
        environ[HANDLER_KEY] = self
        return environ


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

    handler_class = ReplyHandler

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

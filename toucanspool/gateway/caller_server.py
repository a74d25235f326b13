"""The HTTP server for callers by route."""

import contextlib
from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIHandler

from toucanspool.gateway.call import Header
from toucanspool.gateway.caller import CallerLeft
from toucanspool.routing.routes import Limits
from toucanspool.wire.http_server import HttpServer

HANDLER_KEY = "toucanspool.handler"


class BadFraming(ValueError):
    """Report a request whose length is ambiguous (RFC 9112, 6.3)."""


class CallerHandler(WSGIHandler):
    """Give the application the connection and the headers as they came."""

    @property
    def header_list(self) -> list[Header]:
        """Return the request's headers in order, with duplicates."""
        return list(self.headers.items())

    @property
    def sock(self) -> socket.socket:
        """Return the caller's connection."""
        return self.socket

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Return a request's headers; called by the library."""
        headers = super().MessageClass(*args)
        lengths = headers.get_all("content-length") or []
        codings = headers.get_all("transfer-encoding") or []
        if len(lengths) + len(codings) > 1:
            raise BadFraming("the request has more than one length")
        if codings and codings[0].lower() != "chunked":
            raise BadFraming("the request has an unknown transfer coding")
        return headers

    def read_request(self, raw_requestline: str) -> bool:
        """Read a request's head; called by the library."""
        limits: Limits = self.server.limits
        self.socket.settimeout(limits.header_timeout_s)
        try:
            return super().read_request(raw_requestline)
        finally:
            self.socket.settimeout(limits.idle_timeout_s)

    def get_environ(self) -> dict[str, Any]:
        """Return the request's environment; called by the library."""
        environ = super().get_environ()
        environ[HANDLER_KEY] = self
        return environ


class CallerServer(HttpServer):
    """Serve callers by route.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        Port; 0 picks a free one.
    app : callable
        The WSGI application.
    limits : Limits
        What callers may send; may be replaced while it runs.
    """

    handler_class = CallerHandler

    def __init__(self, host: str, port: int, app: Any, *, limits: Limits) -> None:
        super().__init__(host, port, app, idle_timeout_s=limits.idle_timeout_s)
        self.limits = limits

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection; called by gevent."""
        # The word of a caller's close may come as its call has just ended.
        with contextlib.suppress(CallerLeft):
            super().handle(sock, address)

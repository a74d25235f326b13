"""The HTTP server for callers by route."""

import contextlib
import http.client
from http import HTTPStatus
from typing import Any, BinaryIO

import gevent
import structlog
from gevent import socket
from gevent.pywsgi import WSGIHandler

from toucanspool.gateway.call import Header
from toucanspool.gateway.caller import CallerLeft
from toucanspool.routing.routes import RequestLimits
from toucanspool.wire.http_server import HttpServer

HANDLER_KEY = "toucanspool.handler"

_log = structlog.get_logger()


class BadFraming(ValueError):
    """Report a request whose length is ambiguous (RFC 9112, 6.3)."""


class HeadTooLarge(ValueError):
    """Report a request whose first line and headers are over the limit."""


class HeadTooSlow(TimeoutError):
    """Report a request whose first line and headers took too long to come."""


class CallerHandler(WSGIHandler):
    """Give the application the connection and the headers as they came."""

    _head_time: gevent.Timeout | None = None
    _head_refusal: HTTPStatus | None = None

    @property
    def header_list(self) -> list[Header]:
        """Return the request's headers in order, with duplicates."""
        return list(self.headers.items())

    @property
    def sock(self) -> socket.socket:
        """Return the caller's connection."""
        return self.socket

    def handle_one_request(self) -> Any:
        """Read and answer one request; called by the library."""
        self._head_refusal = None
        try:
            result = super().handle_one_request()
        finally:
            self._stop_head_time()
        if self._head_refusal is None:
            return result
        return str(self._head_refusal.value), _refusal(self._head_refusal)

    def read_requestline(self) -> str:
        """Wait for a request and read its first line; called by the library."""
        limits: RequestLimits = self.server.limits
        self.socket.settimeout(limits.idle_timeout_s)
        self.rfile.peek(1)
        self._head_time = gevent.Timeout.start_new(limits.header_timeout_s, HeadTooSlow)
        return super().read_requestline()

    def read_request(self, raw_requestline: str) -> bool:
        """Read a request's head; called by the library."""
        try:
            return super().read_request(raw_requestline)
        except (HeadTooLarge, http.client.HTTPException) as exc:
            self._head_refusal = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise self._not_read(exc) from exc
        except TimeoutError as exc:
            self._head_refusal = HTTPStatus.REQUEST_TIMEOUT
            raise self._not_read(exc) from exc
        except (ValueError, OSError) as exc:
            raise self._not_read(exc) from exc
        finally:
            self._stop_head_time()

    def MessageClass(self, file: BinaryIO, *args: Any) -> Any:  # noqa: N802
        """Return a request's headers; called by the library."""
        most = self.server.limits.max_header_bytes - len(self.requestline)
        headers = super().MessageClass(_HeadReader(file, most), *args)
        lengths = headers.get_all("content-length") or []
        codings = headers.get_all("transfer-encoding") or []
        if len(lengths) + len(codings) > 1:
            raise BadFraming("the request has more than one length")
        if codings and codings[0].lower() != "chunked":
            raise BadFraming("the request has an unknown transfer coding")
        return headers

    def get_environ(self) -> dict[str, Any]:
        """Return the request's environment; called by the library."""
        environ = super().get_environ()
        environ[HANDLER_KEY] = self
        return environ

    def _stop_head_time(self) -> None:
        if self._head_time is not None:
            self._head_time.close()
            self._head_time = None

    def _not_read(self, exc: Exception) -> ValueError:
        status = self._head_refusal or HTTPStatus.BAD_REQUEST
        _log.info(
            "request not read",
            caller=self.client_address[0],
            status=status.value,
            reason=str(exc) or type(exc).__name__,
        )
        return ValueError(str(exc))


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
    limits : RequestLimits
        What callers may send; may be replaced while it runs.
    """

    handler_class = CallerHandler

    def __init__(
        self, host: str, port: int, app: Any, *, limits: RequestLimits
    ) -> None:
        super().__init__(host, port, app, idle_timeout_s=limits.idle_timeout_s)
        self.limits = limits

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection; called by gevent."""
        # The word of a caller's close may come as its call has just ended.
        with contextlib.suppress(CallerLeft):
            super().handle(sock, address)


class _HeadReader:
    """Read the lines of a head up to a size."""

    __slots__ = ("_file", "_left")

    def __init__(self, file: BinaryIO, most: int) -> None:
        self._file = file
        self._left = most

    def readline(self, size: int = -1) -> bytes:
        most = self._left + 1
        line = self._file.readline(most if size < 0 else min(size, most))
        self._left -= len(line)
        if self._left < 0:
            raise HeadTooLarge("the request's head is too large")
        return line


def _refusal(status: HTTPStatus) -> bytes:
    return (
        f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n"
    ).encode()

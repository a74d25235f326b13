"""The HTTP server for calls that are matched by route."""

import contextlib
import http.client
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, BinaryIO

import gevent
import structlog
from gevent import socket

from toucanspool.gateway.call import RefusalCause, Refused
from toucanspool.gateway.caller import CallerLeft
from toucanspool.gateway.relay import DRAIN_RETRY_AFTER_S
from toucanspool.gateway.slow_reader import SEND_BUFFER_BYTES, SlowReader, send_all
from toucanspool.limits.memory_budget import RETRY_AFTER_S, MemoryBudget, MemoryPart
from toucanspool.routing.routes import RequestLimits
from toucanspool.wire.http_server import (
    RESET_ON_CLOSE,
    HttpServer,
    ReplyCutOff,
    ReplyHandler,
)
from toucanspool.wire.reply_parser import Header

# Bodies are read and counted in blocks of this size.
BODY_BLOCK_BYTES = 64 * 1024

_log = structlog.get_logger()


class BadFraming(ValueError):
    """Report a request whose length is ambiguous (RFC 9112, 6.3)."""


class HeadTooLarge(ValueError):
    """Report a request head that exceeds the size limit."""


class HeadTooSlow(TimeoutError):
    """Report a request head that exceeds the time limit."""


class Stopping(TimeoutError):
    """Report that the server stops before a request head is complete."""


class CallerHandler(ReplyHandler):
    """Handle requests, and give the application access to connection and headers."""

    _greenlet: gevent.Greenlet | None = None
    _head_timer: gevent.Timeout | None = None
    # Raised in the greenlet that reads a request if the server stops meanwhile.
    _stop_error: Exception | None = None
    _head_error_status: HTTPStatus | None = None
    # What is held for the request or the complete reply.
    held: MemoryPart

    @property
    def header_list(self) -> list[Header]:
        """Return the request's headers in order, including duplicates."""
        return list(self.headers.items())

    @property
    def sock(self) -> socket.socket:
        """Return the caller's connection."""
        return self.socket

    def handle_one_request(self) -> Any:
        """Read and answer one request; overrides `WSGIHandler`."""
        self._head_error_status = None
        self.held = self.server.memory.part()
        try:
            result = super().handle_one_request()
        finally:
            self.held.close()
            self._stop_head_timer()
            self._stop_error = None
        if self._head_error_status is None:
            return result
        return str(self._head_error_status.value), _error_response(
            self._head_error_status
        )

    def read_requestline(self) -> str:
        """Wait for a request and read its request line; overrides `WSGIHandler`."""
        limits: RequestLimits = self.server.limits
        self.socket.settimeout(limits.idle_timeout_s)
        self.wait_for_request()
        self._greenlet, self._stop_error = gevent.getcurrent(), Stopping()
        self._head_timer = gevent.Timeout.start_new(
            limits.header_timeout_s, HeadTooSlow
        )
        return super().read_requestline()

    def read_request(self, raw_requestline: str) -> bool:
        """Read a request's head; overrides `WSGIHandler`."""
        try:
            return super().read_request(raw_requestline)
        except (HeadTooLarge, http.client.HTTPException) as exc:
            self._head_error_status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise self._reject(exc) from exc
        except Stopping as exc:
            self._head_error_status = HTTPStatus.SERVICE_UNAVAILABLE
            raise self._reject(exc) from exc
        except TimeoutError as exc:
            self._head_error_status = HTTPStatus.REQUEST_TIMEOUT
            raise self._reject(exc) from exc
        except (ValueError, OSError) as exc:
            raise self._reject(exc) from exc
        finally:
            self._stop_head_timer()

    def MessageClass(self, file: BinaryIO, *args: Any) -> Any:  # noqa: N802
        """Parse a request's headers; overrides `WSGIHandler`."""
        max_bytes = self.server.limits.max_header_bytes - len(self.requestline)
        headers = super().MessageClass(_LimitedReader(file, max_bytes), *args)
        lengths = headers.get_all("content-length") or []
        transfer_codings = headers.get_all("transfer-encoding") or []
        if len(lengths) + len(transfer_codings) > 1:
            raise BadFraming("the request has more than one length")
        if transfer_codings and transfer_codings[0].lower() != "chunked":
            raise BadFraming("the request has an unknown transfer coding")
        return headers

    def read_body(self, max_bytes: int) -> bytes:
        """Return the request's body.

        Parameters
        ----------
        max_bytes : int
            Limit on its size.

        Returns
        -------
        bytes

        Raises
        ------
        Refused
            The body is too large or arrives too slowly, or the server stops.
        """
        if (self.content_length or 0) > max_bytes:
            raise Refused(RefusalCause.BODY_TOO_LARGE)
        memory = self.server.memory
        if not memory.admits(self.content_length or 0):
            raise self._refuse_for_memory()
        self._stop_error = Refused(
            RefusalCause.DRAINING, retry_after_s=DRAIN_RETRY_AFTER_S
        )
        body = bytearray()
        try:
            while block := self.wsgi_input.read(BODY_BLOCK_BYTES):
                body += block
                if len(body) > max_bytes:
                    raise Refused(RefusalCause.BODY_TOO_LARGE)
                if not memory.admits(len(block)):
                    raise self._refuse_for_memory()
                self.held.replace(len(body))
        except TimeoutError as exc:
            raise Refused(RefusalCause.BODY_TOO_SLOW) from exc
        finally:
            self._stop_error = None
        return bytes(body)

    def _refuse_for_memory(self) -> Refused:
        memory = self.server.memory
        fields = {"held_bytes": memory.held_bytes, "max_bytes": memory.max_bytes}
        return Refused(
            RefusalCause.NO_MEMORY, retry_after_s=RETRY_AFTER_S, log_fields=fields
        )

    def _sendall(self, data: bytes) -> None:
        """Send a part of a reply; overrides `WSGIHandler`."""
        stall_s = self.server.caller_stall_s
        if stall_s is None:
            super()._sendall(data)
            return
        try:
            send_all(self.socket, data, stall_s)
        except SlowReader as exc:
            _log.info(
                "caller reads too slowly",
                caller=self.client_address[0],
                unsent_bytes=exc.unsent_bytes,
            )
            self.server.on_slow_reader()
            # Also drops what the kernel still holds for this caller.
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            raise ReplyCutOff from exc
        self.response_length += len(data)

    def refuse_unread(self) -> None:
        """Refuse the request on this connection if it has not arrived completely."""
        if self._greenlet is not None and self._stop_error is not None:
            self._greenlet.kill(self._stop_error, block=False)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.close()
            self._head_timer = None

    def _reject(self, exc: Exception) -> ValueError:
        status = self._head_error_status or HTTPStatus.BAD_REQUEST
        _log.info(
            "request not read",
            caller=self.client_address[0],
            status=status.value,
            reason=str(exc) or type(exc).__name__,
        )
        return ValueError(str(exc))


class CallerServer(HttpServer):
    """Serve calls that are matched by route.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 picks a free one.
    app : callable
        The WSGI application.
    limits : RequestLimits
        Limits on requests; may be replaced while the server runs.
    memory : MemoryBudget, optional
        Bounds what is held for all requests and replies; no bound by default.
    caller_stall_s : float, optional
        Time in which a caller may read nothing before it is disconnected, in seconds;
        as for idle connections by default.
    on_slow_reader : callable, optional
        Called for each caller that is disconnected for that.
    """

    handler_class = CallerHandler

    def __init__(
        self,
        host: str,
        port: int,
        app: Any,
        *,
        limits: RequestLimits,
        memory: MemoryBudget | None = None,
        caller_stall_s: float | None = None,
        on_slow_reader: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(host, port, app, idle_timeout_s=limits.idle_timeout_s)
        self.limits = limits
        self.memory = memory or MemoryBudget()
        self.caller_stall_s = caller_stall_s
        self.on_slow_reader = on_slow_reader

    def refuse_unread(self) -> None:
        """Refuse all requests that have not arrived completely."""
        for handler in list(self.open_requests):
            handler.refuse_unread()

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection; overrides the gevent server."""
        if self.caller_stall_s is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        # `CallerLeft` may still be raised when the call has just ended.
        with contextlib.suppress(CallerLeft):
            super().handle(sock, address)


class _LimitedReader:
    """Read the lines of a request head up to a size limit."""

    __slots__ = ("_file", "_remaining_bytes")

    def __init__(self, file: BinaryIO, max_bytes: int) -> None:
        self._file = file
        self._remaining_bytes = max_bytes

    def readline(self, size: int = -1) -> bytes:
        max_bytes = self._remaining_bytes + 1
        line = self._file.readline(max_bytes if size < 0 else min(size, max_bytes))
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise HeadTooLarge("the request's head is too large")
        return line


def _error_response(status: HTTPStatus) -> bytes:
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Connection: close",
        "Content-Length: 0",
    ]
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(f"Retry-After: {DRAIN_RETRY_AFTER_S:.3f}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()

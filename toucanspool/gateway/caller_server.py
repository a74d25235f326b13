"""The HTTP server for calls that are matched by route."""

import contextlib
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, BinaryIO

import gevent
from gevent import socket

from toucanspool.gateway.call import RefusalCause, Refused
from toucanspool.gateway.caller import CallerLeft
from toucanspool.gateway.relay import DRAIN_RETRY_AFTER_S
from toucanspool.limits.memory_budget import RETRY_AFTER_S, MemoryBudget
from toucanspool.wire.bounded_handler import BoundedHandler
from toucanspool.wire.bounded_server import BoundedServer
from toucanspool.wire.client_limits import ClientLimits
from toucanspool.wire.reply_parser import Header
from toucanspool.wire.request_body import BodyNotHeld, BodyTooLarge, BodyTooSlow
from toucanspool.wire.request_limits import RequestLimits


class BadFraming(ValueError):
    """Report a request whose length is ambiguous (RFC 9112, 6.3)."""


class Stopping(TimeoutError):
    """Report that the server stops before a request head is complete."""


class CallerHandler(BoundedHandler):
    """Handle requests, and give the application access to connection and headers."""

    _greenlet: gevent.Greenlet | None = None
    # Raised in the greenlet that reads a request if the server stops meanwhile.
    _stop_error: Exception | None = None

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
        try:
            return super().handle_one_request()
        finally:
            self._stop_error = None

    def MessageClass(self, file: BinaryIO, *args: Any) -> Any:  # noqa: N802
        """Parse a request's headers; overrides `WSGIHandler`."""
        headers = super().MessageClass(file, *args)
        lengths = headers.get_all("content-length") or []
        transfer_codings = headers.get_all("transfer-encoding") or []
        if len(lengths) + len(transfer_codings) > 1:
            raise BadFraming("the request has more than one length")
        if transfer_codings and transfer_codings[0].lower() != "chunked":
            raise BadFraming("the request has an unknown transfer coding")
        return headers

    def read_body(self, max_bytes: int, timeout_s: float) -> bytes:
        """Return the request's body.

        Parameters
        ----------
        max_bytes : int
            Limit on its size.
        timeout_s : float
            Limit on the time until it has arrived, in seconds.

        Returns
        -------
        bytes

        Raises
        ------
        Refused
            The body is too large or arrives too slowly, or the server stops.
        """
        self._stop_error = Refused(
            RefusalCause.DRAINING, retry_after_s=DRAIN_RETRY_AFTER_S
        )
        try:
            return super().read_body(max_bytes, timeout_s)
        except BodyTooLarge as exc:
            raise Refused(RefusalCause.BODY_TOO_LARGE) from exc
        except BodyTooSlow as exc:
            raise Refused(RefusalCause.BODY_TOO_SLOW) from exc
        except BodyNotHeld as exc:
            memory = self.limits.memory
            fields = {"held_bytes": memory.held_bytes, "max_bytes": memory.max_bytes}
            raise Refused(
                RefusalCause.NO_MEMORY, retry_after_s=RETRY_AFTER_S, log_fields=fields
            ) from exc
        finally:
            self._stop_error = None

    def refuse_unread(self) -> None:
        """Refuse the request on this connection if it has not arrived completely."""
        if self._greenlet is not None and self._stop_error is not None:
            self._greenlet.kill(self._stop_error, block=False)

    def _request_begins(self) -> None:
        self._greenlet, self._stop_error = gevent.getcurrent(), Stopping()

    def _late_head_status(self, exc: TimeoutError) -> HTTPStatus:
        if isinstance(exc, Stopping):
            return HTTPStatus.SERVICE_UNAVAILABLE
        return super()._late_head_status(exc)

    def _error_headers(self, status: HTTPStatus) -> list[str]:
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            return [f"Retry-After: {DRAIN_RETRY_AFTER_S:.3f}"]
        return []


class CallerServer(BoundedServer):
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
        Bounds what is held for all requests and replies; that of `client_limits` by
        default.
    client_limits : ClientLimits, optional
        As in `BoundedServer`.
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
        client_limits: ClientLimits | None = None,
        caller_stall_s: float | None = None,
        on_slow_reader: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(
            host,
            port,
            app,
            limits=limits,
            client_limits=client_limits or ClientLimits(memory),
            stall_s=caller_stall_s,
            on_slow_reader=on_slow_reader,
        )
        self.memory = self.client_limits.memory

    def refuse_unread(self) -> None:
        """Refuse all requests that have not arrived completely."""
        for handler in list(self.open_requests):
            handler.refuse_unread()

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection; overrides the gevent server."""
        # `CallerLeft` may still be raised when the call has just ended.
        with contextlib.suppress(CallerLeft):
            super().handle(sock, address)

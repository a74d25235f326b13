"""Handling of HTTP requests within the bounds on a process's clients."""

import http.client
from contextlib import ExitStack, suppress
from http import HTTPStatus
from typing import Any, BinaryIO

import gevent
import structlog
from gevent import socket

from toucanspool.limits.memory_budget import MemoryPart
from toucanspool.telemetry.rate_limited import RateLimitedLog
from toucanspool.wire.client_errors import (
    evicted_error,
    head_error_response,
    is_client_error,
)
from toucanspool.wire.client_limits import ClientLimits
from toucanspool.wire.http_server import RESET_ON_CLOSE, ReplyCutOff, ReplyHandler
from toucanspool.wire.open_connections import Phase
from toucanspool.wire.request_body import BodyInput, BodyTooSlow
from toucanspool.wire.request_head import HeadTooLarge, HeadTooSlow, LimitedReader
from toucanspool.wire.request_limits import RequestLimits
from toucanspool.wire.request_turn import RequestTurn
from toucanspool.wire.slow_reader import SlowReader, send_all

# Chunks of a reply from this size are sent without a copy that frames them.
MIN_UNCOPIED_BYTES = 16 * 1024

_log = RateLimitedLog(structlog.get_logger())


class BoundedHandler(ReplyHandler):
    """Handle requests within the bounds on clients; see `ClientLimits`."""

    _head_timer: gevent.Timeout | None = None
    _head_error_status: HTTPStatus | None = None
    _sent_ahead = False
    _evicted = False
    _sent_bytes = 0
    # What is held for the request or the complete reply on this connection.
    held: MemoryPart
    _turn: RequestTurn

    @property
    def limits(self) -> ClientLimits:
        """Return the bounds that it shares with other connections."""
        return self.server.client_limits

    @property
    def transferred_bytes(self) -> int:
        """Return how much the client sent or read in its phase; see `Evictable`."""
        if self.wsgi_input is not None and self._sent_bytes == 0:
            return self.wsgi_input.received_bytes
        return self._sent_bytes

    def handle(self) -> None:
        """Serve the connection; overrides `WSGIHandler`."""
        connections = self.limits.connections
        self.held = self.limits.memory.part()
        if not connections.add(self):
            _log.info("connection refused", connections=len(connections))
            self.socket.close()
            return
        self._serving = gevent.getcurrent()
        # The client may be gone as the last response is sent.
        with ExitStack() as closing, suppress(OSError):
            closing.callback(connections.remove, self)
            self._turn = RequestTurn(
                self.limits,
                self.socket,
                given_up=lambda: self._evicted,
                evict=lambda: connections.evict(self),
            )
            closing.callback(self._turn.close)
            super().handle()

    def evict(self, phase: Phase) -> None:
        """Reset the connection for another client; see `Evictable`."""
        self._evicted = True
        self.held.close()
        self._turn.close()
        with suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            # Wakes the greenlet that waits for the client, or its `CallerWatch`.
            self.socket._sock.shutdown(socket.SHUT_RDWR)
        if phase is not Phase.SENDING:
            # It may wait for its turn. While a stream is sent, the error could be taken
            # for one of an upstream's connection.
            self._serving.kill(evicted_error(), block=False)
        _log.info("connection evicted", caller=self.client_address[0], phase=phase.name)

    def handle_error(self, kind: Any, exc: Any, trace: Any) -> None:
        """Log an error of one request; overrides `WSGIHandler`."""
        if self._evicted or is_client_error(exc):
            _log.info("connection broke", caller=self.client_address[0], error=str(exc))
            self.close_connection = True
            return
        super().handle_error(kind, exc, trace)

    def handle_one_request(self) -> Any:
        """Read and answer one request; overrides `WSGIHandler`."""
        self._head_error_status = None
        self._sent_bytes = 0
        try:
            result = super().handle_one_request()
        finally:
            self.held.close()
            self._stop_head_timer()
            self._turn.end_request()
        if self._head_error_status is None:
            return result
        status = self._head_error_status
        return str(status.value), head_error_response(
            status, self._error_headers(status)
        )

    def read_requestline(self) -> str:
        """Wait for a request and read its request line; overrides `WSGIHandler`."""
        limits: RequestLimits = self.server.limits
        self._move(Phase.IDLE)
        self.socket.settimeout(limits.idle_timeout_s)
        if not self.wait_for_request():
            return ""
        self.server.open_requests.add(self)
        if not self._take_turn():
            return ""
        self._move(Phase.ARRIVING)
        self._request_begins()
        self._head_timer = gevent.Timeout.start_new(
            limits.header_timeout_s, HeadTooSlow
        )
        return super().read_requestline()

    def read_request(self, raw_requestline: str) -> bool:
        """Read a request's head; overrides `WSGIHandler`."""
        try:
            return super().read_request(raw_requestline)
        except (HeadTooLarge, http.client.HTTPException) as exc:
            raise self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, exc) from exc
        except TimeoutError as exc:
            raise self._reject(self._late_head_status(exc), exc) from exc
        except (ValueError, OSError) as exc:
            raise self._reject(None, exc) from exc
        finally:
            self._stop_head_timer()

    def MessageClass(self, file: BinaryIO, *args: Any) -> Any:  # noqa: N802
        """Parse a request's headers; overrides `WSGIHandler`."""
        max_bytes = self.server.limits.max_header_bytes - len(self.requestline)
        return super().MessageClass(LimitedReader(file, max_bytes), *args)

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment; overrides `WSGIHandler`."""
        environ = super().get_environ()
        body = self.wsgi_input
        self.wsgi_input = BodyInput(
            self.rfile,
            self.content_length,
            body.socket,
            body.chunked_input,
            self.limits.parsing,
        )
        environ["wsgi.input"] = self.wsgi_input
        environ["wsgi.input_terminated"] = True
        return environ

    def run_application(self) -> None:
        """Run the application and send its reply; overrides `WSGIHandler`."""
        if self.content_length is None and not self.wsgi_input.chunked_input:
            self._move(Phase.RUNNING)
        super().run_application()
        # What the client still sends is discarded.
        self._move(Phase.CLOSING)

    def read_body(self, max_bytes: int, timeout_s: float) -> bytes:
        """Return the request's body; see `BodyInput.read_bounded`.

        Parameters
        ----------
        max_bytes : int
            Limit on its size.
        timeout_s : float
            Limit on the time until it has arrived, in seconds.

        Returns
        -------
        bytes
        """
        with gevent.Timeout(timeout_s, BodyTooSlow):
            body = self.wsgi_input.read_bounded(
                max_bytes, self.held, self.limits.memory
            )
        self._move(Phase.RUNNING)
        return body

    def finalize_headers(self) -> None:
        """Add the headers that frame the reply; overrides `WSGIHandler`."""
        # A client that sends its next request before this reply doesn't wait for it.
        self._sent_ahead = self._has_bytes()
        super().finalize_headers()
        if self.wsgi_input.abandon_rest() and not self.close_connection:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))

    def _write(self, data: bytes) -> None:
        if not self.response_use_chunked or len(data) < MIN_UNCOPIED_BYTES:
            super()._write(data)
            return
        self._sendall(b"%x\r\n" % len(data))
        self._sendall(data)
        self._sendall(b"\r\n")

    def _sendall(self, data: bytes) -> None:
        """Send a part of a reply; overrides `WSGIHandler`."""
        try:
            stall_s = self.server.stall_s
            send_all(self.socket, data, stall_s, on_sent=self._count_sent)
        except SlowReader as exc:
            if not self._evicted:
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

    def _count_sent(self, n_bytes: int) -> None:
        self._move(Phase.SENDING)
        self._sent_bytes += n_bytes

    def _wait_for_close(self) -> None:
        if self.wsgi_input.abandoned:
            self._discard_until_closed()
        else:
            super()._wait_for_close()

    def _request_begins(self) -> None:
        """Prepare to read a head; called once its first bytes have arrived."""

    def _late_head_status(self, exc: TimeoutError) -> HTTPStatus:
        """Return the status that tells a client why its head was given up."""
        return HTTPStatus.REQUEST_TIMEOUT

    def _error_headers(self, status: HTTPStatus) -> list[str]:
        """Return further header lines of the response to a head that was not read."""
        return []

    def _take_turn(self) -> bool:
        """Return whether the request may be read now; else the connection is closed."""
        timeout_s = self.server.limits.header_timeout_s
        self._move(Phase.RUNNING)
        taken = self._turn.reserve_buffers(timeout_s)
        if taken and self._sent_ahead:
            self._move(Phase.ARRIVING)
            taken = self._turn.wait_ahead(timeout_s)
        if not taken:
            _log.info("request not begun", caller=self.client_address[0])
        return taken

    def _has_bytes(self) -> bool:
        """Return whether bytes of a further request have arrived."""
        timeout_s = self.socket.gettimeout()
        self.socket.settimeout(0.0)
        try:
            return bool(self.rfile.peek(1))
        except (OSError, ValueError):
            return False
        finally:
            self.socket.settimeout(timeout_s)

    def _move(self, phase: Phase) -> None:
        if self._evicted:
            raise evicted_error()
        self.limits.connections.move(self, phase)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.close()
            self._head_timer = None

    def _reject(self, status: HTTPStatus | None, exc: Exception) -> ValueError:
        self._head_error_status = status
        _log.info(
            "request not read",
            caller=self.client_address[0],
            status=(status or HTTPStatus.BAD_REQUEST).value,
            reason=str(exc) or type(exc).__name__,
        )
        return ValueError(str(exc))

"""WSGI application that turns callers' requests into calls, and replies into HTTP."""

import re
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack
from http import HTTPStatus
from typing import Any

import gevent
import structlog

from toucanspool.gateway.call import Call, RefusalCause, Refused, Reply
from toucanspool.gateway.call_dispatcher import CallDispatcher
from toucanspool.gateway.caller import CallerLeft, CallerWatch
from toucanspool.gateway.caller_server import CallerHandler
from toucanspool.gateway.fingerprint import fingerprint
from toucanspool.platform import headers as platform_headers
from toucanspool.platform.refusals import refusal_body, refusal_status
from toucanspool.retries.deadline import Deadline
from toucanspool.routing.regions import combine_regions
from toucanspool.routing.routes import KeyHolder, Route, RouteTable
from toucanspool.telemetry.call_metrics import CallMetrics
from toucanspool.wire.http_server import HANDLER_KEY, ReplyCutOff
from toucanspool.wire.reply_parser import Header

MS_PER_S = 1000.0
BEARER = "bearer "
# Deadline of requests without a `DEADLINE_MS` header.
DEFAULT_TIMEOUT_MS = 30_000.0
# A body may take the caller's whole time, but no more than this.
MAX_BODY_S = 120.0
PROBLEM_JSON = "application/problem+json"

_VISIBLE = re.compile(r"[!-~]+")

StartResponse = Callable[[str, list[Header]], Any]

_log = structlog.get_logger()


class Frontend:
    """Serve the requests of callers; a WSGI application.

    Parameters
    ----------
    dispatcher : CallDispatcher
        Runs calls.
    routes : callable
        Returns the `RouteTable` in force; None until one is set.
    rng : random.Random
        Random source for the choice of services by weight.
    metrics : CallMetrics
        Counters and latencies of calls.
    """

    __slots__ = ("_dispatcher", "_metrics", "_rng", "_routes")

    def __init__(
        self,
        dispatcher: CallDispatcher,
        routes: Callable[[], RouteTable | None],
        rng: Any,
        metrics: CallMetrics,
    ) -> None:
        self._dispatcher = dispatcher
        self._routes = routes
        self._rng = rng
        self._metrics = metrics

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle a request."""
        handler: CallerHandler = environ[HANDLER_KEY]
        arrived_at = time.monotonic()
        closing = ExitStack()
        call_id = handler.headers.get(platform_headers.ATTEMPT_ID, "")
        try:
            call = self._build_call(handler, arrived_at)
            closing.enter_context(CallerWatch(handler.sock))
            timeout = gevent.Timeout.start_new(call.deadline.left_s(arrived_at))
            closing.callback(timeout.close)
            reply = self._serve_until_deadline(call, closing, timeout)
        except Refused as exc:
            closing.close()
            return self._refuse(call_id, exc, start_response, arrived_at)
        except CallerLeft as exc:
            closing.close()
            self._log_end(call_id, "caller left", arrived_at)
            raise ReplyCutOff from exc
        except BaseException:
            closing.close()
            raise
        return self._respond(handler, call, reply, closing, timeout, start_response)

    def _serve_until_deadline(
        self, call: Call, closing: ExitStack, timeout: gevent.Timeout
    ) -> Reply:
        try:
            return self._dispatcher.serve(call, closing)
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            raise Refused(RefusalCause.DEADLINE, may_have_run=True) from exc

    def _build_call(self, handler: CallerHandler, arrived_at: float) -> Call:
        table = self._routes()
        if table is None:
            raise Refused(RefusalCause.NO_CONFIG, retry_after_s=0.2)
        request_headers = {name.lower(): value for name, value in handler.header_list}
        timeout_ms = platform_headers.parse_number(
            request_headers.get(platform_headers.DEADLINE_MS, ""), DEFAULT_TIMEOUT_MS
        )
        body_s = min(MAX_BODY_S, timeout_ms / MS_PER_S)
        body = handler.read_body(table.limits.max_body_bytes, body_s)
        if not _forwardable(handler):
            raise Refused(RefusalCause.BAD_REQUEST)
        host = request_headers.get("host", "").partition(":")[0].lower()
        path = handler.path.partition("?")[0]
        route = table.find(host, path)
        if route is None:
            raise Refused(RefusalCause.NO_ROUTE, log_fields={"routes": table.version})
        team = _authenticate(table, route, request_headers)
        left_s = min(timeout_ms / MS_PER_S, route.timeout_s)
        service = route.service(self._rng)
        urgency = table.urgency(service)
        prompt_tokens, answer_tokens = platform_headers.parse_token_counts(
            request_headers
        )
        return Call(
            id=request_headers.get(platform_headers.ATTEMPT_ID, ""),
            method=handler.command,
            target=handler.path,
            headers=platform_headers.forwarded_headers(handler.header_list),
            body=body,
            route=route,
            routes_version=table.version,
            service=service,
            team=team.name,
            urgency=urgency.rank(route.priority, team.priority),
            ordered=urgency.routes_differ,
            deadline=Deadline.after(left_s, arrived_at),
            arrived_at=arrived_at,
            prompt_tokens=prompt_tokens,
            answer_tokens=answer_tokens,
            last_event_id=request_headers.get(platform_headers.LAST_EVENT_ID, ""),
            prompt=platform_headers.parse_shared_prompt(request_headers),
            fingerprint=fingerprint(
                team.name, host, handler.command, handler.path, body
            ),
            regions=combine_regions(route.allowed_regions, team.allowed_regions),
            memory=handler.limits.memory,
            buffers=handler.limits.upstream_buffers,
        )

    def _refuse(
        self,
        call_id: str,
        exc: Refused,
        start_response: StartResponse,
        arrived_at: float,
    ) -> list[bytes]:
        status, body = refusal_status(exc), refusal_body(exc)
        headers = [("Content-Type", PROBLEM_JSON), ("Content-Length", str(len(body)))]
        if status in (429, 503):
            headers.append(("Retry-After", f"{exc.retry_after_s:.3f}"))
        if self._dispatcher.draining:
            headers.append(("Connection", "close"))
        self._metrics.record_refusal(exc.cause.name)
        self._log_end(
            call_id,
            "refused",
            arrived_at,
            cause=exc.cause.name,
            status=status,
            may_have_run=exc.may_have_run,
            retry_after_s=round(exc.retry_after_s, 3),
            **exc.log_fields,
        )
        start_response(_status_line(status), headers)
        return [body]

    def _respond(
        self,
        handler: CallerHandler,
        call: Call,
        reply: Reply,
        closing: ExitStack,
        timeout: gevent.Timeout,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        headers = list(reply.headers)
        whole = isinstance(reply.body, bytes)
        # Callers of HTTP/1.0 don't know chunks.
        framed = reply.framed and (whole or handler.request_version != "HTTP/1.0")
        if not framed:
            handler.begin_unframed_reply()
            headers.append(("Connection", "close"))
        if whole:
            handler.held.replace(len(reply.body))
            closing.close()
            if framed and call.method != "HEAD":
                headers.append(("Content-Length", str(len(reply.body))))
            start_response(_status_line(reply.status), headers)
            self._metrics.record_answer(
                reply.status, time.monotonic() - call.arrived_at
            )
            self._log_end(call.id, "answered", call.arrived_at, status=reply.status)
            return [reply.body] if framed else _send_unframed([reply.body], handler)
        start_response(_status_line(reply.status), headers)
        self._metrics.record_first_event(time.monotonic() - call.arrived_at)
        parts = self._stream(call, reply, closing, timeout)
        return parts if framed else _send_unframed(parts, handler)

    def _stream(
        self, call: Call, reply: Reply, closing: ExitStack, timeout: gevent.Timeout
    ) -> Iterator[bytes]:
        outcome = "caller left"
        try:
            with closing:
                yield from reply.body
            outcome = "answered"
        except ReplyCutOff:
            outcome = "cut off"
            raise
        except CallerLeft as exc:
            raise ReplyCutOff from exc
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            outcome = "cut off at its deadline"
            raise ReplyCutOff from exc
        finally:
            self._metrics.record_answer(
                reply.status, time.monotonic() - call.arrived_at
            )
            self._log_end(call.id, outcome, call.arrived_at, status=reply.status)

    def _log_end(
        self, call_id: str, outcome: str, arrived_at: float, **fields: Any
    ) -> None:
        took_ms = round((time.monotonic() - arrived_at) * MS_PER_S)
        _log.info(
            "call ended", request_id=call_id, outcome=outcome, took_ms=took_ms, **fields
        )


def _send_unframed(parts: Iterable[bytes], handler: CallerHandler) -> Iterator[bytes]:
    yield from parts
    handler.finish_unframed_reply()


def _forwardable(handler: CallerHandler) -> bool:
    """Return whether the target and the header names have only visible characters."""
    texts = [handler.path, *(name for name, _ in handler.header_list)]
    return all(_VISIBLE.fullmatch(text) for text in texts)


def _authenticate(
    table: RouteTable, route: Route, request_headers: dict[str, str]
) -> KeyHolder:
    if route.public or not table.keys_required:
        return KeyHolder(name="")
    credentials = request_headers.get("authorization", "")
    key = credentials[len(BEARER) :].strip()
    holder = table.keys.get(key) if credentials.lower().startswith(BEARER) else None
    if holder is None:
        raise Refused(RefusalCause.NO_KEY, log_fields={"routes": table.version})
    return holder


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"

"""Forwarding of event streams, which are resumed at another upstream if they break."""

import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import structlog

from toucanspool.gateway.attempt import SUCCESS_STATUSES, Attempt, TurnedAway
from toucanspool.gateway.call import Call, Refused, Reply
from toucanspool.gateway.caller import ReplyCutOff
from toucanspool.gateway.dialect import Dialect
from toucanspool.gateway.progress import CallProgress
from toucanspool.gateway.relay import Relay, may_follow
from toucanspool.routing.group_health import GroupHealth
from toucanspool.routing.upstream import Upstream
from toucanspool.wire.event_splitter import EventSplitter
from toucanspool.wire.exchange import Unreachable
from toucanspool.wire.reply_parser import BrokenReply
from toucanspool.wire.reply_reader import Silent

# Callers abandon a stream after 2 s without an event. An upstream that stays silent is
# abandoned a little earlier, so that another one can resume the stream.
STREAM_IDLE_TIMEOUT_S = 1.7
# Where no other upstream may resume the stream, the caller decides. The difference to
# its 2 s covers delays on the way.
LAST_ATTEMPT_IDLE_TIMEOUT_S = 2.5

_log = structlog.get_logger()

_ATTEMPT_ERRORS = (Unreachable, TurnedAway, Silent, BrokenReply)


class StreamRelay:
    """Forward streams to upstreams and their events to callers.

    Parameters
    ----------
    relay : Relay
        Chooses upstreams and decides on retries.
    dialect : Dialect
        Translates headers.
    on_event_gap : callable
        Called with the name of the service and the seconds between two arrivals of
        events.
    group_health : GroupHealth
        Is told when streams begin, have an event and end.
    """

    __slots__ = ("_dialect", "_group_health", "_on_event_gap", "_relay")

    def __init__(
        self,
        relay: Relay,
        dialect: Dialect,
        on_event_gap: Callable[[str, float], None],
        group_health: GroupHealth,
    ) -> None:
        self._group_health = group_health
        self._relay = relay
        self._dialect = dialect
        self._on_event_gap = on_event_gap

    def begin(self, call: Call, closing: ExitStack) -> Reply:
        """Return a stream's reply once its first event has arrived.

        Parameters
        ----------
        call : Call
            The call.
        closing : ExitStack
            Releases the call's resources; closed by the caller after the body.

        Returns
        -------
        Reply

        Raises
        ------
        Refused
            There is no reply to return.
        """
        progress = self._relay.start_call(call)
        splitter = EventSplitter(last_id=call.last_event_id)
        attempt_stack = closing.enter_context(ExitStack())
        attempt, upstream, failure_body = self._open_stream(
            call, progress, splitter, attempt_stack
        )
        headers = list(attempt.reply_head.headers)
        if failure_body is not None:
            return Reply(attempt.status, headers, failure_body, framed=attempt.framed)
        events = self._relay_events(
            call, progress, splitter, attempt_stack, attempt, upstream
        )
        framed = attempt.framed
        first = next(events, b"")
        return Reply(attempt.status, headers, _prepend(first, events), framed=framed)

    def _open_stream(
        self,
        call: Call,
        progress: CallProgress,
        splitter: EventSplitter,
        attempt_stack: ExitStack,
    ) -> tuple[Attempt, Upstream, bytes | None]:
        """Return an attempt after the reply's head, and the body if it is a failure."""
        while True:
            attempt_stack.close()
            upstream = self._relay.chooser.choose(call, progress)
            attempt = Attempt(call, upstream, self._dialect)
            attempt_stack.callback(attempt.close)
            self._group_health.start_stream(upstream.name, time.monotonic())
            attempt_stack.callback(self._group_health.end_stream, upstream.name)
            try:
                idle_until = time.monotonic() + _idle_timeout_s(call, progress)
                until = min(call.deadline.at, idle_until)
                attempt.begin(until, last_event_id=splitter.last_id)
                failure_body = None
                if attempt.status not in SUCCESS_STATUSES:
                    failure_body = attempt.read_body(until, self._relay.max_reply_bytes)
            except _ATTEMPT_ERRORS as exc:
                self._relay.handle_failure(
                    call, progress, upstream, exc, sent=attempt.sent
                )
                continue
            return attempt, upstream, failure_body

    def _relay_events(
        self,
        call: Call,
        progress: CallProgress,
        splitter: EventSplitter,
        attempt_stack: ExitStack,
        attempt: Attempt,
        upstream: Upstream,
    ) -> Iterator[bytes]:
        while True:
            try:
                yield from self._read_events(call, progress, splitter, attempt)
                self._relay.record_success(upstream)
                return
            except Refused as exc:
                if splitter.count:
                    raise ReplyCutOff from exc
                raise
            except (Silent, BrokenReply) as exc:
                splitter.drop_partial()
                try:
                    self._relay.handle_failure(call, progress, upstream, exc, sent=True)
                    attempt, upstream, failure_body = self._open_stream(
                        call, progress, splitter, attempt_stack
                    )
                    if failure_body is not None:
                        raise BrokenReply(f"resumed with status {attempt.status}")
                except (Refused, BrokenReply) as cause:
                    # Without an event sent yet, the caller can still be refused.
                    if not splitter.count and isinstance(cause, Refused):
                        raise
                    _log.info(
                        "stream cut off",
                        request_id=call.id,
                        last_event_id=splitter.last_id,
                        reason=str(cause),
                    )
                    raise ReplyCutOff from cause
                _log.info(
                    "stream resumed",
                    request_id=call.id,
                    upstream=upstream.name,
                    last_event_id=splitter.last_id,
                )

    def _read_events(
        self,
        call: Call,
        progress: CallProgress,
        splitter: EventSplitter,
        attempt: Attempt,
    ) -> Iterator[bytes]:
        last_at = 0.0
        for events in attempt.iter_events(
            splitter, _idle_timeout_s(call, progress), call.deadline.at
        ):
            now = time.monotonic()
            if last_at:
                self._on_event_gap(call.service, now - last_at)
            last_at = now
            self._group_health.record_event(attempt.upstream, now)
            self._relay.guard.record_answer(call, progress)
            yield events
        if not attempt.framed and (splitter.partial or not last_at):
            raise BrokenReply("the stream ended inside an event")
        self._relay.guard.record_answer(call, progress, complete=attempt.framed)
        if splitter.partial:
            yield splitter.partial


def _idle_timeout_s(call: Call, progress: CallProgress) -> float:
    """Return how long the present attempt may be silent, in seconds."""
    if may_follow(call, progress):
        return STREAM_IDLE_TIMEOUT_S
    return LAST_ATTEMPT_IDLE_TIMEOUT_S


def _prepend(first: bytes, events: Iterator[bytes]) -> Iterator[bytes]:
    if first:
        yield first
    yield from events

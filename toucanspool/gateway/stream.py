"""A stream's answer: whole events as they come, resumed where it breaks off."""

import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import structlog

from toucanspool.gateway.attempt import SUCCESS, Attempt, TurnedAway
from toucanspool.gateway.call import Call, Refused, Reply
from toucanspool.gateway.caller import ReplyCutOff
from toucanspool.gateway.dialect import Dialect
from toucanspool.gateway.events import EventSplitter
from toucanspool.gateway.exchange import Silent, Unreachable
from toucanspool.gateway.relay import Progress, Relay
from toucanspool.gateway.reply_parser import BrokenReply
from toucanspool.routing.upstreams import Upstream

# A caller gives a stream up after 2 s without an event.
STREAM_IDLE_TIMEOUT_S = 1.7

_log = structlog.get_logger()

_FAILURES = (Unreachable, TurnedAway, Silent, BrokenReply)


class StreamRelay:
    """Carry streams to upstreams and their events to callers.

    Parameters
    ----------
    relay : Relay
        Chooses upstreams and decides on further attempts.
    dialect : Dialect
        Translates headers.
    on_pause : callable
        Takes the service's name and the seconds between two pieces of a stream.
    """

    __slots__ = ("_dialect", "_on_pause", "_relay")

    def __init__(
        self,
        relay: Relay,
        dialect: Dialect,
        on_pause: Callable[[str, float], None],
    ) -> None:
        self._relay = relay
        self._dialect = dialect
        self._on_pause = on_pause

    def begin(self, call: Call, closing: ExitStack) -> Reply:
        """Return a stream's reply once its first event has come.

        Parameters
        ----------
        call : Call
            The call.
        closing : ExitStack
            Closed by the caller after the body's end.

        Returns
        -------
        Reply

        Raises
        ------
        Refused
            There is no reply.
        """
        progress = self._relay.first(call)
        splitter = EventSplitter(last_id=call.last_event_id)
        current = closing.enter_context(ExitStack())
        attempt, upstream = self._open(call, progress, splitter, current)
        headers = list(attempt.reply_head.headers)
        if attempt.status not in SUCCESS:
            body = attempt.read_body(call.deadline.at)
            return Reply(attempt.status, headers, body)
        events = self._events(call, progress, splitter, current, attempt, upstream)
        first = next(events, b"")
        return Reply(attempt.status, headers, _chain(first, events))

    def _open(
        self,
        call: Call,
        progress: Progress,
        splitter: EventSplitter,
        current: ExitStack,
    ) -> tuple[Attempt, Upstream]:
        while True:
            current.close()
            upstream = self._relay.choose(call, progress)
            attempt = Attempt(call, upstream, self._dialect)
            current.callback(attempt.close)
            try:
                until = min(call.deadline.at, time.monotonic() + STREAM_IDLE_TIMEOUT_S)
                attempt.begin(until, last_event_id=splitter.last_id)
            except _FAILURES as exc:
                self._relay.failed(call, progress, upstream, exc, sent=attempt.sent)
                continue
            return attempt, upstream

    def _events(
        self,
        call: Call,
        progress: Progress,
        splitter: EventSplitter,
        current: ExitStack,
        attempt: Attempt,
        upstream: Upstream,
    ) -> Iterator[bytes]:
        while True:
            try:
                yield from self._pieces(call, splitter, attempt)
                self._relay.succeeded(upstream)
                return
            except (Silent, BrokenReply) as exc:
                splitter.drop_rest()
                try:
                    self._relay.failed(call, progress, upstream, exc, sent=True)
                    attempt, upstream = self._open(call, progress, splitter, current)
                    if attempt.status not in SUCCESS:
                        raise BrokenReply(f"resumed with status {attempt.status}")
                except (Refused, BrokenReply) as cause:
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

    def _pieces(
        self, call: Call, splitter: EventSplitter, attempt: Attempt
    ) -> Iterator[bytes]:
        last_at = 0.0
        for data in attempt.iter_body(STREAM_IDLE_TIMEOUT_S, call.deadline.at):
            events = splitter.take(data)
            if not events:
                continue
            now = time.monotonic()
            if last_at:
                self._on_pause(call.service, now - last_at)
            last_at = now
            yield events
        if splitter.rest:
            yield splitter.rest


def _chain(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    if first:
        yield first
    yield from rest

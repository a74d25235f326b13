"""Forwarding of event streams, which are resumed at another upstream if they break."""

import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import structlog

from toucanspool.gateway.attempt import SUCCESS_STATUSES, Attempt, NotContinued
from toucanspool.gateway.call import Call, Refused, Reply
from toucanspool.gateway.dialect import Dialect
from toucanspool.gateway.progress import CallProgress
from toucanspool.gateway.relay import Relay, may_follow
from toucanspool.gateway.stream_source import NotBegun, StreamForm, StreamSource, concat
from toucanspool.wire.event_splitter import MAX_EVENT_BYTES, EventSplitter, check_events
from toucanspool.wire.http_server import ReplyCutOff
from toucanspool.wire.reply_parser import BrokenReply
from toucanspool.wire.reply_reader import Silent

# Callers abandon a stream after 2 s without an event. An upstream that stays silent is
# abandoned a little earlier, so that another one can resume the stream.
STREAM_IDLE_TIMEOUT_S = 1.7
# Where no other upstream may resume the stream, the caller decides. The difference to
# its 2 s covers delays on the way.
LAST_ATTEMPT_IDLE_TIMEOUT_S = 2.5

_log = structlog.get_logger()


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
    """

    __slots__ = ("_dialect", "_on_event_gap", "_relay")

    def __init__(
        self,
        relay: Relay,
        dialect: Dialect,
        on_event_gap: Callable[[str, float], None],
    ) -> None:
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
        while True:
            source = self._open_stream(call, progress, splitter, attempt_stack)
            attempt = source.attempt
            if source.failure_body is not None:
                return attempt.complete_reply(source.failure_body)
            form = StreamForm.of(attempt)
            headers = list(attempt.reply_head.headers)
            events = self._relay_events(call, progress, source, form, attempt_stack)
            try:
                first = next(events, b"")
            except NotBegun:
                continue
            body = concat(first, events)
            return Reply(form.status, headers, body, framed=form.framed)

    def _open_stream(
        self,
        call: Call,
        progress: CallProgress,
        splitter: EventSplitter,
        attempt_stack: ExitStack,
        form: StreamForm | None = None,
    ) -> StreamSource:
        """Return a stream, or a failure, after the reply's head.

        Where a second attempt may be made, it is returned after the first event. With a
        `form`, a stream has begun, and only a reply that may go on with it is returned.
        """
        while True:
            attempt_stack.close()
            upstream = self._relay.chooser.choose(call, progress)
            hedged = self._relay.runner.hedges(call, progress)
            idle_timeout_s = _idle_timeout_s(call, progress)

            def work(
                attempt: Attempt,
                until: float,
                hedged: bool = hedged,
                idle_timeout_s: float = idle_timeout_s,
            ) -> StreamSource:
                if hedged:
                    return self._open_with_event(call, progress, attempt, until)
                return self._open(call, attempt, until, idle_timeout_s, splitter, form)

            outcome = self._relay.runner.run(
                call,
                progress,
                upstream,
                work,
                lambda _, idle_timeout_s=idle_timeout_s: min(
                    call.deadline.at, time.monotonic() + idle_timeout_s
                ),
                attempt_stack,
            )
            if outcome.error is not None:
                self._relay.handle_failure(
                    call,
                    progress,
                    outcome.upstream,
                    outcome.error,
                    sent=outcome.attempt.sent,
                )
                continue
            source = outcome.value
            source.upstream = outcome.upstream
            self._relay.returns.record(call.service, turned_away=False)
            return source

    def _open(
        self,
        call: Call,
        attempt: Attempt,
        until: float,
        idle_timeout_s: float,
        splitter: EventSplitter,
        form: StreamForm | None = None,
    ) -> StreamSource:
        attempt.begin(until, last_event_id=splitter.last_id)
        if form is not None:
            form.check_continued(StreamForm.of(attempt))
        events = attempt.iter_events(splitter, idle_timeout_s, call.deadline.at)
        source = StreamSource(attempt, splitter, events)
        if attempt.status not in SUCCESS_STATUSES:
            source.failure_body = attempt.read_body(until, self._relay.max_reply_bytes)
        return source

    def _open_with_event(
        self, call: Call, progress: CallProgress, attempt: Attempt, until: float
    ) -> StreamSource:
        """Open a stream with a splitter of its own, and wait for its first event.

        Comments and other events without data don't count as one.
        """
        splitter = EventSplitter(last_id=call.last_event_id)
        idle_timeout_s = _idle_timeout_s(call, progress)
        source = self._open(call, attempt, until, idle_timeout_s, splitter)
        if source.failure_body is None:
            first = b""
            for events in source.events:
                first += events
                if splitter.data_returned or len(first) > MAX_EVENT_BYTES:
                    source.events = _after_first(
                        first, call, progress, attempt, splitter
                    )
                    return source
            if not first and not attempt.framed:
                raise BrokenReply("the stream ended inside an event")
            source.events = iter([first] if first else [])
        return source

    def _relay_events(
        self,
        call: Call,
        progress: CallProgress,
        source: StreamSource,
        form: StreamForm,
        attempt_stack: ExitStack,
    ) -> Iterator[bytes]:
        splitter = source.splitter
        while True:
            try:
                yield from self._read_events(call, progress, source)
                self._relay.results.record_success(source.upstream)
                if form.framed and not source.attempt.framed:
                    # The caller would be told of an end that no upstream has given.
                    raise ReplyCutOff
                return
            except Refused as exc:
                if splitter.count:
                    raise ReplyCutOff from exc
                raise
            except (Silent, BrokenReply) as exc:
                splitter.drop_partial()
                begun = splitter.count > 0
                try:
                    self._relay.handle_failure(
                        call, progress, source.upstream, exc, sent=True
                    )
                    if not begun:
                        raise NotBegun from exc
                    form.check_resumable()
                    source = self._open_stream(
                        call, progress, splitter, attempt_stack, form
                    )
                except (Refused, NotContinued) as cause:
                    # Without an event sent yet, the caller can still be refused.
                    if not begun:
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
                    upstream=source.upstream.name,
                    last_event_id=splitter.last_id,
                )

    def _read_events(
        self, call: Call, progress: CallProgress, source: StreamSource
    ) -> Iterator[bytes]:
        attempt, splitter = source.attempt, source.splitter
        last_at = 0.0
        for events in self._wait_for_events(call, progress, source):
            now = time.monotonic()
            if last_at:
                self._on_event_gap(call.service, now - last_at)
            last_at = now
            self._relay.guard.record_answer(call, progress)
            yield events
        if not attempt.framed and (splitter.partial or not last_at):
            raise BrokenReply("the stream ended inside an event")
        check_events(splitter.partial)
        self._relay.guard.record_answer(call, progress, complete=attempt.framed)
        if splitter.partial:
            yield splitter.partial

    def _wait_for_events(
        self, call: Call, progress: CallProgress, source: StreamSource
    ) -> Iterator[bytes]:
        """Yield events; wait longer in silence if the retry budget is used up."""
        try:
            yield from source.events
        except Silent:
            # The limit on the silence was that of an attempt that may be followed.
            last = not may_follow(call, progress.runs, progress.sends)
            if last or self._relay.budget_allows(call):
                raise
            yield from source.attempt.iter_events(
                source.splitter,
                LAST_ATTEMPT_IDLE_TIMEOUT_S - STREAM_IDLE_TIMEOUT_S,
                call.deadline.at,
            )


def _idle_timeout_s(call: Call, progress: CallProgress) -> float:
    """Return how long the present attempt may be silent, in seconds."""
    if may_follow(call, progress.runs, progress.sends):
        return STREAM_IDLE_TIMEOUT_S
    return LAST_ATTEMPT_IDLE_TIMEOUT_S


def _after_first(
    first: bytes,
    call: Call,
    progress: CallProgress,
    attempt: Attempt,
    splitter: EventSplitter,
) -> Iterator[bytes]:
    """Yield the first events, and the others as long as they may take then.

    If there was a second attempt, it may have been the last one.
    """
    yield first
    idle_timeout_s = _idle_timeout_s(call, progress)
    yield from attempt.iter_events(splitter, idle_timeout_s, call.deadline.at)

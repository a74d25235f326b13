"""One attempt at a call: an HTTP exchange with one upstream and its outcome."""

import math
import time
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
import structlog

from toucanspool.gateway.call import Call, RefusalCause, Refused, Reply
from toucanspool.gateway.dialect import Dialect, ReplyHead
from toucanspool.limits.memory_budget import RETRY_AFTER_S, MemoryExceeded
from toucanspool.routing.upstream import Upstream
from toucanspool.wire.event_splitter import EventSplitter
from toucanspool.wire.exchange import Exchange
from toucanspool.wire.reply_parser import BrokenReply
from toucanspool.wire.reply_reader import Silent

MS_PER_S = 1000.0
SUCCESS_STATUSES = range(200, 300)
UNAVAILABLE_STATUS = 503
# Slow callers disconnected for one part of a reply.
MAX_EVICTIONS = 8

_log = structlog.get_logger()


class TurnedAway(Exception):
    """Report that an upstream rejected the call without running it.

    Parameters
    ----------
    status : int
        HTTP status of the rejection.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"the upstream answered {status} and did not run the call")
        self.status = status


class NotContinued(Exception):
    """Report a complete head that doesn't go on with the stream that had begun.

    Parameters
    ----------
    status : int
        HTTP status of the reply.
    media_type : str
        Its media type.
    """

    def __init__(self, status: int, media_type: str) -> None:
        super().__init__(
            f"the upstream went on with status {status}, media type {media_type!r}"
        )
        self.status = status


class Attempt:
    """Send a call to one upstream and read the reply; must be closed.

    Parameters
    ----------
    call : Call
        The call.
    upstream : Upstream
        Upstream to send it to.
    dialect : Dialect
        Translates headers.

    Attributes
    ----------
    reply_head : ReplyHead
        Parsed head of the reply; set by `begin`.
    """

    __slots__ = (
        "_call",
        "_dialect",
        "_exchange",
        "_held",
        "_upstream",
        "reply_head",
    )

    def __init__(self, call: Call, upstream: Upstream, dialect: Dialect) -> None:
        self._call = call
        self._dialect = dialect
        self._upstream = upstream
        listing = upstream.listing
        self._held = call.memory.part(unfinished=True)
        self._exchange = Exchange(
            listing.host,
            listing.port,
            call.method,
            on_held=self._hold,
            buffers=call.buffers,
        )
        self.reply_head: ReplyHead
        upstream.start_request(time.monotonic())

    @property
    def upstream(self) -> str:
        """Return the name of the upstream."""
        return self._upstream.name

    @property
    def status(self) -> int:
        """Return the HTTP status; 0 until the reply's head is complete."""
        return self._exchange.parser.status

    @property
    def framed(self) -> bool:
        """Return whether the reply says where it ends; see `ReplyParser`."""
        return self._exchange.parser.framed

    @property
    def sent(self) -> bool:
        """Return whether the upstream may have received the call."""
        return self._exchange.sent

    def begin(self, until: float, *, last_event_id: str = "") -> None:
        """Send the call and read the reply's head.

        Parameters
        ----------
        until : float
            Time limit, in seconds on the monotonic clock.
        last_event_id : str, default=""
            Id of the event after which to resume a stream.

        Raises
        ------
        Unreachable
            The upstream received nothing.
        TurnedAway
            The upstream rejected the call without running it.
        Silent, BrokenReply
            The call may have run.
        """
        call = self._call
        now = time.monotonic()
        headers = self._dialect.request_headers(
            call,
            upstream=self._upstream.name,
            left_ms=call.deadline.left_ms(now),
            last_event_id=last_event_id,
        )
        self._exchange.send(call.target, headers, call.body, until=until)
        self._exchange.read_head(until)
        parser = self._exchange.parser
        self.reply_head = self._dialect.parse_reply_head(parser.status, parser.headers)
        self._update_upstream()
        # That another call was not run says nothing about this one.
        if self.reply_head.call_id and self.reply_head.call_id != call.id:
            raise BrokenReply("the reply belongs to another call")
        if self.reply_head.not_run and self.reply_head.call_id != call.id:
            # It may be the rejection of an earlier call, sent once more.
            raise BrokenReply("the rejection does not name its call")
        if self.reply_head.not_run:
            raise TurnedAway(parser.status)
        if parser.status in SUCCESS_STATUSES and not self.reply_head.signed:
            raise BrokenReply("the reply has no server signature")

    def read_body(self, until: float, max_bytes: int) -> bytes:
        """Return the complete body; see `Exchange.read_body`."""
        with self._memory_bounded():
            body = self._exchange.read_body(until, max_bytes)
        self._log_end()
        return body

    def complete_reply(self, body: bytes) -> Reply:
        """Return the upstream's complete reply, unless the caller would misread it.

        Parameters
        ----------
        body : bytes
            Body of the reply.

        Returns
        -------
        Reply

        Raises
        ------
        Refused
            Its status would tell the caller that the call, which may have run, has not.
        """
        head = self.reply_head
        if head.promises_not_run and not self._call.route.retryable:
            raise Refused(
                RefusalCause.MAYBE_RUN,
                may_have_run=True,
                log_fields={"upstream_status": self.status},
            )
        return Reply(self.status, list(head.headers), body, framed=self.framed)

    def iter_events(
        self, splitter: EventSplitter, idle_timeout_s: float, until: float
    ) -> Iterator[bytes]:
        """Yield a stream in complete events; see `Exchange.iter_events`."""
        with self._memory_bounded():
            yield from self._exchange.iter_events(splitter, idle_timeout_s, until)
        self._log_end()

    def close(self) -> None:
        """Close the connection, at which the upstream stops its work."""
        self._exchange.close()
        self._held.close()
        self._upstream.in_flight -= 1

    def _hold(self, n_bytes: int) -> None:
        """Count what is held of the reply; slow callers of others make room for it."""
        for _ in range(MAX_EVICTIONS):
            try:
                return self._held.resize(n_bytes)
            except MemoryExceeded:
                if not self._call.memory.make_room():
                    raise
                # The part of the disconnected caller is released meanwhile.
                gevent.sleep(0)
        return self._held.resize(n_bytes)

    @contextmanager
    def _memory_bounded(self) -> Iterator[None]:
        """Refuse the call, which may have run, if its reply can't be held."""
        try:
            yield
        except MemoryExceeded as exc:
            raise Refused(
                RefusalCause.NO_MEMORY, may_have_run=True, retry_after_s=RETRY_AFTER_S
            ) from exc

    def _log_end(self) -> None:
        if self._exchange.parser.ended_by_close:
            _log.info(
                "reply ended by close",
                request_id=self._call.id,
                upstream=self._upstream.name,
                status=self.status,
            )

    def _update_upstream(self) -> None:
        head, now = self.reply_head, time.monotonic()
        if head.running is not None and head.waiting is not None:
            self._upstream.report_load(head.running, head.waiting, now)
        if head.leaving:
            self._upstream.leave()
        self._update_limit(now)
        turned_away = head.not_run or self.status == UNAVAILABLE_STATUS
        if turned_away and head.retry_after_s > 0.0:
            self._upstream.pause(now, head.retry_after_s)

    def _update_limit(self, now: float) -> None:
        head, upstream = self.reply_head, self._upstream
        if head.misdirected or math.isnan(head.request_limit):
            return
        # Only an answer that the upstream vouches for shows that a limit has ended.
        if head.request_limit < math.inf or (head.signed and upstream.limit.limited):
            upstream.name_limit(head.request_limit, now, now)


Failure = BrokenReply | Silent

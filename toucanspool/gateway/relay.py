"""Forwarding of calls, with retries at other upstreams."""

import time
from contextlib import ExitStack

import structlog

from toucanspool.gateway.attempt import Attempt, TurnedAway
from toucanspool.gateway.call import Call, RefusalCause, Refused, Reply
from toucanspool.gateway.crash_guard import CrashGuard
from toucanspool.gateway.dialect import Dialect
from toucanspool.gateway.limit_sharing import LimitSharing
from toucanspool.gateway.progress import CallProgress
from toucanspool.gateway.upstream_chooser import MIN_REMAINING_S, UpstreamChooser
from toucanspool.retries.ejection import AttemptResult, Ejector
from toucanspool.retries.shared_budget import SharedBudget
from toucanspool.routing.upstream import Upstream
from toucanspool.wire.exchange import Unreachable
from toucanspool.wire.reply_parser import BrokenReply
from toucanspool.wire.reply_reader import Silent

SERVER_ERROR_STATUSES = range(500, 600)
MAX_SENDS = 3
# Share of the remaining time for an attempt that may be retried. It leaves another
# upstream time to answer within the caller's deadline.
ATTEMPT_TIME_SHARE = 0.5

_log = structlog.get_logger()


class Relay:
    """Forward calls to upstreams and retry failed attempts.

    Parameters
    ----------
    chooser : UpstreamChooser
        Chooses upstreams.
    ejector : Ejector
        Receives the results of attempts.
    budget : SharedBudget
        Retry budget.
    limit_sharing : LimitSharing
        Counts the calls of each service.
    dialect : Dialect
        Translates headers.
    guard : CrashGuard
        Refuses calls that crash upstreams.
    max_reply_bytes : int
        Limit on the size of a reply that is not a stream.
    """

    __slots__ = (
        "_budget",
        "_dialect",
        "_ejector",
        "_limit_sharing",
        "chooser",
        "guard",
        "max_reply_bytes",
    )

    def __init__(
        self,
        chooser: UpstreamChooser,
        ejector: Ejector,
        budget: SharedBudget,
        limit_sharing: LimitSharing,
        dialect: Dialect,
        guard: CrashGuard,
        max_reply_bytes: int,
    ) -> None:
        self.max_reply_bytes = max_reply_bytes
        self.chooser = chooser
        self._ejector = ejector
        self._budget = budget
        self._limit_sharing = limit_sharing
        self._dialect = dialect
        self.guard = guard

    def forward(self, call: Call) -> Reply:
        """Forward a call and return the complete reply.

        Parameters
        ----------
        call : Call
            The call.

        Returns
        -------
        Reply

        Raises
        ------
        Refused
            There is no reply to return.
        """
        progress = self.start_call(call)
        while True:
            upstream = self.chooser.choose(call, progress)
            with ExitStack() as closing:
                attempt = Attempt(call, upstream, self._dialect)
                closing.callback(attempt.close)
                until = self._attempt_end(call, progress)
                try:
                    attempt.begin(until)
                    body = attempt.read_body(until, self.max_reply_bytes)
                except (Unreachable, TurnedAway, Silent, BrokenReply) as exc:
                    self.handle_failure(
                        call, progress, upstream, exc, sent=attempt.sent
                    )
                    continue
                self._record_status(call, upstream, attempt.status)
                self.guard.record_answer(call, progress, complete=True)
                progress.runs += 1
                progress.sends += 1
                if attempt.status in SERVER_ERROR_STATUSES and call.route.retryable:
                    progress.tried.add(upstream.name)
                    wanted = self.chooser.wanted(call, progress)
                    if wanted and self._may_retry(call, progress):
                        continue
                headers = list(attempt.reply_head.headers)
                return Reply(attempt.status, headers, body, framed=attempt.framed)

    def start_call(self, call: Call) -> CallProgress:
        """Count a new call for the retry budget and return its progress.

        Parameters
        ----------
        call : Call
            The call.

        Returns
        -------
        CallProgress
        """
        self._budget.record_request(call.service, time.monotonic())
        self._limit_sharing.record_call(call.service)
        self.guard.record_call(call)
        return CallProgress()

    def handle_failure(
        self,
        call: Call,
        progress: CallProgress,
        upstream: Upstream,
        exc: Exception,
        *,
        sent: bool,
    ) -> None:
        """Record a failed attempt; raise unless another one may follow.

        Parameters
        ----------
        call : Call
            The call.
        progress : CallProgress
            Its attempts so far.
        upstream : Upstream
            Upstream of the attempt.
        exc : Exception
            Error of the attempt.
        sent : bool
            Whether the upstream may have received the call.

        Raises
        ------
        Refused
            No further attempt may be made.
        """
        turned_away = isinstance(exc, TurnedAway)
        unreachable = isinstance(exc, Unreachable)
        progress.tried.add(upstream.name)
        progress.sends += sent
        progress.connect_failures += not sent
        progress.runs += sent and not turned_away
        if not turned_away:
            result = AttemptResult.UNREACHABLE if unreachable else AttemptResult.FAILED
            self._ejector.record(upstream.name, result, time.monotonic())
        if isinstance(exc, BrokenReply):
            self.guard.record_break(call, progress, upstream)
        _log.info(
            "attempt failed",
            request_id=call.id,
            upstream=upstream.name,
            error=type(exc).__name__,
            detail=str(exc),
            may_have_run=bool(sent and not turned_away),
            attempt=progress.sends,
        )
        if call.deadline.passed(time.monotonic()):
            raise Refused(
                RefusalCause.DEADLINE, may_have_run=progress.runs > 0
            ) from exc
        if progress.runs and not call.route.retryable:
            raise Refused(RefusalCause.MAYBE_RUN, may_have_run=True) from exc
        if unreachable and progress.connect_failures < MAX_SENDS:
            return
        if self._may_retry(call, progress):
            return
        cause = RefusalCause.TURNED_AWAY if turned_away else RefusalCause.BROKEN
        if unreachable:
            cause = RefusalCause.UNREACHABLE
        raise Refused(
            cause,
            may_have_run=progress.runs > 0,
            retry_after_s=self.chooser.retry_after_s(call),
        ) from exc

    def record_success(self, upstream: Upstream) -> None:
        """Record a successful attempt.

        Parameters
        ----------
        upstream : Upstream
            Upstream of the attempt.
        """
        self._ejector.record(upstream.name, AttemptResult.OK, time.monotonic())

    def _may_retry(self, call: Call, progress: CallProgress) -> bool:
        """Return whether the call may be retried; log the reason if not."""
        now = time.monotonic()
        reason = ""
        if progress.sends >= MAX_SENDS or progress.runs >= call.route.max_attempts:
            reason = "the attempts are used up"
        elif call.deadline.left_s(now) <= MIN_REMAINING_S:
            reason = "too little time is left"
        elif not self._budget.try_withdraw(call.service, now):
            reason = "the retry budget is used up"
        if reason:
            _log.info(
                "no further attempt",
                request_id=call.id,
                reason=reason,
                sends=progress.sends,
                runs=progress.runs,
                left_ms=call.deadline.left_ms(now),
            )
        return not reason

    def _attempt_end(self, call: Call, progress: CallProgress) -> float:
        """Return the end of the next attempt, in seconds on the monotonic clock."""
        end = call.deadline.at
        if not may_follow(call, progress):
            return end
        now = time.monotonic()
        return now + ATTEMPT_TIME_SHARE * max(0.0, end - now)

    def _record_status(self, call: Call, upstream: Upstream, status: int) -> None:
        failed = status in SERVER_ERROR_STATUSES and not call.route.retryable
        if failed:
            self._ejector.record(upstream.name, AttemptResult.FAILED, time.monotonic())
        else:
            self.record_success(upstream)


def may_follow(call: Call, progress: CallProgress) -> bool:
    """Return whether another attempt may follow the present one if that runs.

    Parameters
    ----------
    call : Call
        The call.
    progress : CallProgress
        Its attempts before the present one.

    Returns
    -------
    bool
    """
    return (
        call.route.retryable
        and progress.runs + 1 < call.route.max_attempts
        and progress.sends + 1 < MAX_SENDS
    )

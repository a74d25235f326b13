"""Forwarding of calls, with retries at other upstreams."""

import time
from contextlib import ExitStack

import structlog

from toucanspool.gateway.attempt import Attempt, TurnedAway
from toucanspool.gateway.attempt_race import SERVER_ERROR_STATUSES
from toucanspool.gateway.attempt_results import AttemptResults
from toucanspool.gateway.call import Call, RefusalCause, Refused, Reply
from toucanspool.gateway.crash_guard import CrashGuard
from toucanspool.gateway.dialect import Dialect
from toucanspool.gateway.hedged_attempt import AttemptRunner
from toucanspool.gateway.limit_sharing import LimitSharing
from toucanspool.gateway.progress import CallProgress
from toucanspool.gateway.upstream_chooser import MIN_REMAINING_S, UpstreamChooser
from toucanspool.limits.graceful_stop import GracefulStop
from toucanspool.limits.memory_budget import RETRY_AFTER_S
from toucanspool.retries.ejection import Ejector
from toucanspool.retries.return_time import ReturnTimes
from toucanspool.retries.shared_budget import SharedBudget
from toucanspool.routing.upstream import Upstream
from toucanspool.wire.exchange import Unreachable
from toucanspool.wire.upstream_connection import NoBuffers

MAX_SENDS = 3
# Share of the remaining time for an attempt that may be retried. It leaves another
# upstream time to answer within the caller's deadline.
ATTEMPT_TIME_SHARE = 0.5
# Another entry can serve the callers of one that stops at once.
DRAIN_RETRY_AFTER_S = 0.05

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
    graceful_stop : GracefulStop
        Decides which calls may still be sent once this entry stops.

    Attributes
    ----------
    results : AttemptResults
        Records how attempts ended.
    runner : AttemptRunner
        Runs attempts, and second ones where these are configured.
    """

    __slots__ = (
        "_budget",
        "_graceful_stop",
        "_limit_sharing",
        "chooser",
        "guard",
        "max_reply_bytes",
        "results",
        "returns",
        "runner",
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
        graceful_stop: GracefulStop,
    ) -> None:
        self._graceful_stop = graceful_stop
        self.max_reply_bytes = max_reply_bytes
        self.returns = ReturnTimes()
        self.chooser = chooser
        self._budget = budget
        self._limit_sharing = limit_sharing
        self.guard = guard
        self.results = AttemptResults(ejector, guard)
        self.runner = AttemptRunner(dialect, guard, budget, self.results)
        chooser.on_scarce = self.runner.record_scarcity

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
                outcome = self.runner.run(
                    call,
                    progress,
                    upstream,
                    self._read_whole,
                    lambda runs: self._attempt_end(call, progress, runs),
                    closing,
                )
                attempt, upstream = outcome.attempt, outcome.upstream
                if outcome.error is not None:
                    self.handle_failure(
                        call, progress, upstream, outcome.error, sent=attempt.sent
                    )
                    continue
                self.results.record_status(call, upstream, attempt.status)
                self.returns.record(call.service, turned_away=False)
                self.guard.record_answer(call, progress, complete=True)
                progress.runs += 1
                progress.sends += 1
                if attempt.status in SERVER_ERROR_STATUSES and call.route.retryable:
                    progress.tried.add(upstream.name)
                    wanted = self.chooser.wanted(call, progress)
                    if wanted and self._may_retry(call, progress):
                        continue
                return attempt.complete_reply(outcome.value)

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
        self.runner.record_call(call)
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
        self.results.record_failure(call, progress, upstream, exc, sent=sent)
        if call.deadline.passed(time.monotonic()):
            raise Refused(
                RefusalCause.DEADLINE, may_have_run=progress.runs > 0
            ) from exc
        if progress.runs and not call.route.retryable:
            raise Refused(RefusalCause.MAYBE_RUN, may_have_run=True) from exc
        if isinstance(exc, NoBuffers):
            # Another upstream would need as much.
            raise Refused(
                RefusalCause.NO_MEMORY,
                may_have_run=progress.runs > 0,
                retry_after_s=RETRY_AFTER_S,
            ) from exc
        now = time.monotonic()
        if not progress.runs and not self._graceful_stop.accepts(call.deadline, now):
            # It can still run elsewhere; one that may have run can't be sent back.
            raise Refused(
                RefusalCause.DRAINING, retry_after_s=DRAIN_RETRY_AFTER_S
            ) from exc
        turned_away = isinstance(exc, TurnedAway)
        unreachable = isinstance(exc, Unreachable)
        if unreachable and progress.connect_failures < MAX_SENDS:
            return
        if self._may_retry(call, progress):
            return
        cause = RefusalCause.UNREACHABLE if unreachable else RefusalCause.BROKEN
        if turned_away:
            cause = RefusalCause.TURNED_AWAY
        retry_after_s = self.chooser.retry_after_s(call)
        if turned_away:
            self.returns.record(call.service, turned_away=True)
            left_s = call.deadline.left_s(time.monotonic())
            retry_after_s = self.returns.return_s(call.service, retry_after_s, left_s)
        raise Refused(
            cause, may_have_run=progress.runs > 0, retry_after_s=retry_after_s
        ) from exc

    def budget_allows(self, call: Call) -> bool:
        """Return whether the retry budget allows one more attempt at a call.

        Parameters
        ----------
        call : Call
            The call.

        Returns
        -------
        bool
        """
        return self._budget.allows(call.service, time.monotonic())

    def _read_whole(self, attempt: Attempt, until: float) -> bytes:
        attempt.begin(until)
        return attempt.read_body(until, self.max_reply_bytes)

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

    def _attempt_end(self, call: Call, progress: CallProgress, runs: int) -> float:
        """Return the end of an attempt, in seconds on the monotonic clock."""
        end = call.deadline.at
        if not may_follow(call, runs, progress.sends + runs - progress.runs):
            return end
        now = time.monotonic()
        return now + ATTEMPT_TIME_SHARE * max(0.0, end - now)


def may_follow(call: Call, runs: int, sends: int) -> bool:
    """Return whether another attempt may follow the present one if that runs.

    Parameters
    ----------
    call : Call
        The call.
    runs, sends : int
        Attempts before the present one that may have run or reached an upstream.

    Returns
    -------
    bool
    """
    return (
        call.route.retryable
        and runs + 1 < call.route.max_attempts
        and sends + 1 < MAX_SENDS
    )

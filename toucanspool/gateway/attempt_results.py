"""Records of how attempts ended: for ejection, crash watch and the call's progress."""

import time

import structlog

from toucanspool.gateway.attempt import NotContinued, TurnedAway
from toucanspool.gateway.attempt_race import (
    ATTEMPT_ERRORS,
    SERVER_ERROR_STATUSES,
    Outcome,
)
from toucanspool.gateway.call import Call
from toucanspool.gateway.crash_guard import CrashGuard
from toucanspool.gateway.progress import CallProgress
from toucanspool.retries.ejection import AttemptResult, Ejector
from toucanspool.routing.upstream import Upstream
from toucanspool.wire.exchange import Unreachable
from toucanspool.wire.reply_parser import BrokenReply
from toucanspool.wire.upstream_connection import NoBuffers

_log = structlog.get_logger()


class AttemptResults:
    """Record the results of attempts.

    Parameters
    ----------
    ejector : Ejector
        Receives the results of attempts.
    guard : CrashGuard
        Told of replies that break off.
    """

    __slots__ = ("_ejector", "_guard")

    def __init__(self, ejector: Ejector, guard: CrashGuard) -> None:
        self._ejector = ejector
        self._guard = guard

    def record_success(self, upstream: Upstream) -> None:
        """Record a successful attempt.

        Parameters
        ----------
        upstream : Upstream
            Upstream of the attempt.
        """
        self._ejector.record(upstream.name, AttemptResult.OK, time.monotonic())

    def record_status(self, call: Call, upstream: Upstream, status: int) -> None:
        """Record a complete reply.

        Parameters
        ----------
        call : Call
            The call.
        upstream : Upstream
            Upstream of the attempt.
        status : int
            HTTP status of the reply.
        """
        if status in SERVER_ERROR_STATUSES and not call.route.retryable:
            self._ejector.record(upstream.name, AttemptResult.FAILED, time.monotonic())
        else:
            self.record_success(upstream)

    def record_failure(
        self,
        call: Call,
        progress: CallProgress,
        upstream: Upstream,
        exc: Exception,
        *,
        sent: bool,
    ) -> None:
        """Record a failed attempt.

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
        """
        turned_away = isinstance(exc, TurnedAway)
        unreachable = isinstance(exc, Unreachable)
        progress.tried.add(upstream.name)
        progress.sends += sent
        progress.connect_failures += not sent
        progress.runs += sent and not turned_away
        if isinstance(exc, NotContinued):
            self.record_status(call, upstream, exc.status)
        elif not turned_away and not isinstance(exc, NoBuffers):
            result = AttemptResult.UNREACHABLE if unreachable else AttemptResult.FAILED
            self._ejector.record(upstream.name, result, time.monotonic())
        if isinstance(exc, BrokenReply):
            self._guard.record_break(call, progress, upstream)
        _log.info(
            "attempt failed",
            request_id=call.id,
            upstream=upstream.name,
            error=type(exc).__name__,
            detail=str(exc),
            may_have_run=bool(sent and not turned_away),
            attempt=progress.sends,
        )

    def record_lost(self, call: Call, progress: CallProgress, lost: Outcome) -> None:
        """Record an attempt that ended without answering, beside another one.

        Parameters
        ----------
        call : Call
            The call.
        progress : CallProgress
            Its attempts so far.
        lost : Outcome
            The attempt: it failed, got a server error, or came second.
        """
        # Crashes are told apart by when the attempt at the upstream in question began.
        progress.start_attempt(lost.started_at)
        if isinstance(lost.error, ATTEMPT_ERRORS):
            self.record_failure(
                call, progress, lost.upstream, lost.error, sent=lost.attempt.sent
            )
            return
        if lost.error is None:
            self.record_status(call, lost.upstream, lost.attempt.status)
        else:
            # Says nothing about the upstream, as where its reply can't be held.
            _log.warning(
                "attempt given up",
                request_id=call.id,
                upstream=lost.upstream.name,
                error=repr(lost.error),
            )
        self._count_run(progress, lost)

    def record_outrun(
        self, progress: CallProgress, lost: Outcome, *, first: bool
    ) -> None:
        """Record an attempt that was ended because another one answered before it.

        A first attempt that is still silent counts as failed. Else, an upstream that
        hangs would never be ejected, and even be preferred for its few requests. An
        upstream that only is slow now and then doesn't lose often enough for that.

        Parameters
        ----------
        progress : CallProgress
            The attempts at the call so far.
        lost : Outcome
            The attempt.
        first : bool
            Whether it had started before the one that answered.
        """
        self._count_run(progress, lost)
        if first and lost.silent:
            self._ejector.record(
                lost.upstream.name, AttemptResult.FAILED, time.monotonic()
            )

    def _count_run(self, progress: CallProgress, lost: Outcome) -> None:
        progress.tried.add(lost.upstream.name)
        progress.sends += lost.attempt.sent
        progress.runs += lost.attempt.sent

"""The attempts of a call, from the first to its answer."""

import time
from contextlib import ExitStack

import structlog

from toucanspool.gateway.attempt import Attempt, TurnedAway
from toucanspool.gateway.call import Call, RefusalCause, Refused, Reply
from toucanspool.gateway.dialect import Dialect
from toucanspool.gateway.exchange import Silent, Unreachable
from toucanspool.gateway.reply_parser import BrokenReply
from toucanspool.retries.ejection import Ejector, Result
from toucanspool.retries.shared_budget import SharedBudget
from toucanspool.routing.balancer import LeastLoadBalancer
from toucanspool.routing.routes import CallKind
from toucanspool.routing.upstreams import Upstream

SERVER_ERRORS = range(500, 600)
MOST_SENDS = 3
MIN_LEFT_S = 0.02
TURNED_AWAY_RETRY_S = 0.3
# Leaves a second upstream time to answer within the caller's deadline.
FIRST_ATTEMPT_PART = 0.5

_log = structlog.get_logger()


class Progress:
    """Follow one call through its attempts.

    Attributes
    ----------
    sends : int
        Attempts that may have reached an upstream.
    runs : int
        Attempts that may have run.
    unreached : int
        Attempts that found no connection.
    tried : set of str
        Upstreams that have failed the call.
    """

    __slots__ = ("runs", "sends", "tried", "unreached")

    def __init__(self) -> None:
        self.sends = 0
        self.runs = 0
        self.unreached = 0
        self.tried: set[str] = set()


class Relay:
    """Carry calls to upstreams.

    Parameters
    ----------
    balancer : LeastLoadBalancer
        Chooses upstreams.
    ejector : Ejector
        Learns how attempts end.
    budget : SharedBudget
        Bounds repeats.
    dialect : Dialect
        Translates headers.
    """

    __slots__ = ("_budget", "_dialect", "_ejector", "_balancer")

    def __init__(
        self,
        balancer: LeastLoadBalancer,
        ejector: Ejector,
        budget: SharedBudget,
        dialect: Dialect,
    ) -> None:
        self._balancer = balancer
        self._ejector = ejector
        self._budget = budget
        self._dialect = dialect

    def whole(self, call: Call) -> Reply:
        """Return the reply of a call that is answered in one piece.

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
            There is no reply.
        """
        progress = self.first(call)
        while True:
            upstream = self.choose(call, progress)
            with ExitStack() as closing:
                attempt = Attempt(call, upstream, self._dialect)
                closing.callback(attempt.close)
                until = self._until(call, progress)
                try:
                    attempt.begin(until)
                    body = attempt.read_body(until)
                except (Unreachable, TurnedAway, Silent, BrokenReply) as exc:
                    self.failed(call, progress, upstream, exc, sent=attempt.sent)
                    continue
                self._note(call, upstream, attempt.status)
                progress.runs += 1
                progress.sends += 1
                if attempt.status in SERVER_ERRORS and call.route.retryable:
                    progress.tried.add(upstream.name)
                    if self._again(call, progress):
                        continue
                return Reply(attempt.status, list(attempt.reply_head.headers), body)

    def first(self, call: Call) -> Progress:
        """Return the start of a call's way, which adds to the budget of repeats.

        Parameters
        ----------
        call : Call
            The call.

        Returns
        -------
        Progress
        """
        self._budget.request(call.service, time.monotonic())
        return Progress()

    def choose(self, call: Call, progress: Progress) -> Upstream:
        """Return the upstream of the next attempt.

        Parameters
        ----------
        call : Call
            The call.
        progress : Progress
            Its attempts so far.

        Returns
        -------
        Upstream

        Raises
        ------
        Refused
            None is ready, or the time is over.
        """
        now = time.monotonic()
        if call.deadline.left_s(now) < MIN_LEFT_S:
            raise Refused(RefusalCause.DEADLINE, may_have_run=progress.runs > 0)
        prefer_local = call.route.kind is not CallKind.STREAM
        upstream = self._balancer.choose(
            call.service, progress.tried, now, prefer_local=prefer_local
        )
        if upstream is None:
            raise Refused(
                RefusalCause.NO_UPSTREAM,
                may_have_run=progress.runs > 0,
                retry_after_s=TURNED_AWAY_RETRY_S,
            )
        _log.info(
            "call routed",
            request_id=call.id,
            route=call.route.name,
            team=call.team,
            service=call.service,
            upstream=upstream.name,
            load=round(upstream.load(now), 2),
            attempt=progress.sends + 1,
            left_ms=call.deadline.left_ms(now),
            routes_version=call.routes_version,
            list_version=self._balancer.list_version,
        )
        return upstream

    def failed(
        self,
        call: Call,
        progress: Progress,
        upstream: Upstream,
        exc: Exception,
        *,
        sent: bool,
    ) -> None:
        """Take note of a failed attempt; return where another may be made.

        Parameters
        ----------
        call : Call
            The call.
        progress : Progress
            Its attempts so far.
        upstream : Upstream
            Where it failed.
        exc : Exception
            How.
        sent : bool
            Whether the upstream may have seen it.

        Raises
        ------
        Refused
            No other attempt may be made.
        """
        turned_away = isinstance(exc, TurnedAway)
        unreachable = isinstance(exc, Unreachable)
        progress.tried.add(upstream.name)
        progress.sends += sent
        progress.unreached += not sent
        progress.runs += sent and not turned_away
        if not turned_away:
            result = Result.UNREACHABLE if unreachable else Result.FAILED
            self._ejector.record(upstream.name, result, time.monotonic())
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
        if unreachable and progress.unreached < MOST_SENDS:
            return
        if self._again(call, progress):
            return
        cause = RefusalCause.TURNED_AWAY if turned_away else RefusalCause.BROKEN
        if unreachable:
            cause = RefusalCause.UNREACHABLE
        retry_s = max(TURNED_AWAY_RETRY_S, getattr(exc, "retry_after_s", 0.0))
        raise Refused(
            cause, may_have_run=progress.runs > 0, retry_after_s=retry_s
        ) from exc

    def succeeded(self, upstream: Upstream) -> None:
        """Take note of an attempt that went well.

        Parameters
        ----------
        upstream : Upstream
            Where it ran.
        """
        self._ejector.record(upstream.name, Result.OK, time.monotonic())

    def _again(self, call: Call, progress: Progress) -> bool:
        """Return whether the call may be sent once more, and say why it may not."""
        now = time.monotonic()
        reason = ""
        if progress.sends >= MOST_SENDS or progress.runs >= call.route.max_attempts:
            reason = "the attempts are used up"
        elif call.deadline.left_s(now) <= MIN_LEFT_S:
            reason = "too little time is left"
        elif not self._budget.take(call.service, now):
            reason = "the budget of repeats is used up"
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

    def _until(self, call: Call, progress: Progress) -> float:
        """Return when to give an attempt up, in seconds on the monotonic clock."""
        end = call.deadline.at
        if not call.route.retryable or progress.runs + 1 >= call.route.max_attempts:
            return end
        now = time.monotonic()
        return now + FIRST_ATTEMPT_PART * max(0.0, end - now)

    def _note(self, call: Call, upstream: Upstream, status: int) -> None:
        failed = status in SERVER_ERRORS and not call.route.retryable
        if failed:
            self._ejector.record(upstream.name, Result.FAILED, time.monotonic())
        else:
            self.succeeded(upstream)

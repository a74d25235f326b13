"""What follows a failed attempt: another one, or an error for the caller."""

import structlog

from toucanspool.entry.attempt import AttemptFailed
from toucanspool.entry.caller_request import CallerRequest
from toucanspool.entry.decision_log import DecisionLog
from toucanspool.entry.problems import from_refusal
from toucanspool.entry.progress import Progress
from toucanspool.entry.router import Router
from toucanspool.entry.stopping import check_accepted
from toucanspool.limits.graceful_stop import GracefulStop
from toucanspool.protected.clock import Clock
from toucanspool.retries import decision
from toucanspool.retries.budget import RetryBudget
from toucanspool.retries.decision import RetryDecision, may_retry
from toucanspool.wire.gen.messages.ttypes import Outcome, Refusal

MAX_REROUTES = 4

# Refused at once by a healthy upstream: rerouting does not amplify load.
REROUTABLE = frozenset({Refusal.DRAINING, Refusal.WRONG_UPSTREAM, Refusal.NO_CONFIG})
FINAL = frozenset(
    {
        Refusal.TABLE_DOWN,
        Refusal.IN_PROGRESS,
        Refusal.KEY_REUSED,
        Refusal.UNCERTAIN,
        Refusal.CANCELLED,
        Refusal.DEADLINE,
    }
)

_log = structlog.get_logger()


class FailureHandler:
    """Record failed attempts and decide whether another one may follow.

    Parameters
    ----------
    router : Router
        Told of the failures of upstreams.
    budget : RetryBudget
        Retry budget of this entry.
    clock : Clock
        Clock for deadlines and the budget.
    decision_log : DecisionLog
        Log for the results of requests.
    graceful_stop : GracefulStop
        Decides which requests may still be sent once this entry stops.
    """

    __slots__ = ("_budget", "_clock", "_decision_log", "_graceful_stop", "_router")

    def __init__(
        self,
        router: Router,
        budget: RetryBudget,
        clock: Clock,
        decision_log: DecisionLog,
        graceful_stop: GracefulStop,
    ) -> None:
        self._router = router
        self._budget = budget
        self._clock = clock
        self._decision_log = decision_log
        self._graceful_stop = graceful_stop

    def handle(
        self, req: CallerRequest, progress: Progress, exc: AttemptFailed
    ) -> None:
        """Record a failed attempt; return if another may be made, else raise.

        Parameters
        ----------
        req : CallerRequest
            The request.
        progress : Progress
            Attempts at the request; the last one is closed.
        exc : AttemptFailed
            Why that one failed.

        Raises
        ------
        Problem
            No further attempt may be made.
        """
        progress.close()
        progress.may_have_run |= exc.outcome != Outcome.NOT_RUN
        self._router.record_failure(progress.target, exc)
        progress.excluded.add(progress.target.instance.upstream)
        if not progress.may_have_run and exc.refusal not in FINAL:
            now = self._clock.now()
            check_accepted(self._graceful_stop, req, now, self._decision_log)
        if exc.refusal in REROUTABLE and progress.reroutes < MAX_REROUTES:
            progress.reroutes += 1
            return
        if exc.refusal not in FINAL:
            retry = self._decide_retry(req, progress, exc)
            if retry is RetryDecision.ALLOWED:
                return
            _log.info("retry denied", request_id=req.request_id, reason=retry.value)
        self._decision_log.record_result(req.request_id, req.team.name, exc.detail)
        problem = from_refusal(
            exc.refusal, exc.outcome, exc.detail, retry_after_s=exc.retry_after_s
        )
        raise progress.with_outcome(problem) from exc

    def _decide_retry(
        self, req: CallerRequest, progress: Progress, exc: AttemptFailed
    ) -> RetryDecision:
        request_state = decision.RequestState(
            attempts=progress.attempts - progress.reroutes,
            idempotent=req.idempotent,
            deadline=req.deadline,
            bytes_relayed=progress.relayed.count,
            resumable=True,
        )
        return may_retry(exc.outcome, request_state, self._budget, self._clock.now())

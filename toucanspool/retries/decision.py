"""Decides whether a request may be retried."""

from dataclasses import dataclass
from enum import Enum

from toucanspool.retries.budget import RetryBudget
from toucanspool.retries.deadline import Deadline
from toucanspool.wire.gen.messages.ttypes import Outcome

MAX_ATTEMPTS = 3
MIN_ATTEMPT_S = 0.05


class RetryDecision(Enum):
    """Name the decision on a retry, with its reason.

    Each value is the reason as written to the log.
    """

    ALLOWED = "another attempt is allowed"
    COMPLETED = "the request is complete"
    MAY_HAVE_RUN = "the request may have run and is not idempotent"
    RESPONSE_STARTED = "part of the answer has gone to the caller"
    ATTEMPTS_EXHAUSTED = "the attempts are used up"
    DEADLINE_TOO_CLOSE = "too little time is left before the deadline"
    BUDGET_EMPTY = "the retry budget of this process is empty"


@dataclass(slots=True, frozen=True, kw_only=True)
class RequestState:
    """Hold the state of a request after an attempt.

    Parameters
    ----------
    attempts : int
        Number of attempts made, including the first.
    idempotent : bool
        Whether the request may run more than once without harm.
    deadline : Deadline
        Deadline of the request.
    bytes_relayed : int, default=0
        Bytes of the response that have been sent to the caller.
    resumable : bool, default=False
        Whether another upstream can continue the response at that offset.
    """

    attempts: int
    idempotent: bool
    deadline: Deadline
    bytes_relayed: int = 0
    resumable: bool = False


def may_retry(
    outcome: int,
    state: RequestState,
    budget: RetryBudget,
    now: float,
    *,
    max_attempts: int = MAX_ATTEMPTS,
) -> RetryDecision:
    """Decide whether to retry; withdraw from the budget only if allowed.

    Parameters
    ----------
    outcome : Outcome
        How the last attempt ended.
    state : RequestState
        State of the request.
    budget : RetryBudget
        Retry budget of this process.
    now : float
        Seconds on the monotonic clock.
    max_attempts : int, default=3
        Largest number of attempts, including the first.

    Returns
    -------
    RetryDecision
    """
    if outcome == Outcome.COMPLETED:
        return RetryDecision.COMPLETED
    if outcome != Outcome.NOT_RUN and not state.idempotent:
        return RetryDecision.MAY_HAVE_RUN
    if state.bytes_relayed and not state.resumable:
        return RetryDecision.RESPONSE_STARTED
    return _check_limits(state, budget, now, max_attempts)


def _check_limits(
    state: RequestState, budget: RetryBudget, now: float, max_attempts: int
) -> RetryDecision:
    if state.attempts >= max_attempts:
        return RetryDecision.ATTEMPTS_EXHAUSTED
    if state.deadline.left_s(now) < MIN_ATTEMPT_S:
        return RetryDecision.DEADLINE_TOO_CLOSE
    return (
        RetryDecision.ALLOWED
        if budget.try_withdraw(now)
        else RetryDecision.BUDGET_EMPTY
    )

"""Whether an attempt may be made again."""

from dataclasses import dataclass
from enum import Enum

from toucanspool.retries.budget import RetryBudget
from toucanspool.retries.deadline import Deadline
from toucanspool.wire.gen.messages.ttypes import Outcome

MAX_ATTEMPTS = 3
MIN_LEFT_S = 0.05


class Verdict(Enum):
    """Name the answer to whether to try again, and its reason.

    Each value is a sentence for the decision log.
    """

    YES = "another attempt is allowed"
    COMPLETED = "the request is complete"
    MAY_HAVE_RUN = "the request may have run and is not idempotent"
    ANSWER_BEGUN = "part of the answer has gone to the caller"
    ATTEMPTS = "the attempts are used up"
    DEADLINE = "too little time is left before the deadline"
    BUDGET = "the retry budget of this process is empty"


@dataclass(slots=True, frozen=True, kw_only=True)
class Attempt:
    """Hold what is known of a request after an attempt.

    Parameters
    ----------
    number : int
        Attempts made so far, from 1.
    idempotent : bool
        Whether running the request again is harmless.
    deadline : Deadline
        The caller's.
    bytes_relayed : int, default=0
        Bytes of the answer that the caller has received.
    resumable : bool, default=False
        Whether another upstream can go on at that offset.
    """

    number: int
    idempotent: bool
    deadline: Deadline
    bytes_relayed: int = 0
    resumable: bool = False


def may_retry(
    outcome: int,
    attempt: Attempt,
    budget: RetryBudget,
    now: float,
    *,
    max_attempts: int = MAX_ATTEMPTS,
) -> Verdict:
    """Return whether to try again; take from the budget only for a yes.

    Parameters
    ----------
    outcome : Outcome
        How the last attempt ended.
    attempt : Attempt
        The state of the request.
    budget : RetryBudget
        This process's.
    now : float
        Seconds on the monotonic clock.
    max_attempts : int, default=3
        The most attempts in total.

    Returns
    -------
    Verdict
    """
    if outcome == Outcome.COMPLETED:
        return Verdict.COMPLETED
    if outcome != Outcome.NOT_RUN and not attempt.idempotent:
        return Verdict.MAY_HAVE_RUN
    if attempt.bytes_relayed and not attempt.resumable:
        return Verdict.ANSWER_BEGUN
    return _afford(attempt, budget, now, max_attempts)


def may_hedge(
    attempt: Attempt,
    budget: RetryBudget,
    now: float,
    *,
    started: bool,
    max_attempts: int = MAX_ATTEMPTS,
) -> Verdict:
    """Return whether to send a second copy while the first is out.

    Parameters
    ----------
    attempt : Attempt
        The state of the request.
    budget : RetryBudget
        This process's; hedges draw on it as retries do.
    now : float
        Seconds on the monotonic clock.
    started : bool
        Whether the first copy is known to have started.
    max_attempts : int, default=3
        The most attempts in total.

    Returns
    -------
    Verdict
    """
    if not attempt.idempotent:
        return Verdict.MAY_HAVE_RUN
    if started or attempt.bytes_relayed:
        return Verdict.ANSWER_BEGUN
    return _afford(attempt, budget, now, max_attempts)


def _afford(
    attempt: Attempt, budget: RetryBudget, now: float, max_attempts: int
) -> Verdict:
    if attempt.number >= max_attempts:
        return Verdict.ATTEMPTS
    if attempt.deadline.left_s(now) < MIN_LEFT_S:
        return Verdict.DEADLINE
    return Verdict.YES if budget.try_withdraw(now) else Verdict.BUDGET

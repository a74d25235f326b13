"""Requests at an entry that stops: which it accepts, and the end of the last ones."""

from collections.abc import Iterator
from contextlib import contextmanager

from toucanspool.entry.caller_request import CallerRequest
from toucanspool.entry.decision_log import DecisionLog
from toucanspool.entry.problems import Problem
from toucanspool.entry.progress import Progress
from toucanspool.limits.graceful_stop import GracefulStop, StopTimeUp
from toucanspool.wire.gen.messages.ttypes import Outcome

DETAIL = "This entry is stopping."
RETRY_AFTER_S = 1.0


def check_accepted(
    stop: GracefulStop, req: CallerRequest, now: float, decision_log: DecisionLog
) -> None:
    """Raise if a request may outlast this entry and can run elsewhere.

    Parameters
    ----------
    stop : GracefulStop
        Decides which requests are accepted.
    req : CallerRequest
        A request that has not run.
    now : float
        Seconds on the monotonic clock.
    decision_log : DecisionLog
        Log for the results of requests.

    Raises
    ------
    Problem
        The request is not accepted.
    """
    if not stop.accepts(req.deadline, now):
        raise _refusal(req, 503, Outcome.NOT_RUN, decision_log)


@contextmanager
def answering(
    stop: GracefulStop,
    req: CallerRequest,
    progress: Progress,
    decision_log: DecisionLog,
) -> Iterator[None]:
    """Give up the request within the block if this entry ends before it answers.

    Parameters
    ----------
    stop : GracefulStop
        Ends the last requests.
    req : CallerRequest
        The request.
    progress : Progress
        Attempts at the request.
    decision_log : DecisionLog
        Log for the results of requests.

    Raises
    ------
    Problem
        The request was given up.
    """
    try:
        with stop.answering():
            yield
    except StopTimeUp as exc:
        if progress.attempts:
            raise _refusal(req, 504, Outcome.UNKNOWN, decision_log) from exc
        raise _refusal(req, 503, Outcome.NOT_RUN, decision_log) from exc


def _refusal(
    req: CallerRequest, status: int, outcome: int, decision_log: DecisionLog
) -> Problem:
    decision_log.record_result(req.request_id, req.team.name, DETAIL)
    retry_after_s = RETRY_AFTER_S if outcome == Outcome.NOT_RUN else 0.0
    return Problem(
        status, "stopping", DETAIL, outcome=outcome, retry_after_s=retry_after_s
    )

"""A log of routing decisions that also keeps the latest ones in memory."""

from collections import OrderedDict
from dataclasses import dataclass, field

import structlog

MAX_REQUESTS = 4096
MAX_LOGGED_CANDIDATES = 8

_log = structlog.get_logger()


@dataclass(slots=True)
class Decision:
    """Hold one routing decision; implements `RoutingDecision`.

    Parameters
    ----------
    request_id : str
        Id of the request.
    team : str
        The caller's team.
    labels : dict of str to str
        Labels of the request.
    selector : str or None
        Selector that determined the eligible upstreams; None for the default.
    candidates : list of str
        Names of the first few eligible upstreams.
    eligible : int
        Number of eligible upstreams.
    chosen : str
        Name of the chosen upstream; empty if none was available.
    reason : str
        Reason for the choice.
    revision : int
        Revision of the configuration that applied.
    attempt : int
        Number of the attempt, from 1.
    """

    request_id: str
    team: str
    labels: dict[str, str]
    selector: str | None
    candidates: list[str]
    eligible: int
    chosen: str
    reason: str
    revision: int
    attempt: int = 1


@dataclass(slots=True)
class RequestHistory:
    """Hold the routing decisions and the result of one request.

    Parameters
    ----------
    team : str
        The caller's team.
    decisions : list of Decision
        Decisions in the order of the attempts.
    result : str
        Result in a sentence; empty while the request runs.
    """

    team: str
    decisions: list[Decision] = field(default_factory=list)
    result: str = ""


class DecisionLog:
    """Log routing decisions and keep the history of the latest requests.

    Parameters
    ----------
    max_requests : int, default=4096
        Number of requests to keep; the oldest are dropped.
    """

    __slots__ = ("_histories", "_max_requests")

    def __init__(self, *, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._histories: OrderedDict[str, RequestHistory] = OrderedDict()

    def record(self, decision: Decision) -> None:
        """Log a decision and add it to the request's history.

        Parameters
        ----------
        decision : Decision
            The decision.
        """
        _log.info(
            "routing decision",
            request_id=decision.request_id,
            team=decision.team,
            labels=decision.labels,
            selector=decision.selector,
            candidates=decision.candidates,
            eligible=decision.eligible,
            chosen=decision.chosen,
            reason=decision.reason,
            revision=decision.revision,
            attempt=decision.attempt,
        )
        self._get_or_add(decision.request_id, decision.team).decisions.append(decision)

    def record_result(self, request_id: str, team: str, result: str) -> None:
        """Log the result of a request and add it to its history.

        Parameters
        ----------
        request_id : str
            Id of the request.
        team : str
            The caller's team.
        result : str
            Result in a sentence.
        """
        _log.info("request ended", request_id=request_id, team=team, result=result)
        self._get_or_add(request_id, team).result = result

    def find(self, request_id: str) -> RequestHistory | None:
        """Return the history of a request, or None.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        RequestHistory or None
        """
        return self._histories.get(request_id)

    def _get_or_add(self, request_id: str, team: str) -> RequestHistory:
        history = self._histories.get(request_id)
        if history is None:
            history = self._histories[request_id] = RequestHistory(team)
            if len(self._histories) > self._max_requests:
                self._histories.popitem(last=False)
        return history

"""The decisions of an entry: a log line each, and the latest kept for operators."""

from collections import OrderedDict
from dataclasses import dataclass, field

import structlog

MAX_REQUESTS = 4096
MAX_LOGGED_CANDIDATES = 8

_log = structlog.get_logger()


@dataclass(slots=True)
class Decision:
    """Hold one routing decision.

    Parameters
    ----------
    request_id : str
        The request.
    team : str
        The caller's team.
    labels : dict of str to str
        The request's labels.
    selector : str or None
        The selector that said where it may go.
    candidates : list of str
        Upstreams that it might have gone to, a few of them.
    eligible : int
        How many there were.
    chosen : str
        The upstream chosen; empty where there was none.
    reason : str
        Why.
    revision : int
        Revision of the configuration.
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
    """Hold all that was decided of one request.

    Parameters
    ----------
    team : str
        The caller's team.
    decisions : list of Decision
        One for each attempt.
    result : str
        How it ended, in a sentence; empty while it runs.
    """

    team: str
    decisions: list[Decision] = field(default_factory=list)
    result: str = ""


class DecisionLog:
    """Log decisions and keep the latest requests' accounts.

    Parameters
    ----------
    max_requests : int, default=4096
        Requests kept.
    """

    __slots__ = ("_histories", "_max_requests")

    def __init__(self, *, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._histories: OrderedDict[str, RequestHistory] = OrderedDict()

    def record(self, decision: Decision) -> None:
        """Log and keep a decision.

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
        """Note how a request ended.

        Parameters
        ----------
        request_id : str
            The request.
        team : str
            The caller's team.
        result : str
            A sentence.
        """
        _log.info("request ended", request_id=request_id, team=team, result=result)
        self._get_or_add(request_id, team).result = result

    def find(self, request_id: str) -> RequestHistory | None:
        """Return the account of a request, or None.

        Parameters
        ----------
        request_id : str
            The request.

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

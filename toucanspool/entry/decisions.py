"""The decisions of an entry: a log line each, and the latest kept for operators."""

from collections import OrderedDict
from dataclasses import dataclass, field

import structlog

KEPT = 4096
LISTED_CANDIDATES = 8

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
class Account:
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


class Decisions:
    """Log decisions and keep the latest requests' accounts.

    Parameters
    ----------
    kept : int, default=4096
        Requests kept.
    """

    __slots__ = ("_accounts", "_kept")

    def __init__(self, *, kept: int = KEPT) -> None:
        self._kept = kept
        self._accounts: OrderedDict[str, Account] = OrderedDict()

    def add(self, decision: Decision) -> None:
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
        self._account(decision.request_id, decision.team).decisions.append(decision)

    def end(self, request_id: str, team: str, result: str) -> None:
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
        self._account(request_id, team).result = result

    def find(self, request_id: str) -> Account | None:
        """Return the account of a request, or None.

        Parameters
        ----------
        request_id : str
            The request.

        Returns
        -------
        Account or None
        """
        return self._accounts.get(request_id)

    def _account(self, request_id: str, team: str) -> Account:
        account = self._accounts.get(request_id)
        if account is None:
            account = self._accounts[request_id] = Account(team)
            if len(self._accounts) > self._kept:
                self._accounts.popitem(last=False)
        return account

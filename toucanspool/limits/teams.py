"""Usage of an entry by the teams that have recently sent requests."""

import math
from collections import OrderedDict
from dataclasses import dataclass

IDLE_TTL_S = 30.0
MAX_PRUNED_PER_CALL = 2


@dataclass(slots=True)
class TeamUsage:
    """Hold one team's usage of an entry.

    Parameters
    ----------
    share : float
        Share of the team, as of its latest request.
    used : float
        Total cost of its running and waiting requests.
    requests : int
        Number of its running and waiting requests.
    finish_tag : float
        Virtual finish time of its latest request.
    credit : float
        Cost that the team may still send over its quota; infinite at first.
    credit_updated_at : float
        Time of the latest change of the credit, in seconds on the monotonic clock.
    idle_since : float
        Time at which its last request ended, in seconds on the monotonic clock.
    """

    share: float
    used: float = 0.0
    requests: int = 0
    finish_tag: float = 0.0
    credit: float = math.inf
    credit_updated_at: float = 0.0
    idle_since: float = 0.0


class Teams:
    """Track the usage of teams, and forget teams that stay idle.

    Each request removes at most two idle teams, so that its time is bounded.
    """

    __slots__ = ("_active", "_active_share", "_idle")

    def __init__(self) -> None:
        self._active: dict[str, TeamUsage] = {}
        self._idle: OrderedDict[str, TeamUsage] = OrderedDict()
        self._active_share = 0.0

    def __len__(self) -> int:
        return len(self._active) + len(self._idle)

    @property
    def active_share(self) -> float:
        """Return the sum of the shares of teams that have requests here."""
        return self._active_share

    def add_request(
        self, team: str, share: float, cost: float, now: float
    ) -> TeamUsage:
        """Add a request to the usage of its team.

        Parameters
        ----------
        team : str
            Name of the team.
        share : float
            Share of the team.
        cost : float
            Cost of the request.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        TeamUsage
        """
        self._prune(now)
        usage = self._active.get(team)
        if usage is None:
            usage = self._idle.pop(team, None) or TeamUsage(share)
            self._active[team] = usage
        else:
            self._active_share -= usage.share
        usage.share = share
        self._active_share += share
        usage.used += cost
        usage.requests += 1
        return usage

    def remove_request(
        self, team: str, cost: float, now: float, *, served: bool = True
    ) -> None:
        """Remove a request from the usage of its team.

        Parameters
        ----------
        team : str
            Name of the team.
        cost : float
            Cost of the request.
        now : float
            Seconds on the monotonic clock.
        served : bool, default=True
            Whether the request ran. If not, its cost is taken off the team's virtual
            finish time.
        """
        usage = self._active[team]
        if not served:
            usage.finish_tag -= cost / usage.share
        usage.used -= cost
        usage.requests -= 1
        if usage.requests:
            return
        usage.used = 0.0
        usage.idle_since = now
        del self._active[team]
        self._idle[team] = usage
        self._active_share -= usage.share
        if not self._active:
            self._active_share = 0.0

    def _prune(self, now: float) -> None:
        for _ in range(MAX_PRUNED_PER_CALL):
            if not self._idle:
                return
            oldest = next(iter(self._idle.values()))
            if now - oldest.idle_since < IDLE_TTL_S:
                return
            self._idle.popitem(last=False)

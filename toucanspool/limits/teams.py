"""What an entry keeps of the teams that it has seen of late."""

import math
from collections import OrderedDict
from dataclasses import dataclass

IDLE_TTL_S = 30.0
PRUNED_PER_CALL = 2


@dataclass(slots=True)
class TeamUse:
    """Hold one team's use of an entry.

    Parameters
    ----------
    share : float
        Its share, by its latest request.
    used : float
        Cost of its requests that run or wait.
    requests : int
        Number of them.
    finish_tag : float
        Virtual time at which its last request ends.
    credit : float
        Cost that it may still send beyond its part; infinite at first.
    credit_at : float
        When that was so, in seconds on the monotonic clock.
    idle_since : float
        When its last request ended, in seconds on the monotonic clock.
    """

    share: float
    used: float = 0.0
    requests: int = 0
    finish_tag: float = 0.0
    credit: float = math.inf
    credit_at: float = 0.0
    idle_since: float = 0.0


class Teams:
    """Hold the use of teams; forgets those that are idle for long.

    Each call forgets at most two teams, so that none takes long.
    """

    __slots__ = ("_active", "_active_share", "_idle")

    def __init__(self) -> None:
        self._active: dict[str, TeamUse] = {}
        self._idle: OrderedDict[str, TeamUse] = OrderedDict()
        self._active_share = 0.0

    def __len__(self) -> int:
        return len(self._active) + len(self._idle)

    @property
    def active_share(self) -> float:
        """Return the sum of the shares of teams with requests here."""
        return self._active_share

    def use(self, team: str, share: float, cost: float, now: float) -> TeamUse:
        """Add the cost of a request to its team.

        Parameters
        ----------
        team : str
            The team.
        share : float
            Its share.
        cost : float
            The request's cost.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        TeamUse
        """
        self._prune(now)
        use = self._active.get(team)
        if use is None:
            use = self._idle.pop(team, None) or TeamUse(share)
            self._active[team] = use
        else:
            self._active_share -= use.share
        use.share = share
        self._active_share += share
        use.used += cost
        use.requests += 1
        return use

    def give_back(
        self, team: str, cost: float, now: float, *, served: bool = True
    ) -> None:
        """Take the cost of a request off its team.

        Parameters
        ----------
        team : str
            The team.
        cost : float
            The request's cost.
        now : float
            Seconds on the monotonic clock.
        served : bool, default=True
            Whether it ran; its team's virtual time is not charged otherwise.
        """
        use = self._active[team]
        if not served:
            use.finish_tag -= cost / use.share
        use.used -= cost
        use.requests -= 1
        if use.requests:
            return
        use.used = 0.0
        use.idle_since = now
        del self._active[team]
        self._idle[team] = use
        self._active_share -= use.share
        if not self._active:
            self._active_share = 0.0

    def _prune(self, now: float) -> None:
        for _ in range(PRUNED_PER_CALL):
            if not self._idle:
                return
            oldest = next(iter(self._idle.values()))
            if now - oldest.idle_since < IDLE_TTL_S:
                return
            self._idle.popitem(last=False)

"""Tell ranks that are slow or stalled from ranks that only have much load."""

from dataclasses import dataclass
from enum import Enum

import numpy as np

from toucanspool.groups.expert_map import FloatArray
from toucanspool.groups.load import RankReport
from toucanspool.groups.step_model import StepModel

COST_HALF_LIFE_S = 3.0
SLOW_ABOVE = 1.15
HEALTHY_BELOW = 1.07
SLOW_AFTER_S = 5.0
HEALTHY_AFTER_S = 20.0
WITHDRAW_AFTER_S = 60.0
REPLACE_AFTER_S = 60.0
FORGIVENESS = 0.2
STALLED_AFTER_S = 5.0
REPLACE_STALLED_AFTER_S = 15.0
HOT_ABOVE = 1.1
REPLACING_PART = 1 / 32
MIN_SPEED = 0.02
SPEED_STEP = 0.1
MIN_REPORTING = 0.5
TELLING_LOAD = 0.7
MOST_FIXED_PART = 0.3


class RankState(Enum):
    """What a rank is judged to be."""

    HEALTHY = "healthy"
    HOT = "hot"
    SLOW = "slow"
    STALLED = "stalled"
    REPLACE = "replace"


@dataclass(slots=True, frozen=True)
class RankStateChange:
    """Hold a rank's new state and the reason.

    Parameters
    ----------
    rank : int
        The rank.
    state : RankState
        Its state from now on; `RankState.REPLACE` proposes its replacement.
    reason : str
        One plain sentence.
    """

    rank: int
    state: RankState
    reason: str


class StragglerDetector:
    """Judge ranks by their step time for their load, with hysteresis.

    A rank that is slow for long, or slow again and again, is proposed for
    replacement: time spent slow counts in full, and healthy time takes off a
    part of it.

    Parameters
    ----------
    ranks : int
        Ranks of the group.
    now : float
        Seconds on the monotonic clock.
    """

    __slots__ = (
        "_busy",
        "_judged_at",
        "_last_at",
        "_loads",
        "_model",
        "_over_s",
        "_relative_busy",
        "_relative_load",
        "_seen_at",
        "_slow_s",
        "_under_s",
        "speeds",
        "states",
    )

    def __init__(self, ranks: int, now: float) -> None:
        self.states = [RankState.HEALTHY] * ranks
        self.speeds: FloatArray = np.ones(ranks)
        self._model = StepModel()
        self._judged_at = now
        self._seen_at = np.full(ranks, now)
        self._last_at = np.full(ranks, -np.inf)
        self._busy = np.full(ranks, np.nan)
        self._loads = np.full(ranks, np.nan)
        self._relative_busy = np.ones(ranks)
        self._relative_load = np.ones(ranks)
        self._over_s = np.zeros(ranks)
        self._under_s = np.zeros(ranks)
        self._slow_s = np.zeros(ranks)

    def observe(self, report: RankReport, now: float) -> None:
        """Count a report; one older than the last of its rank is dropped.

        Parameters
        ----------
        report : RankReport
            The report.
        now : float
            Seconds on the monotonic clock.
        """
        rank = report.rank
        if report.steps <= 0 or report.at <= self._last_at[rank]:
            return
        gain = 1.0 - 0.5 ** ((report.at - self._last_at[rank]) / COST_HALF_LIFE_S)
        self._last_at[rank] = report.at
        self._seen_at[rank] = now
        busy = report.busy_s / report.steps
        load = float(report.tokens.sum()) / report.steps
        if np.isnan(self._busy[rank]):
            self._busy[rank], self._loads[rank] = busy, load
            return
        self._busy[rank] += gain * (busy - self._busy[rank])
        self._loads[rank] += gain * (load - self._loads[rank])

    def update(self, now: float) -> list[RankStateChange]:
        """Bring states and speeds up to date.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        list of RankStateChange
            Only what changed.
        """
        gap_s = now - self._judged_at
        self._judged_at = now
        costs = self._costs(gap_s)
        silent = self._silent_s(now)
        self._count(costs, silent <= STALLED_AFTER_S, gap_s)
        verdicts = []
        for rank in range(len(self.states)):
            verdict = self._next(rank, float(costs[rank]), float(silent[rank]))
            if verdict is not None:
                self.states[rank] = verdict.state
                verdicts.append(verdict)
        self._set_speeds(costs, silent)
        return verdicts + self._replacements(costs, silent)

    def hot_ranks(self) -> list[RankStateChange]:
        """Return the ranks whose load, not their speed, makes them late.

        Returns
        -------
        list of RankStateChange
        """
        relative = self._loads / np.nanmean(self._loads)
        ranks = np.flatnonzero(relative > HOT_ABOVE)
        return [
            RankStateChange(
                int(rank),
                RankState.HOT,
                f"Rank {rank} is late because it has {relative[rank]:.2f} times "
                "the mean load.",
            )
            for rank in ranks
            if self.states[rank] is RankState.HEALTHY
        ]

    def reset_rank(self, rank: int, now: float) -> None:
        """Start anew with a rank that was replaced.

        Parameters
        ----------
        rank : int
            The rank.
        now : float
            Seconds on the monotonic clock.
        """
        self.states[rank] = RankState.HEALTHY
        self.speeds[rank] = 1.0
        self._seen_at[rank] = now
        self._last_at[rank] = now
        self._busy[rank] = self._loads[rank] = np.nan
        self._over_s[rank] = self._under_s[rank] = self._slow_s[rank] = 0.0

    def _costs(self, gap_s: float) -> FloatArray:
        known = ~np.isnan(self._busy)
        costs = np.ones(len(self.states))
        if known.mean() < MIN_REPORTING or _median(self._loads[known]) <= 0.0:
            return costs
        loads = np.where(known, self._loads / _median(self._loads[known]), 1.0)
        times = np.where(known, self._busy / _median(self._busy[known]), 1.0)
        self._relative_load, self._relative_busy = loads, times
        healthy = known & np.array([s is RankState.HEALTHY for s in self.states])
        healthy &= self._over_s == 0.0
        if healthy.any() and gap_s > 0.0:
            self._model.learn(loads[healthy], times[healthy], gap_s)
        expected = np.maximum(self._model.expected(loads), 1e-6)
        costs[known] = times[known] / expected[known]
        return costs / _median(costs[known])

    def _count(self, costs: FloatArray, fresh: np.ndarray, gap_s: float) -> None:
        load, busy = self._relative_load, self._relative_busy
        telling = (load > TELLING_LOAD) | (busy > 1.0)
        over = fresh & telling & (costs > SLOW_ABOVE)
        lenient = MOST_FIXED_PART + (1.0 - MOST_FIXED_PART) * load
        under = fresh & (np.minimum(costs, busy / lenient) < HEALTHY_BELOW)
        self._over_s = np.where(over, self._over_s + gap_s, 0.0)
        self._under_s = np.where(under, self._under_s + gap_s, 0.0)
        slow = np.array([s is not RankState.HEALTHY for s in self.states])
        self._slow_s += np.where(slow, gap_s, -FORGIVENESS * gap_s)
        self._slow_s = np.maximum(self._slow_s, 0.0)

    def _silent_s(self, now: float) -> FloatArray:
        silent = now - self._seen_at
        if (silent < STALLED_AFTER_S).mean() < MIN_REPORTING:
            return np.zeros_like(silent)
        return silent

    def _next(self, rank: int, cost: float, silent_s: float) -> RankStateChange | None:
        state = self.states[rank]
        if state is RankState.REPLACE:
            if self._under_s[rank] < WITHDRAW_AFTER_S:
                return None
            reason = f"Rank {rank} keeps pace again and need not be replaced."
            return RankStateChange(rank, RankState.HEALTHY, reason)
        if silent_s > STALLED_AFTER_S:
            if state is RankState.STALLED:
                return None
            reason = f"Rank {rank} has sent no report for {silent_s:.0f} s."
            return RankStateChange(rank, RankState.STALLED, reason)
        if state is RankState.HEALTHY and self._over_s[rank] >= SLOW_AFTER_S:
            reason = (
                f"Rank {rank} takes {cost:.2f} times as long as other ranks for "
                "its load, so it gets less."
            )
            return RankStateChange(rank, RankState.SLOW, reason)
        if state is RankState.STALLED and self._over_s[rank] > 0.0:
            reason = f"Rank {rank} reports again but is still slow."
            return RankStateChange(rank, RankState.SLOW, reason)
        late = state in (RankState.SLOW, RankState.STALLED)
        if late and self._under_s[rank] >= HEALTHY_AFTER_S:
            reason = f"Rank {rank} keeps pace again."
            return RankStateChange(rank, RankState.HEALTHY, reason)
        return None

    def _set_speeds(self, costs: FloatArray, silent: FloatArray) -> None:
        wanted = np.maximum(self._model.load_in_time(1.0 / costs), MIN_SPEED)
        wanted[silent > STALLED_AFTER_S] = MIN_SPEED
        late = np.array([s is not RankState.HEALTHY for s in self.states])
        changed = np.abs(wanted - self.speeds) > SPEED_STEP * self.speeds
        self.speeds = np.where(late & changed, wanted, self.speeds)
        self.speeds[~late] = 1.0

    def _replacements(
        self, costs: FloatArray, silent: FloatArray
    ) -> list[RankStateChange]:
        most = max(1, int(len(self.states) * REPLACING_PART))
        room = most - self.states.count(RankState.REPLACE)
        due = [r for r, s in enumerate(self.states) if self._due(r, s, silent[r])]
        due.sort(key=lambda rank: (-silent[rank], -self._slow_s[rank]))
        verdicts = []
        for rank in due[: max(room, 0)]:
            self.states[rank] = RankState.REPLACE
            why = f"took {costs[rank]:.2f} times as long as other ranks for its load"
            seconds = self._slow_s[rank]
            if silent[rank] > STALLED_AFTER_S:
                why, seconds = "sent no report", silent[rank]
            reason = f"Rank {rank} {why} for {seconds:.0f} s and should be replaced."
            verdicts.append(RankStateChange(rank, RankState.REPLACE, reason))
        return verdicts

    def _due(self, rank: int, state: RankState, silent_s: float) -> bool:
        if state is RankState.STALLED:
            return bool(silent_s > REPLACE_STALLED_AFTER_S)
        return state is RankState.SLOW and bool(self._slow_s[rank] >= REPLACE_AFTER_S)


def _median(values: FloatArray) -> float:
    """Return the upper median; `numpy.median` loads a module at its first call."""
    middle = values.size // 2
    return float(np.partition(values, middle)[middle])

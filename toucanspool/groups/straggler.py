"""Detection of slow and stalled ranks, as opposed to ranks with a high load."""

from dataclasses import dataclass
from enum import Enum

import numpy as np

from toucanspool.groups.expert_map import FloatArray
from toucanspool.groups.load import RankReport
from toucanspool.groups.step_model import StepModel

REPORT_HALF_LIFE_S = 3.0
SLOW_THRESHOLD = 1.15  # ratio of step time to expected time, to become slow
HEALTHY_THRESHOLD = 1.07  # the same ratio, to become healthy again
SLOW_AFTER_S = 5.0  # without a break above the threshold
HEALTHY_AFTER_S = 20.0  # without a break below the threshold
WITHDRAW_AFTER_S = 60.0  # below the threshold, if a replacement is proposed
REPLACE_AFTER_S = 60.0  # total time spent slow
SLOW_TIME_DECAY = 0.2  # fraction of healthy time deducted from the time spent slow
STALLED_AFTER_S = 5.0  # without a report
REPLACE_STALLED_AFTER_S = 15.0  # without a report
HOT_THRESHOLD = 1.1  # ratio of a hot rank's load to the mean load
MAX_REPLACE_FRACTION = 1 / 32  # of the ranks at once, but at least one rank
MIN_SPEED = 0.02
MIN_SPEED_CHANGE = 0.1  # as a fraction; smaller changes are not applied
MIN_REPORTING_FRACTION = 0.5  # of the ranks, to assess any of them
MIN_SLOW_LOAD = 0.7  # of the median load; with less, the time must exceed the median
MAX_FIXED_FRACTION = 0.3  # of the step time, assumed for ranks that may be healthy


class RankHealth(Enum):
    """Health of a rank, as the detector judges it."""

    HEALTHY = "healthy"
    HOT = "hot"
    SLOW = "slow"
    STALLED = "stalled"
    REPLACE = "replace"


@dataclass(slots=True, frozen=True)
class StateChange:
    """Describe a rank's new state and the reason for it.

    Parameters
    ----------
    rank : int
        The rank.
    state : RankHealth
        The new state; `RankHealth.REPLACE` proposes to replace the rank.
    reason : str
        Explanation in one sentence.
    """

    rank: int
    state: RankHealth
    reason: str


class StragglerDetector:
    """Detect slow and stalled ranks from their reports, with hysteresis.

    A rank that is slow for long or repeatedly is proposed for replacement. The time
    that it spends slow is added up, and part of its healthy time is deducted.

    Parameters
    ----------
    ranks : int
        Number of ranks of the group.
    now : float
        Seconds on the monotonic clock.
    """

    __slots__ = (
        "_above_s",
        "_below_s",
        "_loads",
        "_model",
        "_received_at",
        "_relative_load",
        "_relative_time",
        "_reported_at",
        "_slow_s",
        "_step_s",
        "_updated_at",
        "speeds",
        "states",
    )

    def __init__(self, ranks: int, now: float) -> None:
        self.states = [RankHealth.HEALTHY] * ranks
        self.speeds: FloatArray = np.ones(ranks)
        self._model = StepModel()
        self._updated_at = now
        self._received_at = np.full(ranks, now)
        self._reported_at = np.full(ranks, -np.inf)
        self._step_s = np.full(ranks, np.nan)
        self._loads = np.full(ranks, np.nan)
        self._relative_time = np.ones(ranks)
        self._relative_load = np.ones(ranks)
        self._above_s = np.zeros(ranks)
        self._below_s = np.zeros(ranks)
        self._slow_s = np.zeros(ranks)

    def observe(self, report: RankReport, now: float) -> None:
        """Add a report, or ignore it if it has no steps or is not the rank's newest.

        Parameters
        ----------
        report : RankReport
            The report.
        now : float
            Seconds on the monotonic clock.
        """
        rank = report.rank
        if report.steps <= 0 or report.at <= self._reported_at[rank]:
            return
        gain = 1.0 - 0.5 ** ((report.at - self._reported_at[rank]) / REPORT_HALF_LIFE_S)
        self._reported_at[rank] = report.at
        self._received_at[rank] = now
        step_s = report.busy_s / report.steps
        load = float(report.tokens.sum()) / report.steps
        if np.isnan(self._step_s[rank]):
            self._step_s[rank], self._loads[rank] = step_s, load
            return
        self._step_s[rank] += gain * (step_s - self._step_s[rank])
        self._loads[rank] += gain * (load - self._loads[rank])

    def update(self, now: float) -> list[StateChange]:
        """Update the states and speeds of all ranks.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        list of StateChange
            Only the states that changed.
        """
        elapsed_s = now - self._updated_at
        self._updated_at = now
        slowdowns = self._slowdowns(elapsed_s)
        silence_s = self._silence_s(now)
        self._count_times(slowdowns, silence_s <= STALLED_AFTER_S, elapsed_s)
        changes = []
        for rank in range(len(self.states)):
            change = self._next_state(
                rank, float(slowdowns[rank]), float(silence_s[rank])
            )
            if change is not None:
                self.states[rank] = change.state
                changes.append(change)
        self._set_speeds(slowdowns, silence_s)
        return changes + self._replacements(slowdowns, silence_s)

    def hot_ranks(self) -> list[StateChange]:
        """Return, as `RankHealth.HOT`, healthy ranks that are late due to their load.

        Returns
        -------
        list of StateChange
        """
        relative_load = self._loads / np.nanmean(self._loads)
        ranks = np.flatnonzero(relative_load > HOT_THRESHOLD)
        return [
            StateChange(
                int(rank),
                RankHealth.HOT,
                f"Rank {rank} is late because it has {relative_load[rank]:.2f} times "
                "the mean load.",
            )
            for rank in ranks
            if self.states[rank] is RankHealth.HEALTHY
        ]

    def reset_rank(self, rank: int, now: float) -> None:
        """Forget the history of a rank that was replaced.

        Parameters
        ----------
        rank : int
            The rank.
        now : float
            Seconds on the monotonic clock.
        """
        self.states[rank] = RankHealth.HEALTHY
        self.speeds[rank] = 1.0
        self._received_at[rank] = now
        self._reported_at[rank] = now
        self._step_s[rank] = self._loads[rank] = np.nan
        self._above_s[rank] = self._below_s[rank] = self._slow_s[rank] = 0.0

    def _slowdowns(self, elapsed_s: float) -> FloatArray:
        """Return each rank's step time over the time expected for its load."""
        known = ~np.isnan(self._step_s)
        slowdowns = np.ones(len(self.states))
        if known.mean() < MIN_REPORTING_FRACTION or _median(self._loads[known]) <= 0.0:
            return slowdowns
        loads = np.where(known, self._loads / _median(self._loads[known]), 1.0)
        times = np.where(known, self._step_s / _median(self._step_s[known]), 1.0)
        self._relative_load, self._relative_time = loads, times
        healthy = known & np.array([s is RankHealth.HEALTHY for s in self.states])
        healthy &= self._above_s == 0.0
        if healthy.any() and elapsed_s > 0.0:
            self._model.learn(loads[healthy], times[healthy], elapsed_s)
        expected = np.maximum(self._model.expected(loads), 1e-6)
        slowdowns[known] = times[known] / expected[known]
        return slowdowns / _median(slowdowns[known])

    def _count_times(
        self, slowdowns: FloatArray, fresh: np.ndarray, elapsed_s: float
    ) -> None:
        load, time = self._relative_load, self._relative_time
        comparable = (load > MIN_SLOW_LOAD) | (time > 1.0)
        above = fresh & comparable & (slowdowns > SLOW_THRESHOLD)
        max_expected = MAX_FIXED_FRACTION + (1.0 - MAX_FIXED_FRACTION) * load
        below = fresh & (np.minimum(slowdowns, time / max_expected) < HEALTHY_THRESHOLD)
        self._above_s = np.where(above, self._above_s + elapsed_s, 0.0)
        self._below_s = np.where(below, self._below_s + elapsed_s, 0.0)
        slow = np.array([s is not RankHealth.HEALTHY for s in self.states])
        self._slow_s += np.where(slow, elapsed_s, -SLOW_TIME_DECAY * elapsed_s)
        self._slow_s = np.maximum(self._slow_s, 0.0)

    def _silence_s(self, now: float) -> FloatArray:
        """Return the time since each last report; 0 if less than half are recent."""
        silence_s = now - self._received_at
        if (silence_s < STALLED_AFTER_S).mean() < MIN_REPORTING_FRACTION:
            return np.zeros_like(silence_s)
        return silence_s

    def _next_state(
        self, rank: int, slowdown: float, silent_s: float
    ) -> StateChange | None:
        state = self.states[rank]
        if state is RankHealth.REPLACE:
            if self._below_s[rank] < WITHDRAW_AFTER_S:
                return None
            reason = f"Rank {rank} keeps pace again and need not be replaced."
            return StateChange(rank, RankHealth.HEALTHY, reason)
        if silent_s > STALLED_AFTER_S:
            if state is RankHealth.STALLED:
                return None
            reason = f"Rank {rank} has sent no report for {silent_s:.0f} s."
            return StateChange(rank, RankHealth.STALLED, reason)
        if state is RankHealth.HEALTHY and self._above_s[rank] >= SLOW_AFTER_S:
            reason = (
                f"Rank {rank} takes {slowdown:.2f} times as long as other ranks for "
                "its load, so it gets less."
            )
            return StateChange(rank, RankHealth.SLOW, reason)
        if state is RankHealth.STALLED and self._above_s[rank] > 0.0:
            reason = f"Rank {rank} reports again but is still slow."
            return StateChange(rank, RankHealth.SLOW, reason)
        degraded = state in (RankHealth.SLOW, RankHealth.STALLED)
        if degraded and self._below_s[rank] >= HEALTHY_AFTER_S:
            reason = f"Rank {rank} keeps pace again."
            return StateChange(rank, RankHealth.HEALTHY, reason)
        return None

    def _set_speeds(self, slowdowns: FloatArray, silence_s: FloatArray) -> None:
        new_speeds = np.maximum(self._model.load_for_time(1.0 / slowdowns), MIN_SPEED)
        new_speeds[silence_s > STALLED_AFTER_S] = MIN_SPEED
        degraded = np.array([s is not RankHealth.HEALTHY for s in self.states])
        changed = np.abs(new_speeds - self.speeds) > MIN_SPEED_CHANGE * self.speeds
        self.speeds = np.where(degraded & changed, new_speeds, self.speeds)
        self.speeds[~degraded] = 1.0

    def _replacements(
        self, slowdowns: FloatArray, silence_s: FloatArray
    ) -> list[StateChange]:
        max_replacing = max(1, int(len(self.states) * MAX_REPLACE_FRACTION))
        remaining = max_replacing - self.states.count(RankHealth.REPLACE)
        due = [r for r, s in enumerate(self.states) if self._is_due(r, s, silence_s[r])]
        due.sort(key=lambda rank: (-silence_s[rank], -self._slow_s[rank]))
        changes = []
        for rank in due[: max(remaining, 0)]:
            self.states[rank] = RankHealth.REPLACE
            why = (
                f"took {slowdowns[rank]:.2f} times as long as other ranks for its load"
            )
            seconds = self._slow_s[rank]
            if silence_s[rank] > STALLED_AFTER_S:
                why, seconds = "sent no report", silence_s[rank]
            reason = f"Rank {rank} {why} for {seconds:.0f} s and should be replaced."
            changes.append(StateChange(rank, RankHealth.REPLACE, reason))
        return changes

    def _is_due(self, rank: int, state: RankHealth, silent_s: float) -> bool:
        if state is RankHealth.STALLED:
            return bool(silent_s > REPLACE_STALLED_AFTER_S)
        return state is RankHealth.SLOW and bool(self._slow_s[rank] >= REPLACE_AFTER_S)


def _median(values: FloatArray) -> float:
    """Return the upper median; `numpy.median` imports a module on its first call."""
    middle = values.size // 2
    return float(np.partition(values, middle)[middle])

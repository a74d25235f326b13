"""Decisions on when a group gets a new expert map, and which one."""

import math
from collections.abc import Generator
from dataclasses import dataclass

from toucanspool.groups.expert_map import ExpertMap
from toucanspool.groups.load import LoadEstimate, RankReport
from toucanspool.groups.placement import PlacementSettings, Plan, Planner
from toucanspool.groups.split import Split
from toucanspool.groups.straggler import RankHealth, StateChange, StragglerDetector

PLAN_INTERVAL_S = 2.0
# Maps kept so that late reports can be assigned to the map that they refer to.
KEPT_MAPS = 4
# Maximum number of hot ranks that the reason of a plan names.
MAX_HOT_RANKS_NAMED = 2


@dataclass(slots=True, frozen=True, eq=False)
class RebalanceDecision:
    """Hold the changes that the rebalancer proposes.

    Parameters
    ----------
    plan : Plan or None
        The new map to load and switch to; None to keep the current one.
    state_changes : tuple of StateChange
        Ranks whose state changed; `RankHealth.REPLACE` proposes to replace the rank.
    reason : str
        Explanation for the decision log; empty if there is nothing to do.
    """

    plan: Plan | None
    state_changes: tuple[StateChange, ...]
    reason: str


class StaleMap(Exception):
    """Report a map that is not newer than the one in use.

    Parameters
    ----------
    current : int
        Version of the map in use.
    offered : int
        Version of the rejected map.
    """

    def __init__(self, current: int, offered: int) -> None:
        super().__init__(f"map {offered} is not newer than {current}")
        self.current = current
        self.offered = offered


class BadReport(Exception):
    """Report a rank's report that is invalid.

    Parameters
    ----------
    rank : int
        The rank that the report names.
    error : str
        Description of the fault.
    """

    def __init__(self, rank: int, error: str) -> None:
        super().__init__(f"report of rank {rank}: {error}")
        self.rank = rank
        self.error = error


class Rebalancer:
    """Propose maps and replacements from reports; do no I/O and change no rank.

    At most one plan is pending. The caller must call `adopt` or `withdraw` before
    another one is computed.

    Parameters
    ----------
    cfg : PlacementSettings
        Weights and limits.
    map_ : ExpertMap
        The map in use.
    now : float
        Seconds on the monotonic clock.
    split : Split, optional
        Split of tokens over copies.
    """

    __slots__ = (
        "_detector",
        "_loads",
        "_maps",
        "_pending_plan",
        "_planned_at",
        "_planner",
        "map",
    )

    def __init__(
        self,
        cfg: PlacementSettings,
        map_: ExpertMap,
        now: float,
        *,
        split: Split | None = None,
    ) -> None:
        self.map = map_
        self._maps = {map_.version: map_}
        self._planner = Planner(cfg, split=split)
        self._loads = LoadEstimate(map_.layers, map_.n_experts)
        self._detector = StragglerDetector(map_.ranks, now)
        self._pending_plan: Plan | None = None
        self._planned_at = now

    @property
    def loads(self) -> LoadEstimate:
        """Return the load estimate of the experts."""
        return self._loads

    @property
    def detector(self) -> StragglerDetector:
        """Return the detector of slow and stalled ranks."""
        return self._detector

    def observe(self, report: RankReport, now: float) -> None:
        """Add a report.

        Parameters
        ----------
        report : RankReport
            The report. If its map is no longer kept, only the rank's speed is
            updated.
        now : float
            Seconds on the monotonic clock.

        Raises
        ------
        BadReport
            If the rank is not in the group or a value is out of range.
        """
        self._check(report)
        self._detector.observe(report, now)
        map_ = self._maps.get(report.version)
        if map_ is not None:
            self._loads.observe(report, map_)

    def _check(self, report: RankReport) -> None:
        if not 0 <= report.rank < self.map.ranks:
            raise BadReport(report.rank, "the group has no such rank")
        if not 0.0 <= report.busy_s < math.inf or not math.isfinite(report.at):
            raise BadReport(report.rank, "a time is negative or not finite")
        map_ = self._maps.get(report.version, self.map)
        if report.tokens.shape != (map_.layers, map_.slots) or report.tokens.min() < 0:
            raise BadReport(
                report.rank, "token counts are negative or do not match the map"
            )

    def adopt(self, map_: ExpertMap) -> None:
        """Record that the group has switched to another map.

        Parameters
        ----------
        map_ : ExpertMap
            The map, proposed by this or an earlier rebalancer.

        Raises
        ------
        StaleMap
            If the map is not newer than the one in use.
        """
        if map_.version <= self.map.version:
            raise StaleMap(self.map.version, map_.version)
        self.map = map_
        self._maps[map_.version] = map_
        for version in sorted(self._maps)[:-KEPT_MAPS]:
            del self._maps[version]
        self._pending_plan = None

    def withdraw(self) -> None:
        """Discard the pending plan, which will not be used."""
        self._pending_plan = None

    def reset_rank(self, rank: int, now: float) -> None:
        """Forget the history of a rank that was replaced.

        Parameters
        ----------
        rank : int
            The rank.
        now : float
            Seconds on the monotonic clock.
        """
        self._detector.reset_rank(rank, now)

    def decide(self, now: float) -> RebalanceDecision:
        """Return a decision without pausing between slices; see `decide_slices`."""
        slices = self.decide_slices(now)
        while True:
            try:
                next(slices)
            except StopIteration as stop:
                return stop.value

    def decide_slices(self, now: float) -> Generator[None, None, RebalanceDecision]:
        """Decide in slices of a few milliseconds; call about once a second.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Yields
        ------
        None
            After each slice.

        Returns
        -------
        RebalanceDecision
        """
        self._loads.update(now)
        yield
        state_changes = tuple(self._detector.update(now))
        yield
        plan = None
        speed_changed = any(
            change.state is not RankHealth.REPLACE for change in state_changes
        )
        due = speed_changed or now - self._planned_at >= PLAN_INTERVAL_S
        if due and self._pending_plan is None and self._loads.ready:
            self._planned_at = now
            plan = yield from self._planner.plan_slices(
                self.map,
                self._loads.loads,
                self._detector.speeds,
                errors=self._loads.errors,
            )
            self._pending_plan = plan
        reasons = [change.reason for change in state_changes]
        if plan is not None:
            reasons += [
                change.reason
                for change in self._detector.hot_ranks()[:MAX_HOT_RANKS_NAMED]
            ]
            reasons.append(plan.reason)
        return RebalanceDecision(plan, state_changes, " ".join(reasons))

"""The decision when a group gets another expert map, and which."""

import math
from collections.abc import Generator
from dataclasses import dataclass

from toucanspool.groups.expert_map import ExpertMap
from toucanspool.groups.load import LoadEstimate, RankReport
from toucanspool.groups.placement import PlacementSettings, Plan, Planner
from toucanspool.groups.split import Split
from toucanspool.groups.straggler import RankState, RankStateChange, StragglerDetector

PLAN_EVERY_S = 2.0
KEPT_MAPS = 4
MAX_HOT_NAMED = 2


@dataclass(slots=True, frozen=True, eq=False)
class Decision:
    """Hold what the rebalancer wants done.

    Parameters
    ----------
    plan : Plan or None
        The new map to load and switch to; None keeps the present one.
    state_changes : tuple of RankStateChange
        Ranks whose state changed; a state of `RankState.REPLACE` proposes the
        rank's replacement.
    reason : str
        Plain sentences for the decision log; empty where nothing was decided.
    """

    plan: Plan | None
    state_changes: tuple[RankStateChange, ...]
    reason: str


class StaleMap(Exception):
    """Report a map that is not newer than the one in force.

    Parameters
    ----------
    have : int
        Version in force.
    got : int
        Version offered.
    """

    def __init__(self, have: int, got: int) -> None:
        super().__init__(f"map {got} is not newer than {have}")
        self.have = have
        self.got = got


class BadReport(Exception):
    """Report figures of a rank that can't be true.

    Parameters
    ----------
    rank : int
        The rank that the report names.
    mistake : str
        What is wrong.
    """

    def __init__(self, rank: int, mistake: str) -> None:
        super().__init__(f"report of rank {rank}: {mistake}")
        self.rank = rank
        self.mistake = mistake


class Rebalancer:
    """Decide from reports; do no I/O and change no rank.

    At most one proposed map is open: after it, the caller says `adopt` or
    `withdraw` before another is worked out.

    Parameters
    ----------
    cfg : PlacementSettings
        The weights.
    map_ : ExpertMap
        The map in force.
    now : float
        Seconds on the monotonic clock.
    split : Split, optional
        How copies share tokens.
    """

    __slots__ = (
        "_detector",
        "_loads",
        "_maps",
        "_open",
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
        self._open: Plan | None = None
        self._planned_at = now

    @property
    def loads(self) -> LoadEstimate:
        """Return the estimate of the experts' load."""
        return self._loads

    @property
    def detector(self) -> StragglerDetector:
        """Return the judge of the ranks."""
        return self._detector

    def observe(self, report: RankReport, now: float) -> None:
        """Count a report.

        Parameters
        ----------
        report : RankReport
            The report; one on a map long gone tells only of the rank.
        now : float
            Seconds on the monotonic clock.

        Raises
        ------
        BadReport
            The report names no rank of the group or holds impossible figures.
        """
        self._check(report)
        self._detector.observe(report, now)
        map_ = self._maps.get(report.version)
        if map_ is not None:
            self._loads.observe(report, map_)

    def _check(self, report: RankReport) -> None:
        if not 0 <= report.rank < self.map.ranks:
            raise BadReport(report.rank, "there is no such rank")
        if not 0.0 <= report.busy_s < math.inf or not math.isfinite(report.at):
            raise BadReport(report.rank, "a time is impossible")
        map_ = self._maps.get(report.version, self.map)
        if report.tokens.shape != (map_.layers, map_.slots) or report.tokens.min() < 0:
            raise BadReport(report.rank, "tokens do not fit the map")

    def adopt(self, map_: ExpertMap) -> None:
        """Note that the group runs on another map.

        Parameters
        ----------
        map_ : ExpertMap
            The map, proposed here or by an earlier rebalancer.

        Raises
        ------
        StaleMap
            The map is not newer than the one in force.
        """
        if map_.version <= self.map.version:
            raise StaleMap(self.map.version, map_.version)
        self.map = map_
        self._maps[map_.version] = map_
        for version in sorted(self._maps)[:-KEPT_MAPS]:
            del self._maps[version]
        self._open = None

    def withdraw(self) -> None:
        """Note that the open proposal will not come into force."""
        self._open = None

    def reset_rank(self, rank: int, now: float) -> None:
        """Note that a rank was replaced.

        Parameters
        ----------
        rank : int
            The rank.
        now : float
            Seconds on the monotonic clock.
        """
        self._detector.reset_rank(rank, now)

    def decide(self, now: float) -> Decision:
        """Decide in one go; see `decide_slices`."""
        slices = self.decide_slices(now)
        while True:
            try:
                next(slices)
            except StopIteration as stop:
                return stop.value

    def decide_slices(self, now: float) -> Generator[None, None, Decision]:
        """Decide in slices of a few milliseconds; call it about once a second.

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
        Decision
        """
        self._loads.update(now)
        yield
        state_changes = tuple(self._detector.update(now))
        yield
        plan = None
        late = any(v.state is not RankState.REPLACE for v in state_changes)
        due = late or now - self._planned_at >= PLAN_EVERY_S
        if due and self._open is None and self._loads.ready:
            self._planned_at = now
            plan = yield from self._planner.plan_slices(
                self.map,
                self._loads.loads,
                self._detector.speeds,
                errors=self._loads.errors,
            )
            self._open = plan
        reasons = [v.reason for v in state_changes]
        if plan is not None:
            reasons += [v.reason for v in self._detector.hot_ranks()[:MAX_HOT_NAMED]]
            reasons.append(plan.reason)
        return Decision(plan, state_changes, " ".join(reasons))

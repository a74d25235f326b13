"""Simulate a placement policy on a trace and measure skew, moves and times."""

import math
import time
from dataclasses import dataclass, field
from typing import Protocol

import numpy as np

from bench.traces import EXPERTS, RANKS, STEPS_PER_TICK, TICK_S, Trace
from toucanspool.groups.expert_map import ExpertMap
from toucanspool.groups.load import LoadEstimate, RankReport
from toucanspool.groups.packing import pack
from toucanspool.groups.placement import PlacementSettings, Planner
from toucanspool.groups.rebalancer import RebalanceDecision, Rebalancer
from toucanspool.groups.split import MinMaxSplit, Split
from toucanspool.groups.straggler import RankHealth, StragglerDetector

SLOTS = 3
FIXED_TIME_FRACTION = 0.1
STEP_UNIT_S = 0.025
REPLACEMENT_TICKS = 20
SWITCH_TICKS = 1
REPACK_EVERY_TICKS = 10
MAX_INITIAL_PLANS = 40
SLICES_WITHOUT_SOLVE = 4


class GroupPolicy(Protocol):
    """Choose the maps of a group over time."""

    map: ExpertMap

    def tick(self, tick: int, reports: list[RankReport], run: "GroupRun") -> None:
        """Handle the reports of a tick and update ``map`` when the group switches."""
        ...


@dataclass(slots=True, eq=False)
class GroupRun:
    """Hold the measurements of a run.

    Parameters
    ----------
    skews : list of float
        Ratio of the largest to the mean rank step time, by tick.
    step_times : list of float
        Step time by tick, relative to the mean of healthy ranks.
    moves : int
        Number of expert copies loaded.
    switches : int
        Number of map switches.
    solves_s, solves_cpu_s : list of float
        Wall-clock and processor time of each search for a plan, in seconds.
    slices_s : list of float
        Wall-clock time of each slice, in seconds.
    slices_cpu_s : list of float
        Processor time of each slice, in seconds.
    decisions_cpu_s : float
        Processor time of reports and decisions, in seconds.
    state_changes : list of tuple
        Tick, rank and state of each change of a rank's state.
    replace_tick : int or None
        Tick at which the replacement rank starts, or None without a replacement.
    """

    skews: list[float] = field(default_factory=list)
    step_times: list[float] = field(default_factory=list)
    moves: int = 0
    switches: int = 0
    solves_s: list[float] = field(default_factory=list)
    solves_cpu_s: list[float] = field(default_factory=list)
    slices_s: list[float] = field(default_factory=list)
    slices_cpu_s: list[float] = field(default_factory=list)
    decisions_cpu_s: float = 0.0
    state_changes: list[tuple[int, int, RankHealth]] = field(default_factory=list)
    replace_tick: int | None = None


class FixedPolicy:
    """Keep the initial map."""

    def __init__(self, map_: ExpertMap) -> None:
        self.map = map_

    def tick(self, tick: int, reports: list[RankReport], run: GroupRun) -> None:
        """Do nothing."""


class RepackPolicy:
    """Compute a new packing at every interval, regardless of changes.

    Parameters
    ----------
    map_ : ExpertMap
        Initial map.
    cfg : PlacementSettings or None
        Settings with the rate of the weight store; None loads weights instantly.
    """

    def __init__(self, map_: ExpertMap, cfg: PlacementSettings | None = None) -> None:
        self.map = map_
        self._cfg = cfg
        self._loads = LoadEstimate(map_.layers, map_.n_experts)
        self._detector = StragglerDetector(map_.ranks, 0.0)
        self._next: ExpertMap | None = None
        self._switch_tick = 0

    def tick(self, tick: int, reports: list[RankReport], run: GroupRun) -> None:
        """Record reports and compute a new packing at the end of each interval."""
        now = tick * TICK_S
        for report in reports:
            self._detector.observe(report, now)
            if report.version == self.map.version:
                self._loads.observe(report, self.map)
        self._loads.update(now)
        self._detector.update(now)
        if tick % REPACK_EVERY_TICKS == 0 and self._loads.ready and not self._next:
            self._pack(tick, run)
        if self._next is not None and tick >= self._switch_tick:
            self.map, self._next = self._next, None
            run.switches += 1

    def _pack(self, tick: int, run: GroupRun) -> None:
        self._next = pack(
            self._loads.loads,
            self._detector.speeds,
            SLOTS,
            version=self.map.version + 1,
        )
        moves = self._next.copies_new_to(self.map)
        run.moves += moves
        self._switch_tick = tick
        if self._cfg is not None:
            load_s = moves * self._cfg.expert_bytes / self._cfg.store_bytes_per_s
            self._switch_tick += SWITCH_TICKS + math.ceil(load_s / TICK_S)


class RebalancerPolicy:
    """Apply the plans of `Rebalancer`, loading through a rate-limited weight store."""

    def __init__(
        self, map_: ExpertMap, cfg: PlacementSettings, split: Split | None = None
    ) -> None:
        self.map = map_
        self._cfg = cfg
        self._rebalancer = Rebalancer(cfg, map_, 0.0, split=split)
        self._next: ExpertMap | None = None
        self._switch_tick = 0

    def tick(self, tick: int, reports: list[RankReport], run: GroupRun) -> None:
        """Record reports, switch once copies are loaded, and request a decision."""
        now = tick * TICK_S
        if tick == run.replace_tick:
            for _, rank, state in run.state_changes:
                if state is RankHealth.REPLACE:
                    self._rebalancer.reset_rank(rank, now)
        if self._next is not None and tick >= self._switch_tick:
            self.map, self._next = self._next, None
            self._rebalancer.adopt(self.map)
            run.switches += 1
        begun = time.thread_time()
        for report in reports:
            self._rebalancer.observe(report, now)
        decision = self._decide(now, run)
        run.decisions_cpu_s += time.thread_time() - begun
        for change in decision.state_changes:
            run.state_changes.append((tick, change.rank, change.state))
            if change.state is RankHealth.REPLACE and run.replace_tick is None:
                run.replace_tick = tick + REPLACEMENT_TICKS
        if decision.plan is not None:
            plan = decision.plan
            run.moves += len(plan.moves)
            load_s = plan.load_bytes / self._cfg.store_bytes_per_s
            self._next = plan.map
            self._switch_tick = tick + SWITCH_TICKS + math.ceil(load_s / TICK_S)

    def _decide(self, now: float, run: GroupRun) -> RebalanceDecision:
        slices = self._rebalancer.decide_slices(now)
        wall_s = []
        cpu_s = []
        decision = None
        while decision is None:
            begun, begun_cpu = time.perf_counter(), time.thread_time()
            try:
                next(slices)
            except StopIteration as stop:
                decision = stop.value
            wall_s.append(time.perf_counter() - begun)
            cpu_s.append(time.thread_time() - begun_cpu)
        run.slices_s.extend(wall_s)
        run.slices_cpu_s.extend(cpu_s)
        if len(wall_s) > SLICES_WITHOUT_SOLVE:
            run.solves_s.append(sum(wall_s))
            run.solves_cpu_s.append(sum(cpu_s))
        return decision


def uniform_map(layers: int) -> ExpertMap:
    """Return a map with the experts round-robin over the ranks and equal shares."""
    experts = np.arange(RANKS * SLOTS).reshape(SLOTS, RANKS).T % EXPERTS
    experts[:, 2] = np.roll(experts[:, 2], RANKS // 2)
    experts = np.broadcast_to(experts, (layers, RANKS, SLOTS))
    return ExpertMap(version=0, n_experts=EXPERTS, experts=experts)


def initial_map(trace: Trace, split: Split | None = None) -> ExpertMap:
    """Return the best known map for the initial popularity.

    The packed map is improved with the true loads until no plan gains enough.
    """
    split = split or MinMaxSplit()
    speeds = np.ones(RANKS)
    map_ = pack(trace.initial_popularity, speeds, SLOTS, split=split)
    cfg = PlacementSettings(min_gain=0.001, switch_s=0.0, max_load_s=100.0)
    for _ in range(MAX_INITIAL_PLANS):
        plan = Planner(cfg, split=split).plan(map_, trace.initial_popularity, speeds)
        if plan is None:
            break
        map_ = plan.map
    return map_


def simulate(trace: Trace, policy: GroupPolicy) -> GroupRun:
    """Simulate a policy on a trace.

    Parameters
    ----------
    trace : Trace
        Load, speeds and report delays of the group.
    policy : GroupPolicy
        Policy that chooses the maps.

    Returns
    -------
    GroupRun
    """
    run = GroupRun()
    reports_by_tick: dict[int, list[RankReport]] = {}
    for tick, tokens in enumerate(trace.tokens):
        policy.tick(tick, reports_by_tick.pop(tick, []), run)
        map_ = policy.map
        replaced = run.replace_tick is not None and tick >= run.replace_tick
        load = map_.gather(tokens.astype(float)) * map_.shares
        rank_load = load.sum(axis=2)
        relative = rank_load / rank_load.mean(axis=1, keepdims=True)
        speeds = trace.speeds(tick, replaced=replaced)
        rank_times = (
            FIXED_TIME_FRACTION + (1.0 - FIXED_TIME_FRACTION) * relative
        ) / speeds
        slowest = rank_times.max(axis=1).sum()
        run.skews.append(float(slowest / rank_times.mean(axis=1).sum()))
        run.step_times.append(float(slowest / trace.initial_popularity.shape[0]))
        if isinstance(policy, FixedPolicy):
            continue
        busy_s = rank_times.sum(axis=0) * trace.time_noise[tick] * STEP_UNIT_S
        _queue_reports(
            reports_by_tick,
            trace,
            tick,
            map_,
            np.rint(load).astype(int),
            busy_s,
            replaced,
        )
    return run


def _queue_reports(
    reports_by_tick: dict[int, list[RankReport]],
    trace: Trace,
    tick: int,
    map_: ExpertMap,
    load: np.ndarray,
    busy_s: np.ndarray,
    replaced: bool,
) -> None:
    for rank in range(RANKS):
        arrival_tick = int(trace.arrival_ticks[tick, rank])
        if arrival_tick < 0 or trace.is_silent(tick, rank, replaced=replaced):
            continue
        report = RankReport(
            rank=rank,
            version=map_.version,
            at=tick * TICK_S,
            steps=STEPS_PER_TICK,
            busy_s=float(busy_s[rank]) * STEPS_PER_TICK,
            tokens=load[:, rank, :],
        )
        reports_by_tick.setdefault(arrival_tick, []).append(report)

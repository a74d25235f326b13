"""Drive a policy over a trace and measure skew, moves and times."""

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
FIXED_PART = 0.1
SECONDS_PER_UNIT = 0.025
REPLACE_TICKS = 20
SWITCH_TICKS = 1
REPACK_EVERY_TICKS = 10
MAX_FIRST_PLANS = 40
SLICES_WITHOUT_SEARCH = 4


class GroupPolicy(Protocol):
    """Choose the maps of a group over time."""

    map: ExpertMap

    def tick(self, tick: int, reports: list[RankReport], run: "GroupRun") -> None:
        """Take reports, and change ``map`` when the group switches."""
        ...


@dataclass(slots=True, eq=False)
class GroupRun:
    """Hold what was measured in one run.

    Parameters
    ----------
    skew : list of float
        Largest over mean step time of each tick.
    step : list of float
        Step time of each tick; 1 is the mean on healthy ranks.
    moves : int
        Expert copies loaded.
    switches : int
        Maps taken into use.
    solves_s, solves_cpu_s : list of float
        Time of each search for a plan, by the clock and in processor time, in
        seconds.
    slices_s : list of float
        Time of each slice, in seconds.
    slices_cpu_s : list of float
        Processor time of each slice, in seconds.
    decisions_cpu_s : float
        Processor time of reports and decisions, in seconds.
    verdicts : list of tuple
        Tick, rank and state of each change of a rank's state.
    replace_at : int or None
        Tick at which the replaced rank runs.
    """

    skew: list[float] = field(default_factory=list)
    step: list[float] = field(default_factory=list)
    moves: int = 0
    switches: int = 0
    solves_s: list[float] = field(default_factory=list)
    solves_cpu_s: list[float] = field(default_factory=list)
    slices_s: list[float] = field(default_factory=list)
    slices_cpu_s: list[float] = field(default_factory=list)
    decisions_cpu_s: float = 0.0
    verdicts: list[tuple[int, int, RankHealth]] = field(default_factory=list)
    replace_at: int | None = None


class Fixed:
    """Keep one map for ever."""

    def __init__(self, map_: ExpertMap) -> None:
        self.map = map_

    def tick(self, tick: int, reports: list[RankReport], run: GroupRun) -> None:
        """Do nothing."""


class Repack:
    """Pack anew at every interval, whatever changed.

    Parameters
    ----------
    map_ : ExpertMap
        The first map.
    cfg : PlacementSettings or None
        Rate of the weight store; None loads in no time.
    """

    def __init__(self, map_: ExpertMap, cfg: PlacementSettings | None = None) -> None:
        self.map = map_
        self._cfg = cfg
        self._loads = LoadEstimate(map_.layers, map_.n_experts)
        self._detector = StragglerDetector(map_.ranks, 0.0)
        self._next: ExpertMap | None = None
        self._switch_tick = 0

    def tick(self, tick: int, reports: list[RankReport], run: GroupRun) -> None:
        """Count reports; pack when the interval is over."""
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


class Rebalanced:
    """Follow the product's rebalancer through a rate-limited weight store."""

    def __init__(
        self, map_: ExpertMap, cfg: PlacementSettings, split: Split | None = None
    ) -> None:
        self.map = map_
        self._cfg = cfg
        self._rebalancer = Rebalancer(cfg, map_, 0.0, split=split)
        self._next: ExpertMap | None = None
        self._switch_tick = 0

    def tick(self, tick: int, reports: list[RankReport], run: GroupRun) -> None:
        """Count reports, switch when the copies are loaded, decide."""
        now = tick * TICK_S
        if tick == run.replace_at:
            for _, rank, state in run.verdicts:
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
        for verdict in decision.state_changes:
            run.verdicts.append((tick, verdict.rank, verdict.state))
            if verdict.state is RankHealth.REPLACE and run.replace_at is None:
                run.replace_at = tick + REPLACE_TICKS
        if decision.plan is not None:
            plan = decision.plan
            run.moves += len(plan.moves)
            load_s = plan.load_bytes / self._cfg.store_bytes_per_s
            self._next = plan.map
            self._switch_tick = tick + SWITCH_TICKS + math.ceil(load_s / TICK_S)

    def _decide(self, now: float, run: GroupRun) -> RebalanceDecision:
        slices = self._rebalancer.decide_slices(now)
        spent = []
        spent_cpu = []
        done = None
        while done is None:
            begun, begun_cpu = time.perf_counter(), time.thread_time()
            try:
                next(slices)
            except StopIteration as stop:
                done = stop.value
            spent.append(time.perf_counter() - begun)
            spent_cpu.append(time.thread_time() - begun_cpu)
        run.slices_s.extend(spent)
        run.slices_cpu_s.extend(spent_cpu)
        if len(spent) > SLICES_WITHOUT_SEARCH:
            run.solves_s.append(sum(spent))
            run.solves_cpu_s.append(sum(spent_cpu))
        return done


def uniform_map(layers: int) -> ExpertMap:
    """Return experts in turn over the ranks, with even shares."""
    experts = np.arange(RANKS * SLOTS).reshape(SLOTS, RANKS).T % EXPERTS
    experts[:, 2] = np.roll(experts[:, 2], RANKS // 2)
    experts = np.broadcast_to(experts, (layers, RANKS, SLOTS))
    return ExpertMap(version=0, n_experts=EXPERTS, experts=experts)


def first_map(trace: Trace, split: Split | None = None) -> ExpertMap:
    """Return the best map known for the popularity at the start.

    It is packed, then bettered with the loads known until nothing pays.
    """
    split = split or MinMaxSplit()
    speeds = np.ones(RANKS)
    map_ = pack(trace.first, speeds, SLOTS, split=split)
    cfg = PlacementSettings(min_gain=0.001, switch_s=0.0, max_load_s=100.0)
    for _ in range(MAX_FIRST_PLANS):
        plan = Planner(cfg, split=split).plan(map_, trace.first, speeds)
        if plan is None:
            break
        map_ = plan.map
    return map_


def drive(trace: Trace, policy: GroupPolicy) -> GroupRun:
    """Run a policy over a trace.

    Parameters
    ----------
    trace : Trace
        What happens.
    policy : GroupPolicy
        Who chooses the maps.

    Returns
    -------
    GroupRun
    """
    run = GroupRun()
    inbox: dict[int, list[RankReport]] = {}
    for tick, tokens in enumerate(trace.tokens):
        policy.tick(tick, inbox.pop(tick, []), run)
        map_ = policy.map
        replaced = run.replace_at is not None and tick >= run.replace_at
        load = map_.gather(tokens.astype(float)) * map_.shares
        by_rank = load.sum(axis=2)
        relative = by_rank / by_rank.mean(axis=1, keepdims=True)
        speeds = trace.speeds(tick, replaced=replaced)
        times = (FIXED_PART + (1.0 - FIXED_PART) * relative) / speeds
        peak = times.max(axis=1).sum()
        run.skew.append(float(peak / times.mean(axis=1).sum()))
        run.step.append(float(peak / trace.first.shape[0]))
        if isinstance(policy, Fixed):
            continue
        busy = times.sum(axis=0) * trace.time_noise[tick] * SECONDS_PER_UNIT
        _post(inbox, trace, tick, map_, np.rint(load).astype(int), busy, replaced)
    return run


def _post(
    inbox: dict[int, list[RankReport]],
    trace: Trace,
    tick: int,
    map_: ExpertMap,
    load: np.ndarray,
    busy: np.ndarray,
    replaced: bool,
) -> None:
    for rank in range(RANKS):
        arrives = int(trace.arrives[tick, rank])
        if arrives < 0 or trace.silent(tick, rank, replaced=replaced):
            continue
        report = RankReport(
            rank=rank,
            version=map_.version,
            at=tick * TICK_S,
            steps=STEPS_PER_TICK,
            busy_s=float(busy[rank]) * STEPS_PER_TICK,
            tokens=load[:, rank, :],
        )
        inbox.setdefault(arrives, []).append(report)

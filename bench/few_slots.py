"""Play shifts of demand against expert placements: ``python -m bench.few_slots``.

Counts are read, and orders and copies take time, as in `MapCoordinator`.
"""

import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import numpy as np
from absl import app, flags

from bench.skew_bound import skew_bound
from standins.expert_demand import HEAVY_TAIL, SHIFT_S, USUAL_TAIL, ShiftingDemand
from toucanspool.groups.copies import ExpertCopies
from toucanspool.groups.copy_search import CopySearch
from toucanspool.groups.count_reader import INTERVAL_S, LINK_SHARE
from toucanspool.groups.count_sample import CountSample
from toucanspool.groups.demand import Demand
from toucanspool.groups.expert_map import FloatArray
from toucanspool.groups.map_coordinator import MIN_SKEW_GAIN
from toucanspool.groups.map_planner import (
    COPY_BUDGET_S,
    MIN_COPY_GAIN,
    MIN_COPY_S,
    plan_copies,
)
from toucanspool.groups.rank_arrays import MAX_COUNT, pack_changes, pack_map
from toucanspool.routing.routes import EngineModel

FLAGS = flags.FLAGS
flags.DEFINE_integer("seeds", 3, "Number of seeds.")
flags.DEFINE_integer("shifts", 8, "Shifts of demand in a play.")
flags.DEFINE_integer("processes", 2, "Worker processes.")
flags.DEFINE_float("skew_gain", MIN_SKEW_GAIN, "Least gain of a plan.")

TICK_S = 0.1
READ_TICKS = round(INTERVAL_S / TICK_S)
# Time to hold a pass, to arm all ranks and to begin the pass.
SWITCH_S = 0.4
# Passes take this much longer while experts are copied.
COPY_SLOWDOWN = 1.15
# Each rank's requests prefer other experts, and are replaced after some time.
MIX_SIGMA = 0.8
MIX_S = 2.0
# Tokens of all ranks in a set, a second.
TOKENS_PER_S = 200_000
# Link of the coordinator's instance: a slow one and one that carries all counts.
LINKS = (3e6, 1e8)


def _engine(experts: int, slots: int, *, sets: int, spare: int, copy_s: float):
    return EngineModel(
        slots=5,
        step_base_s=0.004,
        step_per_request_s=0.002,
        prefill_tokens_per_s=5000.0,
        steps_per_pass=4,
        mean_prompt_tokens=300.0,
        mean_answer_tokens=100.0,
        layer_sets=sets,
        experts=experts,
        expert_slots=slots,
        copies_per_set=spare,
        expert_copy_s=copy_s,
    )


GROUPS = {
    72: _engine(144, 3, sets=12, spare=2, copy_s=0.0058),
    32: _engine(128, 5, sets=12, spare=2, copy_s=0.0365),
    12: _engine(96, 11, sets=3, spare=4, copy_s=0.4),
}
TAILS = {"usual": USUAL_TAIL, "heavy": HEAVY_TAIL}

Plan = Callable[
    [ExpertCopies, FloatArray, FloatArray, EngineModel, float], ExpertCopies
]


class Turns:
    """Choose the ranks to read in turn, as before `CountSample`."""

    def __init__(self) -> None:
        self._start = 0

    def take(
        self, ranks: Sequence[int], max_ranks: int
    ) -> tuple[list[int], Sequence[int]]:
        """Return the ranks to read, twice."""
        start = self._start % len(ranks)
        chosen = [*ranks[start:], *ranks[:start]][:max_ranks]
        self._start = start + len(chosen)
        return chosen, chosen


def add_copies_only(
    copies: ExpertCopies,
    demand: FloatArray,
    slowdowns: FloatArray,
    engine: EngineModel,
    link_bits_per_s: float,
) -> ExpertCopies:
    """Plan by `CopySearch` at all sizes, as before `SlotSearch`."""
    per_rank = max(1, round(COPY_BUDGET_S / max(engine.expert_copy_s, MIN_COPY_S)))
    changes = CopySearch(copies, demand, slowdowns).run(
        max_per_rank=per_rank,
        max_per_set=engine.copies_per_set,
        min_gain=MIN_COPY_GAIN,
    )
    return copies.with_changes(changes)


def plan_by_size(
    copies: ExpertCopies,
    demand: FloatArray,
    slowdowns: FloatArray,
    engine: EngineModel,
    link_bits_per_s: float,
) -> ExpertCopies:
    """Plan as `MapCoordinator` does."""
    return plan_copies(
        copies, demand, slowdowns, engine, link_bits_per_s=link_bits_per_s
    )


WAYS: dict[str, tuple[Plan, type]] = {
    "copies, in turn": (add_copies_only, Turns),
    "copies, sample": (add_copies_only, CountSample),
    "by size, in turn": (plan_by_size, Turns),
    "by size, sample": (plan_by_size, CountSample),
}


class RankCounts:
    """Draw the tokens of each rank, and read counts of them.

    The shape has ranks, sets and experts.
    """

    def __init__(self, seed: int, shape: tuple[int, int, int]) -> None:
        self._rng = np.random.default_rng(seed)
        self._mix = self._draw_mix(shape)
        self._sum = np.zeros(shape, dtype=np.float32)
        self._read = self._sum.copy()

    def tick(self, shares: np.ndarray) -> np.ndarray:
        """Return the shares of the group's tokens in a tick, and count them."""
        ranks = self._mix.shape[0]
        for rank in np.flatnonzero(self._rng.random(ranks) < TICK_S / MIX_S):
            self._mix[rank] = self._draw_mix(self._mix[rank].shape)
        by_rank = shares * self._mix
        by_rank /= by_rank.sum(axis=2, keepdims=True)
        self._sum += by_rank * (TOKENS_PER_S * TICK_S / ranks)
        return by_rank.mean(axis=0).astype(float)

    def read(self, ranks: Sequence[int], usable: Sequence[int]) -> np.ndarray:
        """Return the counts of the usable ranks since each was read."""
        total = np.zeros(self._sum.shape[1:])
        for rank in ranks:
            new = self._rng.poisson(self._sum[rank] - self._read[rank])
            self._read[rank] = self._sum[rank]
            if rank in usable:
                unit = max(1.0, new.max() / MAX_COUNT)
                total += np.rint(new / unit) * unit
        return total

    def _draw_mix(self, shape: tuple[int, ...]) -> np.ndarray:
        return self._rng.lognormal(0.0, MIX_SIGMA, shape).astype(np.float32)


@dataclass(slots=True)
class Figures:
    """Hold what a play measured; skews by tick, times in seconds."""

    skews: list[float]
    shifted: list[float]
    settled: list[float]
    bounds: list[float]
    plan_s: list[float]
    copies: list[int]


Task = tuple[int, float, str, str, int, int, float]


def play(task: Task) -> Figures:
    """Play one way of planning over shifts of demand."""
    ranks, link, way, tail, seed, shifts, skew_gain = task
    engine = GROUPS[ranks]
    plan, sampler = WAYS[way]
    sample = sampler()
    sizes = {"sets": engine.layer_sets, "ranks": ranks, "experts": engine.experts}
    world = ShiftingDemand(seed, **sizes, tail=TAILS[tail])
    counts = RankCounts(seed + 1000, (ranks, engine.layer_sets, engine.experts))
    copies = ExpertCopies.round_robin(
        engine.layer_sets, ranks, engine.experts, engine.expert_slots
    )
    count_bytes = engine.layer_sets * engine.experts
    max_ranks = max(1, int(LINK_SHARE * link / 8.0 * INTERVAL_S / count_bytes))
    demand, figures = Demand(), Figures([], [], [], [], [], [])
    planned, copied_at, switched_at = None, 0.0, 0.0
    ticks = round(SHIFT_S / TICK_S)
    for tick in range(shifts * ticks):
        now = tick * TICK_S
        if tick and tick % ticks == 0:
            world.shift()
        if planned is not None and now >= switched_at:
            copies, planned = planned, None
        if tick and tick % READ_TICKS == 0:
            read = counts.read(*sample.take(range(ranks), max_ranks))
            if read.any():
                demand.add(read, now)
        shares = counts.tick(world.shares)
        if planned is None and demand.ready:
            started = time.thread_time()
            new = plan(copies, demand.shares, world.slowdowns, engine, link)
            figures.plan_s.append(time.thread_time() - started)
            gain = copies.skew(demand.shares, world.slowdowns) - new.skew(
                demand.shares, world.slowdowns
            )
            if gain >= skew_gain:
                got = new.held & ~copies.held
                order = (
                    pack_changes(copies.lists(), new.lists())
                    if figures.copies
                    else pack_map(new.lists())
                )
                copied_at = now + 8.0 * len(order) * ranks / link
                copied_at += float(got.sum(axis=(0, 2)).max()) * engine.expert_copy_s
                planned, switched_at = new, copied_at + SWITCH_S
                figures.copies.append(int(got.sum()))
        skew = copies.skew(shares, world.slowdowns)
        figures.skews.append(skew * (COPY_SLOWDOWN if now < copied_at else 1.0))
        if tick % ticks == 0:
            figures.shifted.append(skew)
        if tick % ticks == ticks - 1:
            figures.settled.append(skew)
            figures.bounds.append(
                skew_bound(shares, world.slowdowns, engine.expert_slots)
            )
    return figures


def main(_: list[str]) -> None:
    """Print the table."""
    print(
        "| ranks x slots | demand | Mbit/s | way | skew after a shift | over time "
        "| settled | bound | plans a shift | copies a plan | plan ms p50, p99 |"
    )
    print("|" + " --- |" * 11)
    cases = [
        (ranks, tail, link, way)
        for ranks in GROUPS
        for tail in TAILS
        for link in LINKS
        for way in WAYS
        if not (ranks == 12 and (link == LINKS[0] or way not in list(WAYS)[::3]))
        and not (link == LINKS[1] and way in list(WAYS)[1:3])
    ]
    with ProcessPoolExecutor(FLAGS.processes) as pool:
        for ranks, tail, link, way in cases:
            tasks = [
                (ranks, link, way, tail, seed, FLAGS.shifts, FLAGS.skew_gain)
                for seed in range(FLAGS.seeds)
            ]
            _print_row(ranks, tail, link, way, list(pool.map(play, tasks)))


def _print_row(
    ranks: int, tail: str, link: float, way: str, plays: list[Figures]
) -> None:
    plan_ms = 1000.0 * np.concatenate([figures.plan_s for figures in plays])
    copies = [count for figures in plays for count in figures.copies]
    plans = len(copies) / (len(plays) * FLAGS.shifts)
    cells = [
        f"{ranks} x {GROUPS[ranks].expert_slots}",
        tail,
        f"{link / 1e6:.0f}",
        way,
        *(
            f"{np.mean([getattr(figures, name) for figures in plays]):.2f}"
            for name in ("shifted", "skews", "settled", "bounds")
        ),
        f"{plans:.1f}",
        f"{np.mean(copies):.0f}",
        f"{np.median(plan_ms):.1f}, {np.quantile(plan_ms, 0.99):.1f}",
    ]
    print("| " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    app.run(main)

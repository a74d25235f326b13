"""Tests of the search for placements on ranks with few slots, through shifts."""

import time
from dataclasses import dataclass

import numpy as np
import pytest

from bench.skew_bound import skew_bound
from standins.expert_demand import HEAVY_TAIL, ShiftingDemand
from toucanspool.groups.copies import ExpertCopies
from toucanspool.groups.demand import Demand
from toucanspool.groups.few_slots.slot_search import SlotSearch

READ_S = 0.2
READS_PER_PLAN = 3
PLANS_PER_SHIFT = 6
MIN_SKEW_GAIN = 0.1
MAX_PLAN_S = 0.02
SHIFTS = 4


@dataclass(frozen=True)
class Size:
    """Sizes of a group, the copies of a rank in 0.15 s, and the aim for its skew."""

    ranks: int
    experts: int
    slots: int
    max_per_rank: int
    aim: float
    sets: int = 12
    max_per_set: int = 2


SIZES = [Size(72, 144, 3, 26, 1.5), Size(32, 128, 5, 4, 1.3)]


def plan(size: Size, copies: ExpertCopies, demand, slowdowns) -> ExpertCopies:
    return SlotSearch(copies, demand, slowdowns).run(
        max_per_rank=size.max_per_rank, max_per_set=size.max_per_set
    )


def first_copies(size: Size) -> ExpertCopies:
    return ExpertCopies.round_robin(size.sets, size.ranks, size.experts, size.slots)


def sampled(size: Size, seed: int, **options) -> ShiftingDemand:
    return ShiftingDemand(
        seed, sets=size.sets, ranks=size.ranks, experts=size.experts, **options
    )


@pytest.mark.parametrize("size", SIZES, ids=lambda size: f"{size.ranks} ranks")
@pytest.mark.parametrize("seed", range(2))
def test_the_mean_skew_settles_within_the_aim_through_shifts(size, seed):
    """Guards against a search that adds copies only and ends in a poor placement."""
    world = sampled(size, seed, tail=HEAVY_TAIL)
    copies, demand = first_copies(size), Demand()
    settled, bounds = [], []
    for read in range(SHIFTS * PLANS_PER_SHIFT * READS_PER_PLAN):
        if read and read % (PLANS_PER_SHIFT * READS_PER_PLAN) == 0:
            settled.append(copies.skew(world.shares, world.slowdowns))
            bounds.append(skew_bound(world.shares, world.slowdowns, size.slots))
            world.shift()
        demand.add(world.counts(world.shares), read * READ_S)
        if read % READS_PER_PLAN == 0:
            planned = plan(size, copies, demand.shares, world.slowdowns)
            gain = copies.skew(demand.shares, world.slowdowns) - planned.skew(
                demand.shares, world.slowdowns
            )
            copies = planned if gain >= MIN_SKEW_GAIN else copies
    assert np.mean(bounds) <= size.aim, "the drawn demand does not allow the aim"
    assert np.mean(settled) <= size.aim


@pytest.mark.parametrize("size", SIZES, ids=lambda size: f"{size.ranks} ranks")
@pytest.mark.parametrize("seed", range(3))
def test_a_plan_is_within_what_ranks_can_copy(size, seed):
    """Guards against orders that engines refuse, and against experts without a copy."""
    world, copies = sampled(size, seed), first_copies(size)
    for _ in range(4):
        planned = plan(size, copies, world.shares, world.slowdowns)
        got = planned.held & ~copies.held
        assert got.sum(axis=2).max() <= size.max_per_set
        assert got.sum(axis=(0, 2)).max() <= size.max_per_rank
        assert planned.held.any(axis=1).all()
        assert planned.held.sum(axis=2).max() <= size.slots
        copies = planned
        world.shift()


@pytest.mark.parametrize("size", SIZES, ids=lambda size: f"{size.ranks} ranks")
def test_all_sets_are_planned_in_time(size):
    """Guards against a plan that keeps the coordinator from its other ranks."""
    copies = first_copies(size)
    for seed in range(3):
        world = sampled(size, seed, tail=HEAVY_TAIL)
        took_s = []
        for _ in range(5):
            started = time.thread_time()
            plan(size, copies, world.shares, world.slowdowns)
            took_s.append(time.thread_time() - started)
        # The best of some runs, since other processes share the processor's caches.
        assert min(took_s) <= MAX_PLAN_S


@pytest.mark.parametrize("size", SIZES, ids=lambda size: f"{size.ranks} ranks")
@pytest.mark.parametrize("seed", range(3))
def test_a_slow_rank_gives_its_work_to_the_others(size, seed):
    """Guards against a whole group that waits for one slow rank."""
    world, copies = sampled(size, seed), first_copies(size)
    slowdowns = np.ones(size.ranks)
    slowdowns[2] = 5.0
    for _ in range(6):
        copies = plan(size, copies, world.shares, slowdowns)
    assert copies.skew(world.shares, slowdowns) <= size.aim
    assert copies.loads(world.shares)[:, 2].mean() <= size.aim / 5.0


def test_even_demand_is_left_alone():
    size = SIZES[0]
    even = np.full((size.sets, size.experts), 1.0 / size.experts)
    planned = plan(size, first_copies(size), even, np.ones(size.ranks))
    assert np.array_equal(planned.held, first_copies(size).held)


def test_a_set_without_counts_is_left_alone():
    """Guards against moves by times that are no numbers."""
    size = SIZES[1]
    world, copies = sampled(size, 1), first_copies(size)
    demand = world.shares.copy()
    demand[3] = 0.0
    with np.errstate(all="raise"):
        planned = plan(size, copies, demand, world.slowdowns)
    changed = (planned.held != copies.held).any(axis=(1, 2))
    assert not changed[3]
    assert changed.sum() == size.sets - 1


def test_experts_are_exchanged_where_no_slot_is_spare():
    """Guards against a search that needs empty slots or dropped copies."""
    size = Size(ranks=8, experts=32, slots=4, max_per_rank=24, aim=1.5)
    rng = np.random.default_rng(1)
    # No expert has more than a rank's mean load, so that exchanges can even it out.
    demand = rng.uniform(0.2, 1.0, (size.sets, size.experts))
    demand = np.sort(demand / demand.sum(axis=1, keepdims=True), axis=1)
    copies = ExpertCopies.round_robin(size.sets, 8, 32, 4)
    copies.held[:] = np.repeat(np.eye(8, dtype=bool), 4, axis=1)
    for _ in range(4):
        copies = plan(size, copies, demand, np.ones(8))
    assert (copies.held.sum(axis=1) == 1).all()
    assert copies.skew(demand, np.ones(8)) <= 1.1


def test_dear_copies_are_made_only_for_much_gain():
    """Guards against long orders over a slow link for little gain."""
    size = SIZES[0]
    world, copies = sampled(size, 1), first_copies(size)
    by_price = []
    for price in (0.0, 0.02, 0.1, 100.0):
        planned = SlotSearch(copies, world.shares, world.slowdowns).run(
            max_per_rank=size.max_per_rank, max_per_set=2, copy_price=price
        )
        by_price.append(int((planned.held & ~copies.held).sum()))
    assert by_price == sorted(by_price, reverse=True)
    assert by_price[-1] == 0

"""Switches of a busy group whose ranks all work, at the sizes of groups in use."""

import itertools
import random
from dataclasses import dataclass

import pytest

from tests.groups.order_machines import MODEL, model_of
from tests.groups.order_processes import started
from tests.groups.order_world import World

LINK_BITS_PER_S = 8e6
LATENCY_RANGE_S = (0.0002, 0.0015)
HANDLING_S = 0.0005
SHIFT_S = 1.3
DURATION_S = 7.0
# The longest pause of a stream that is on time, and the time that a stream takes.
GAP_TARGET_S = 0.12
STREAM_S = 2.0


@dataclass(slots=True, frozen=True)
class Size:
    """Number of ranks, and the time of a pass in seconds."""

    ranks: int
    pass_s: float


SIZES = (Size(12, 0.018), Size(32, 0.03), Size(72, 0.043), Size(128, 0.04))


def play_shifts(size: Size) -> World:
    """Play a group in which other experts are in demand again and again."""
    experts = 2 * size.ranks
    world = World(
        random.Random(size.ranks),
        lag_s=(0.0, 0.0),
        tick_s=size.pass_s,
        ranks=size.ranks,
        model=model_of(MODEL, layer_sets=12, experts=experts, expert_slots=3),
        latency_range_s=LATENCY_RANGE_S,
        link_bits_per_s=LINK_BITS_PER_S,
        handling_s=HANDLING_S,
    )
    with started(world):
        for count in range(int(DURATION_S / SHIFT_S)):
            hot = world.rng.randrange(experts)
            world.later(count * SHIFT_S, setattr, world, "hot", hot)
        world.run(DURATION_S)
    assert not world.errors
    return world


def late_share(world: World) -> float:
    """Return the share of late streams, if one begins with each pass."""
    gaps = [(a, b - a) for a, b in itertools.pairwise(world.pass_starts)]
    late_at = [at for at, gap in gaps if gap > GAP_TARGET_S]
    begins = [at for at, _ in gaps]
    late = sum(any(at <= late < at + STREAM_S for late in late_at) for at in begins)
    return late / len(begins)


@pytest.mark.parametrize("size", SIZES, ids=lambda size: f"{size.ranks} ranks")
def test_a_switch_does_not_hold_a_group_whose_ranks_all_work(size):
    world = play_shifts(size)
    assert sum("ranks switch" in line for line in world.trace) >= 4
    assert world.held_ticks == 0
    assert late_share(world) == 0.0

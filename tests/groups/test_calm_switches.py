"""Switches of a busy group whose ranks all work, at the sizes of groups in use."""

import itertools
import random
from dataclasses import dataclass
from functools import partial

import pytest

from tests.groups.order_machines import MODEL, model_of
from tests.groups.order_processes import started
from tests.groups.order_world import World
from toucanspool.groups.map_coordinator import MAX_STATE_LAG_S

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


def make_world(size: Size) -> World:
    return World(
        random.Random(size.ranks),
        lag_s=(0.0, 0.0),
        tick_s=size.pass_s,
        ranks=size.ranks,
        model=model_of(MODEL, layer_sets=12, experts=2 * size.ranks, expert_slots=3),
        latency_range_s=LATENCY_RANGE_S,
        link_bits_per_s=LINK_BITS_PER_S,
        handling_s=HANDLING_S,
    )


def play_shifts(world: World) -> None:
    """Play a group in which other experts are in demand again and again."""
    with started(world):
        for count in range(int(DURATION_S / SHIFT_S)):
            hot = world.rng.randrange(world.model.experts)
            world.later(count * SHIFT_S, setattr, world, "hot", hot)
        world.run(DURATION_S)
    assert not world.errors


def late_share(world: World) -> float:
    """Return the share of late streams, if one begins with each pass."""
    gaps = [(a, b - a) for a, b in itertools.pairwise(world.pass_starts)]
    late_at = [at for at, gap in gaps if gap > GAP_TARGET_S]
    begins = [at for at, _ in gaps]
    late = sum(any(at <= late < at + STREAM_S for late in late_at) for at in begins)
    return late / len(begins)


@pytest.mark.parametrize("size", SIZES, ids=lambda size: f"{size.ranks} ranks")
def test_a_switch_does_not_hold_a_group_whose_ranks_all_work(size):
    world = make_world(size)
    play_shifts(world)
    assert sum("ranks switch" in line for line in world.trace) >= 4
    assert world.held_ticks == 0
    assert late_share(world) == 0.0


@pytest.mark.parametrize(
    ("order", "delay_s"), [("prepare", 0.02), ("go", 0.005), ("go", 0.05)]
)
def test_a_late_hold_is_released_sooner_than_states_are_told_late(order, delay_s):
    world = make_world(Size(12, 0.018))
    held_at = []

    def hold() -> None:
        held_at.append(world.now)
        world.group.execute(5, "hold", (world.group.step + 1,))

    # During the preparation of a switch, or after its end.
    world.later(3.0, world.after_orders, 1, partial(world.later, delay_s, hold), order)
    play_shifts(world)
    begins = [at for at in world.pass_starts if at > held_at[0] + world.tick_s]
    assert begins[0] - held_at[0] < MAX_STATE_LAG_S

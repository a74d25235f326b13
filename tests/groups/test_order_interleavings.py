"""Interleavings of orders, lateness, freezes and elections that could mix maps."""

import os
import random
from collections import Counter
from collections.abc import Iterable
from contextlib import suppress
from functools import partial

import gevent
import numpy as np
import pytest

from standins.pass_group import (
    COUNTS_ALL,
    COUNTS_NONE,
    COUNTS_PREPARE,
    GROUP,
    PassGroup,
)
from tests.groups.order_engine import OrderFaults
from tests.groups.order_machines import EXPERTS, MODEL, RANKS, SLOTS, Machine
from tests.groups.order_processes import started
from tests.groups.order_world import World
from toucanspool.groups.armed_switch import ArmedSwitch
from toucanspool.groups.expert_map import EMPTY
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.group_client import GroupClient, Replaced
from toucanspool.groups.map_coordinator import MapCoordinator
from toucanspool.groups.rank_calls import LocalLink, NoAnswer, RankLink
from toucanspool.wire.gen.messages.ttypes import RankAnswer, RankAsk

# A number of seeds, or FIRST:LAST without the last.
FIRST, _, LAST = os.environ.get("ORDER_SEEDS", "0:24").rpartition(":")
SEEDS = range(int(FIRST or 0), int(LAST))
# Seeds with which a pass began on two maps.
FAILED_SEEDS = (64, 79, 160, 263)
FAULTS_S = 8.0
# Late orders are executed by then, and a coordinator is elected.
RECOVERY_S = 5.5
CALM_S = 2.0
MAX_LATE_S = 3.0


def play_faults(world: World) -> None:
    """Choose faults until `FAULTS_S`, most of them at an order, and schedule them."""
    rng = world.rng
    for _ in range(rng.choice((2, 4, 8))):
        world.fault(rng.uniform(1.0, FAULTS_S - 2.0), rng.choice(PATTERNS), world)
    shift_s = rng.choice((0.3, 0.6, 1.5))
    for count in range(int(FAULTS_S / shift_s)):
        hot = rng.randrange(EXPERTS)
        world.later(count * shift_s, setattr, world, "hot", hot)
    for count, hot in enumerate(rng.sample(range(EXPERTS), 4)):
        at = FAULTS_S + RECOVERY_S + CALM_S * count / 4
        world.later(at, setattr, world, "hot", hot)


def _lose_while_idle(world: World) -> None:
    """Lose orders in an idle group, so that a switch tries the same pass again."""
    rng = world.rng
    for_s = rng.uniform(0.5, 3.0)

    def begin() -> None:
        _lose(world, for_s=for_s + rng.uniform(-0.5, 0.5), ranks=range(RANKS))
        world.fault(rng.uniform(0.0, 0.2), _idle, world, for_s)

    world.after_orders(1, begin, name=rng.choice(("prepare", "hold", "arm")))


def _freeze_and_lose(world: World) -> None:
    """Freeze a coordinator, and wake it while its successor switches."""
    rng = world.rng
    name = rng.choice(("prepare", "hold", "arm", "go", ""))

    def freeze() -> None:
        machine = _machine(world)
        machine.freeze(engine=rng.random() < 0.2)
        world.later(_for_s(world, 4.0) + 0.5, machine.wake)
        wake_at, count = rng.choice(("hold", "arm", "go", "prepare")), rng.randint(1, 5)
        wake = partial(world.after_orders, count, machine.wake, name=wake_at)
        world.fault(rng.uniform(0.0, 1.5), wake)
        if rng.random() < 0.5:
            world.fault(rng.uniform(0.0, 0.5), _stand, world)
        if rng.random() < 0.7:
            world.fault(rng.uniform(0.1, 1.5), _lose, world)

    world.after_orders(rng.randint(1, 6), freeze, name=name)


def _kill_and_stand(world: World) -> None:
    """Kill an agent, and let another stand for election during a switch."""
    rng = world.rng
    _kill(world)
    for _ in range(rng.randint(1, 3)):
        name = rng.choice(("prepare", "hold", "arm", "go"))
        world.after_orders(rng.randint(1, 12), partial(_stand, world), name=name)


def _mixture(world: World) -> None:
    rng, at_order = world.rng, 0
    for _ in range(rng.choice((2, 4, 8))):
        at_order += rng.choice((rng.randint(1, 6), rng.randint(1, 30)))
        fault = rng.choice((_freeze, _freeze, _kill, _stand, _stand, _lose, _idle))
        world.after_orders(at_order, partial(fault, world))


def _for_s(world: World, longest_s: float) -> float:
    return world.rng.uniform(0.05, longest_s)


def _machine(world: World) -> Machine:
    coordinators = [m for m in world.machines if m.coordinates]
    if coordinators and world.rng.random() < 0.6:
        return world.rng.choice(coordinators)
    return world.rng.choice(world.machines)


def _freeze(world: World) -> None:
    machine, rng = _machine(world), world.rng
    machine.freeze(engine=rng.random() < 0.25)
    world.later(_for_s(world, 4.0), machine.wake)
    if rng.random() < 0.7:
        # Wakes while its successor switches.
        count = rng.randint(1, 30)
        world.fault(1.0, lambda: world.after_orders(count, machine.wake))


def _kill(world: World) -> None:
    machine = _machine(world)
    if machine.agent is not None:
        machine.kill()
        world.later(_for_s(world, world.rng.choice((0.2, 4.0))), machine.start)


def _stand(world: World) -> None:
    world.rng.choice(world.machines).stand()


def _lose(
    world: World, *, for_s: float | None = None, ranks: Iterable[int] | None = None
) -> None:
    rng = world.rng
    late_s = rng.choice((0.1, 0.5, 1.0, 2.0, MAX_LATE_S))
    faults = OrderFaults(
        lost=rng.choice((0.0, 0.0, 0.1, 0.2)),
        late=rng.choice((0.1, 0.2, 0.35, 0.5)),
        late_s=(rng.choice((0.0, late_s)), late_s),
    )
    if ranks is None:
        ranks = rng.sample(range(RANKS), rng.randint(1, RANKS))
    for_s = _for_s(world, 4.0) if for_s is None else for_s
    for rank in ranks:
        world.faults[rank] = faults
        world.later(max(0.0, for_s), world.faults.__setitem__, rank, OrderFaults())


def _idle(world: World, for_s: float | None = None) -> None:
    world.busy = False
    for_s = _for_s(world, 2.0) if for_s is None else for_s
    world.later(for_s, setattr, world, "busy", True)


PATTERNS = (_lose_while_idle, _freeze_and_lose, _kill_and_stand, _mixture)


@pytest.mark.parametrize("seed", [*FAILED_SEEDS, *SEEDS])
def test_no_interleaving_mixes_maps(seed):
    rng = random.Random(seed)
    counted = (COUNTS_NONE, COUNTS_ALL, COUNTS_PREPARE)[seed % 3]
    world = World(
        rng,
        lag_s=(0.0, rng.choice((0.0, 0.2, 0.5))),
        counted=counted,
        disarms_any=rng.random() < 0.3,
        # Below zero, each round of a coordinator changes the map.
        min_skew_gain=rng.choice((0.02, -1.0)),
    )
    play_faults(world)
    with started(world):
        world.run(FAULTS_S)
        world.end_faults()
        world.run(RECOVERY_S)
        step, maps = world.group.step, {row.map for row in world.group.rows}
        world.run(CALM_S)
        after = {row.map for row in world.group.rows}
        assert world.group.step > step
        assert len(after) == 1
        assert after != maps, "no switch succeeded after the faults"
        assert not world.group.reused
        assert not world.errors


def recover(world: World) -> None:
    """Let all faults end, and check that the group switches again."""
    world.end_faults()
    world.run(3.0)
    maps = {row.map for row in world.group.rows}
    world.hot = (world.hot + 5) % EXPERTS
    world.run(4.0)
    after = {row.map for row in world.group.rows}
    assert len(after) == 1
    assert after != maps


def test_a_late_go_does_not_release_a_later_hold_of_the_same_pass():
    world = World(random.Random(1), lag_s=(0.0, 0.0), counted=COUNTS_NONE)
    sent: Counter[str] = Counter()
    late: dict[str, tuple[int, tuple]] = {}

    def execute(name: str) -> None:
        rank, args = late.pop(name)
        world.group.execute(rank, name, args)
        world.note(f"late {name} of rank {rank} executed")

    def fate(rank: int, name: str, args: tuple) -> tuple[str, float]:
        sent[name] += 1
        if (name == "hold" and sent[name] <= 3) or (name == "go" and sent[name] == 1):
            late.setdefault(name, (rank, args))
            return "lost", 0.0
        if name == "prepare" and sent["hold"] == 3 and "hold" in late:
            execute("hold")
        if name == "arm" and rank == 3 and sent["go"]:
            sent["arm of rank 3"] += 1
            if sent["arm of rank 3"] == 4:
                execute("go")
                world.busy = True
            return "lost", 0.0
        return "", 0.0

    with started(world):
        world.run(2.0)
        world.busy = False
        world.fate = fate
        world.hot = 5
        world.run(4.0)
        recover(world)


def test_a_replaced_coordinator_that_wakes_does_not_release_a_hold():
    world = World(
        random.Random(1), lag_s=(0.0, 0.0), timeouts_first=1.0, counted=COUNTS_NONE
    )
    first, second = world.machines[0], world.machines[2]

    def fate(rank: int, name: str, args: tuple) -> tuple[str, float]:
        return ("lost", 0.0) if name == "arm" and rank == 1 else ("", 0.0)

    def freeze() -> None:
        first.freeze(engine=False)
        world.later(0.1, second.stand)
        world.later(0.2, setattr, world, "fate", fate)
        world.later(0.2, world.after_orders, 2, first.wake)

    with started(world):
        world.run(2.0)
        world.hot = 5
        world.after_orders(4, freeze, name="prepare")
        world.run(4.0)
        recover(world)


def test_a_new_coordinator_does_not_undo_a_switch_by_a_state_told_late():
    world = World(random.Random(1), lag_s=(0.4, 0.4), tick_s=0.4, counted=COUNTS_NONE)
    successor = world.machines[2]

    def wake(rank: int, name: str, args: tuple) -> tuple[str, float]:
        if name == "go":
            successor.wake()
        return "", 0.0

    with started(world):
        world.run(2.0)
        world.machines[3].kill()
        world.run(1.0)
        successor.freeze(engine=False)
        world.run(1.5)
        world.fate = wake
        world.hot = 5
        world.run(4.0)
        recover(world)


def test_a_hold_seen_during_preparation_is_not_released_while_a_rank_is_armed():
    # The agent of rank 1 is away, so that only the other agents check tokens.
    world = World(random.Random(1), lag_s=(0.0, 0.0), counted=COUNTS_NONE)
    first, second = world.machines[0], world.machines[2]
    lost: list[int] = []

    def wake(rank: int, name: str, args: tuple) -> tuple[str, float]:
        if name == "prepare" and rank == 1 and not lost:
            lost.append(rank)
            first.wake()
            return "lost", 0.0
        return "", 0.0

    def freeze() -> None:
        first.freeze(engine=False)
        second.stand()
        world.fate = wake

    with started(world):
        world.run(2.0)
        world.machines[1].kill()
        world.run(1.0)
        world.hot = 5
        world.after_orders(1, freeze, name="hold")
        world.run(6.0)
        recover(world)


def test_a_replaced_coordinator_does_not_choose_a_version_of_its_successor():
    group = PassGroup(RANKS, random.Random(1))
    agents, engines = {}, {}
    for rank in range(RANKS):
        agents[rank] = LocalLink(FencedEngine(group.engine(rank)))
        engines[rank] = FencedEngine(group.engine(rank), local=False)
        engines[rank].restore(0)
    newer = GroupClient(GROUP, 2, agents)
    older = GroupClient(GROUP, 1, {r: LocalLink(e) for r, e in engines.items()})
    switch = ArmedSwitch(newer, 1, range(RANKS), 0)
    for row in group.rows:
        row.prepared = (switch.next_version(newer.fetch_statuses()), b"")
    chosen = switch.next_version(newer.fetch_statuses())
    with suppress(Replaced):
        switch = ArmedSwitch(older, 1, range(RANKS), 0)
        assert switch.next_version(older.fetch_statuses()) != chosen


class _Away:
    """Link to a rank whose machine is away."""

    def send(self, request: RankAsk, *, transfer_s: float = 0.0) -> RankAnswer:
        """Raise `NoAnswer`."""
        raise NoAnswer("away")

    send_to_engine = send


def test_a_group_stays_held_while_a_rank_away_may_be_armed_by_an_earlier_coordinator():
    # Coordinator 1 on rank 1 armed the others; coordinator 2 on rank 0 did nothing.
    group = PassGroup(RANKS, random.Random(1))
    links: dict[int, RankLink] = {0: _Away()}
    version, step = 1 << 20, group.step + 2
    for rank, row in enumerate(group.rows):
        row.counts = np.ones((1, EXPERTS), dtype=int)
        row.prepared, row.newest = (version, b""), version
        row.armed = None if rank == 1 else (version, step)
        row.held = step if rank == 1 else None
        agent = FencedEngine(group.engine(rank))
        agent.restore(2)
        links.setdefault(rank, LocalLink(agent))
    coordinator = MapCoordinator(
        GROUP, 3, 2, lambda: MODEL, link_bits_per_s=1e9, previous_rank=0
    )

    def tick() -> None:
        while True:
            group.tick()
            gevent.sleep(0.01)

    ticking = gevent.spawn(tick)
    for _ in range(3):
        coordinator.run_once(links)
        gevent.sleep(0.05)
    ticking.kill()
    assert not group.mixed


@pytest.mark.parametrize("split", [1, 2, 3])
@pytest.mark.parametrize("busy", [True, False])
def test_a_group_on_two_maps_is_brought_back_to_one(split, busy):
    world = World(random.Random(split), counted=COUNTS_NONE)
    world.strict = False
    lists = np.full((1, RANKS, SLOTS), EMPTY, dtype=np.int16)
    lists[0, :, :4] = np.arange(EXPERTS).reshape(4, RANKS).T
    other = lists.copy()
    other[0, :, 4] = (lists[0, :, 0] + 1) % EXPERTS
    for rank, row in enumerate(world.group.rows):
        row.map = (5, lists.tobytes()) if rank < split else (7, other.tobytes())
        row.newest = 7
    world.keep_states()
    world.busy = busy
    with started(world):
        world.run(6.0)
        world.busy = True
        world.run(2.0)
        assert len({row.map for row in world.group.rows}) == 1
        world.strict = True
        recover(world)

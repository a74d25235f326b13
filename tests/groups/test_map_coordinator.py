"""A coordinator that follows demand, and mends what another left."""

import random
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
import numpy as np
import pytest

from standins.pass_group import GROUP, PassGroup
from tests.limits.test_adaptive_limit import ENGINE
from toucanspool.groups import armed_switch, map_coordinator
from toucanspool.groups.map_coordinator import MapCoordinator
from toucanspool.groups.rank_calls import AskLost
from toucanspool.groups.rank_engine import NONE
from toucanspool.groups.rank_keeper import RankKeeper
from toucanspool.routing.routes import EngineModel
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAnswer, RankAsk

RANKS, EXPERTS, PLACES = 4, 16, 6
MODEL = EngineModel(
    **{
        **{name: getattr(ENGINE, name) for name in EngineModel.__slots__},
        "layer_sets": 1,
        "experts": EXPERTS,
        "places": PLACES,
        "copies_per_set": 4,
        "expert_copy_s": 0.01,
    }
)
HOT = 3


class Link:
    """Ask a keeper unless its machine is away."""

    def __init__(self, keeper: RankKeeper) -> None:
        self._keeper = keeper
        self.away = False
        self.asked: list[int] = []

    def ask(self, ask: RankAsk) -> RankAnswer:
        """Return the keeper's answer."""
        gevent.sleep(0)
        self.asked.append(ask.action)
        if self.away:
            raise AskLost("away")
        return self._keeper.answer(ask)

    ask_engine = ask


@pytest.fixture(autouse=True)
def _short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(armed_switch, "POLL_S", 0.001)
    monkeypatch.setattr(armed_switch, "UNDO_PAUSE_S", 0.001)


class World:
    """Hold a busy group with its agents.

    Attributes
    ----------
    group : PassGroup
        The group.
    links : dict of int to Link
        One for each rank.
    """

    def __init__(self) -> None:
        self.group = PassGroup(RANKS, random.Random(1))
        for row in self.group.rows:
            row.counts = np.ones((1, EXPERTS), dtype=int)
        self.links = {}
        for rank in range(RANKS):
            keeper = RankKeeper(self.group.engine(rank))
            keeper.restore(0)
            self.links[rank] = Link(keeper)

    def coordinator(self, token: int, own: int, **more: int) -> MapCoordinator:
        """Return a coordinator with a token."""
        options = {"link_bits_per_s": 1e9, **more}
        return MapCoordinator(GROUP, token, own, lambda: MODEL, **options)

    def demand(self, hot: int) -> None:
        """Let all ranks choose an expert often."""
        for row in self.group.rows:
            row.counts = row.counts + 100
            row.counts[0, hot] += 3000

    def holders(self, expert: int) -> int:
        """Return how many ranks hold an expert."""
        lists = [self.group.engine(rank).experts()[0] for rank in range(RANKS)]
        return sum(expert in experts for experts in lists)


@contextmanager
def busy(world: World, *, pass_s: float = 0.001) -> Iterator[None]:
    def tick() -> None:
        while True:
            world.group.tick()
            gevent.sleep(pass_s)

    task = gevent.spawn(tick)
    try:
        yield
        if task.exception is not None:
            raise task.exception
    finally:
        task.kill()


def test_a_hot_expert_gets_copies():
    world = World()
    coordinator = world.coordinator(1, 0)
    with busy(world):
        for _ in range(4):
            coordinator.step(world.links)
            world.demand(HOT)
            gevent.sleep(0.02)
        assert world.holders(HOT) >= 3


def test_counts_are_read_while_copies_are_made(monkeypatch):
    monkeypatch.setattr(map_coordinator, "COUNT_INTERVAL_S", 0.002)
    world = World()
    coordinator = world.coordinator(1, 0)
    with busy(world, pass_s=0.02):
        for _ in range(4):
            coordinator.step(world.links)
            world.demand(HOT)
            gevent.sleep(0.05)
        assert world.holders(HOT) > 1
    asked = world.links[1].asked
    switch = asked[asked.index(RankAction.PREPARE) : asked.index(RankAction.GO)]
    assert RankAction.COUNTS in switch


def test_even_demand_moves_nothing():
    world = World()
    coordinator = world.coordinator(1, 0)
    with busy(world):
        for _ in range(4):
            for row in world.group.rows:
                row.counts = row.counts + 1000
            coordinator.step(world.links)
            gevent.sleep(0.02)
        assert {row.map[0] for row in world.group.rows} == {0}


def test_nothing_is_planned_while_a_rank_is_away():
    world = World()
    coordinator = world.coordinator(1, 0)
    world.links[2].away = True
    with busy(world):
        for _ in range(4):
            world.demand(HOT)
            coordinator.step(world.links)
        assert {row.map[0] for row in world.group.rows} == {0}


def test_a_group_held_by_a_coordinator_whose_machine_is_away_goes_on():
    world = World()
    with busy(world):
        world.group.carry_out(1, "hold", (world.group.step + 2,))
        gevent.sleep(0.02)
        assert world.group.held
        world.links[0].away = True
        world.coordinator(2, 2, rank_before=0).step(world.links)
        assert not world.group.held


def test_a_group_that_may_be_armed_at_a_rank_away_stays_held():
    world = World()
    with busy(world):
        step = world.group.step + 2
        world.group.carry_out(1, "hold", (step,))
        world.links[3].away = True
        world.coordinator(2, 2, rank_before=0).step(world.links)
        gevent.sleep(0.02)
        assert world.group.held


def test_a_successor_reads_the_map_that_it_did_not_make():
    world = World()
    with busy(world):
        first = world.coordinator(1, 0)
        for _ in range(4):
            first.step(world.links)
            world.demand(HOT)
            gevent.sleep(0.02)
        second = world.coordinator(2, 1)
        for _ in range(5):
            second.step(world.links)
            world.demand(HOT + 4)
            gevent.sleep(0.02)
        assert world.holders(HOT + 4) >= 2


def test_a_late_order_to_hold_does_not_stop_the_group_while_copies_are_made():
    world = World()
    coordinator = world.coordinator(1, 0)
    with busy(world):
        coordinator.step(world.links)
        world.demand(HOT)
        gevent.sleep(0.02)
        world.group.carry_out(2, "hold", (world.group.step + 1,))
        coordinator.step(world.links)
        gevent.sleep(0.02)
        assert not world.group.held


def test_a_state_told_late_does_not_undo_a_switch_that_is_let_go():
    world = World()
    coordinator = world.coordinator(1, 0)
    coordinator.step(world.links)
    world.demand(HOT)
    late = world.links[3]
    fresh = late.ask
    with busy(world):
        coordinator.step(world.links)
    told = fresh(RankAsk(action=RankAction.STATUS, group=GROUP, token=1, epoch=1))

    def stale(ask: RankAsk) -> RankAnswer:
        answer = fresh(ask)
        if ask.action in (RankAction.STATUS, RankAction.COUNTS):
            answer.armed, answer.map_version = NONE, told.map_version
        return answer

    for row in world.group.rows:
        row.armed = (row.map[0] + 1, world.group.step + 5)
        row.prepared = (row.map[0] + 1, row.map[1])
    late.ask = stale
    coordinator.step(world.links)
    assert all(row.armed is not None for row in world.group.rows)

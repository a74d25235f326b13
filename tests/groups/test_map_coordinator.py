"""Coordination of a group: rebalancing, and recovery from unfinished switches."""

import random
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import gevent
import numpy as np
import pytest

from standins.pass_group import GROUP, PassGroup
from tests.limits.test_adaptive_limit import ENGINE
from toucanspool.groups import (
    count_reader,
    map_preparation,
    pass_holds,
    version_fence,
)
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.group_client import GroupClient
from toucanspool.groups.hold_gate import MAX_PASSES_AHEAD
from toucanspool.groups.map_coordinator import MapCoordinator
from toucanspool.groups.map_reader import read_copies
from toucanspool.groups.rank_calls import NoAnswer
from toucanspool.groups.rank_engine import UNSET
from toucanspool.groups.rank_member import TAKEOVER_DELAY_S
from toucanspool.routing.routes import EngineModel
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAnswer, RankAsk

RANKS, EXPERTS, EXPERT_SLOTS = 4, 16, 6
MODEL = EngineModel(
    **{
        **{name: getattr(ENGINE, name) for name in EngineModel.__slots__},
        "layer_sets": 1,
        "experts": EXPERTS,
        "expert_slots": EXPERT_SLOTS,
        "copies_per_set": 4,
        "expert_copy_s": 0.01,
    }
)
HOT_EXPERT = 3


class Link:
    """Send requests to a fenced engine unless its machine is unreachable."""

    def __init__(self, engine: FencedEngine) -> None:
        self._engine = engine
        self.unreachable = False
        self.actions: list[int] = []

    def send(self, request: RankAsk, *, transfer_s: float = 0.0) -> RankAnswer:
        """Return the engine's answer, or raise `NoAnswer`."""
        gevent.sleep(0)
        self.actions.append(request.action)
        if self.unreachable:
            raise NoAnswer("unreachable")
        return self._engine.answer(request)


@pytest.fixture(autouse=True)
def _short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(map_preparation, "POLL_INTERVAL_S", 0.001)
    monkeypatch.setattr(pass_holds, "RETRY_INTERVAL_S", 0.001)
    monkeypatch.setattr(version_fence, "RETRY_INTERVAL_S", 0.001)


class World:
    """Hold a busy group and the links to its ranks.

    Attributes
    ----------
    group : PassGroup
        The group.
    links : dict of int to Link
        Links to the ranks, by rank.
    """

    def __init__(self) -> None:
        self.group = PassGroup(RANKS, random.Random(1))
        for row in self.group.rows:
            row.counts = np.ones((1, EXPERTS), dtype=int)
        self.links = {}
        for rank in range(RANKS):
            engine = FencedEngine(self.group.engine(rank))
            engine.restore(0)
            self.links[rank] = Link(engine)
            engine.answer(RankAsk(action=RankAction.STATUS, token=0))
        # Agents that have just started hold only passes further ahead.
        self.group.step += MAX_PASSES_AHEAD

    def coordinator(
        self, token: int, own_rank: int, **overrides: int
    ) -> MapCoordinator:
        """Return a coordinator with a token."""
        options = {"link_bits_per_s": 1e9, **overrides}
        return MapCoordinator(GROUP, token, own_rank, lambda: MODEL, **options)

    def add_demand(self, hot: int) -> None:
        """Add counts to all ranks, most of them for one expert."""
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
            coordinator.run_once(world.links)
            world.add_demand(HOT_EXPERT)
            gevent.sleep(0.02)
        assert world.holders(HOT_EXPERT) >= 3


def test_counts_are_read_while_copies_are_made(monkeypatch):
    monkeypatch.setattr(count_reader, "INTERVAL_S", 0.002)
    # The switch must take longer than the interval between two reads of counts.
    monkeypatch.setattr(map_preparation, "POLL_INTERVAL_S", 0.02)
    world = World()
    coordinator = world.coordinator(1, 0)
    with busy(world, pass_s=0.02):
        for _ in range(4):
            coordinator.run_once(world.links)
            world.add_demand(HOT_EXPERT)
            gevent.sleep(0.05)
        assert world.holders(HOT_EXPERT) > 1
    actions = world.links[1].actions
    switch = actions[actions.index(RankAction.PREPARE) : actions.index(RankAction.GO)]
    assert RankAction.COUNTS in switch


def test_a_switch_that_is_released_has_taken_effect_before_the_next_look():
    """Guards against plans that come a poll later since ranks are still armed."""
    world = World()
    coordinator = world.coordinator(1, 0)
    with busy(world, pass_s=0.03):
        coordinator.run_once(world.links)
        world.add_demand(HOT_EXPERT)
        coordinator.run_once(world.links)
        assert all(row.armed is None for row in world.group.rows)
        assert world.holders(HOT_EXPERT) > 1


def test_even_demand_moves_nothing():
    world = World()
    coordinator = world.coordinator(1, 0)
    with busy(world):
        for _ in range(4):
            for row in world.group.rows:
                row.counts = row.counts + 1000
            coordinator.run_once(world.links)
            gevent.sleep(0.02)
        assert {row.map[0] for row in world.group.rows} == {0}


def test_nothing_is_planned_while_a_rank_is_away():
    world = World()
    coordinator = world.coordinator(1, 0)
    world.links[2].unreachable = True
    with busy(world):
        for _ in range(4):
            world.add_demand(HOT_EXPERT)
            coordinator.run_once(world.links)
        assert {row.map[0] for row in world.group.rows} == {0}


def test_a_group_held_by_a_coordinator_whose_machine_is_away_goes_on():
    world = World()
    with busy(world):
        world.group.execute(1, "hold", (world.group.step + 2,))
        gevent.sleep(0.02)
        assert world.group.held
        world.links[0].unreachable = True
        world.coordinator(2, 2, previous_rank=0).run_once(world.links)
        assert not world.group.held


def test_a_group_that_may_be_armed_at_a_rank_away_stays_held():
    world = World()
    with busy(world):
        step = world.group.step + 2
        world.group.execute(1, "hold", (step,))
        world.links[3].unreachable = True
        world.coordinator(2, 2, previous_rank=0).run_once(world.links)
        gevent.sleep(0.02)
        assert world.group.held


def test_a_successor_reads_the_map_that_it_did_not_make():
    world = World()
    with busy(world):
        first = world.coordinator(1, 0)
        for _ in range(4):
            first.run_once(world.links)
            world.add_demand(HOT_EXPERT)
            gevent.sleep(0.02)
        second = world.coordinator(2, 1)
        for _ in range(5):
            second.run_once(world.links)
            world.add_demand(HOT_EXPERT + 4)
            gevent.sleep(0.02)
        assert world.holders(HOT_EXPERT + 4) >= 2


def test_a_late_order_to_hold_does_not_stop_the_group_while_copies_are_made():
    world = World()
    coordinator = world.coordinator(1, 0)
    with busy(world):
        coordinator.run_once(world.links)
        world.add_demand(HOT_EXPERT)
        gevent.sleep(0.02)
        world.group.execute(2, "hold", (world.group.step + 1,))
        coordinator.run_once(world.links)
        gevent.sleep(0.02)
        assert not world.group.held


def test_a_state_told_late_does_not_undo_a_switch_that_is_let_go():
    world = World()
    coordinator = world.coordinator(1, 0)
    coordinator.run_once(world.links)
    world.add_demand(HOT_EXPERT)
    lagging = world.links[3]
    send_now = lagging.send
    with busy(world):
        coordinator.run_once(world.links)
    current = send_now(RankAsk(action=RankAction.STATUS, group=GROUP, token=1, epoch=1))

    def send_outdated(request: RankAsk, *, transfer_s: float = 0.0) -> RankAnswer:
        answer = send_now(request)
        if request.action in (RankAction.STATUS, RankAction.COUNTS):
            answer.armed, answer.map_version = UNSET, current.map_version
        return answer

    for row in world.group.rows:
        row.armed = (row.map[0] + 1, world.group.step + 5)
        row.prepared = (row.map[0] + 1, row.map[1])
    lagging.send = send_outdated
    coordinator.run_once(world.links)
    assert all(row.armed is not None for row in world.group.rows)


def test_a_new_coordinator_reads_the_map_before_other_ranks_stand_for_election():
    delay_s = 0.02
    group = PassGroup(64, random.Random(1))
    lists = np.arange(64 * 4, dtype=np.int16).reshape(1, 64, 4)
    links = {}
    for rank, row in enumerate(group.rows):
        row.map = (5, lists.tobytes())
        engine = FencedEngine(group.engine(rank))
        engine.restore(0)
        links[rank] = DelayedLink(engine, delay_s)
    client = GroupClient(GROUP, 1, links)
    started = time.monotonic()
    model = replace(MODEL, experts=256, expert_slots=4)
    copies = read_copies(client, client.fetch_statuses(), 5, model)
    assert time.monotonic() - started < TAKEOVER_DELAY_S
    assert (copies.lists() == lists).all()


class DelayedLink:
    """Answer requests after a delay."""

    def __init__(self, engine: FencedEngine, delay_s: float) -> None:
        self._engine = engine
        self._delay_s = delay_s

    def send(self, request: RankAsk, *, transfer_s: float = 0.0) -> RankAnswer:
        """Return the engine's answer after the delay."""
        gevent.sleep(self._delay_s)
        return self._engine.answer(request)

"""Recovery of a switch that others left, with late orders and states told late."""

import random
from collections.abc import Callable
from contextlib import suppress

import gevent
import numpy as np
import pytest

from standins.pass_group import COUNTS_NONE, GROUP, MixedMaps, PassGroup
from tests.groups.order_processes import started
from tests.groups.order_world import World
from toucanspool.groups import pass_holds, version_fence
from toucanspool.groups.armed_switch import ArmedSwitch
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.group_client import GroupChanged, GroupClient, Replaced
from toucanspool.groups.group_state import can_act
from toucanspool.groups.hold_gate import MAX_PASSES_AHEAD
from toucanspool.groups.map_preparation import VersionedMap
from toucanspool.groups.rank_calls import LocalLink, NoAnswer
from toucanspool.groups.rank_engine import UNSET, OrderLost
from toucanspool.groups.version_fence import fence_ranks
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAnswer, RankAsk

RANKS = 4
OLD_MAP = np.arange(RANKS, dtype=np.int16).reshape(1, RANKS, 1)
NEW_MAP = OLD_MAP[:, ::-1].copy()


@pytest.fixture(autouse=True)
def _short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pass_holds, "RETRY_INTERVAL_S", 0.001)
    monkeypatch.setattr(version_fence, "RETRY_INTERVAL_S", 0.001)


class Hooked:
    """Call back before a request is sent; an unreachable rank answers nothing."""

    def __init__(self, engine: FencedEngine) -> None:
        self.engine = engine
        self.unreachable = False
        self.before: Callable[[RankAsk], None] = lambda request: None

    def send(self, request: RankAsk, *, transfer_s: float = 0.0) -> RankAnswer:
        """Send a request; see `RankLink`."""
        gevent.sleep(0)
        if self.unreachable:
            raise NoAnswer("unreachable")
        self.before(request)
        return self.engine.answer(request)


def make_group(size: int = RANKS) -> tuple[PassGroup, list[FencedEngine]]:
    group = PassGroup(size, random.Random(1), counted=COUNTS_NONE)
    agents = [FencedEngine(group.engine(rank)) for rank in range(size)]
    for agent in agents:
        agent.restore(0)
        agent.answer(RankAsk(action=RankAction.STATUS, token=0))
    # New gates hold only passes further ahead.
    for _ in range(MAX_PASSES_AHEAD):
        group.tick()
    return group, agents


def direct(group: PassGroup, rank: int) -> FencedEngine:
    engine = FencedEngine(group.engine(rank), local=False)
    engine.restore(-1)
    return engine


def prepare_all(group: PassGroup, client: GroupClient, version: int) -> None:
    fence_ranks(client, 1, range(len(group.rows)), VersionedMap(version, NEW_MAP), ())
    group.tick(busy=False)


def run_passes(group: PassGroup, count: int = 10) -> None:
    for _ in range(count):
        group.tick()


def test_a_missing_coordinator_that_comes_back_is_not_left_armed():
    group, agents = make_group()
    # The first coordinator, on rank 0, reaches engines directly: its machine was cut
    # off, so that it takes all agents for silent.
    links1 = {rank: Hooked(agents[rank]) for rank in range(RANKS)}
    client1 = GroupClient(GROUP, 1, links1)
    first = ArmedSwitch(client1, 1, range(RANKS), 0)
    version = first.next_version(client1.fetch_statuses())
    prepare_all(group, client1, version)
    holds = first.new_holds()
    step = first._hold(holds)
    # The order to rank 3 is lost, then the machine of rank 0 is cut off.
    first._arm({1, 2}, version, step)
    for rank in (1, 2, 3):
        links1[rank].engine = direct(group, rank)

    def come_back(request: RankAsk) -> None:
        if request.action == RankAction.HOLD:
            links2[3].before = lambda request: None
            # The first coordinator's next round of its loop in `arm_and_release`.
            assert first._arm({3}, version, step)
            assert first._arm({0}, version, step)

    links2 = {rank: Hooked(agents[rank]) for rank in range(RANKS)}
    links2[0].unreachable = True
    links2[3].before = come_back
    client2 = GroupClient(GROUP, 2, links2)
    answers = client2.fetch_statuses()
    assert can_act(answers, 0, 1)
    second = ArmedSwitch(client2, 1, answers, 2)
    with suppress(GroupChanged):
        second.resolve(answers, OLD_MAP)
    run_passes(group)  # MixedMaps: rank 0 alone switches.


@pytest.mark.parametrize("size", [2, 4])
def test_a_resolver_that_finds_one_agent_does_not_hold_an_armed_group_for_ever(size):
    # All ranks are armed and the pass is released, but the machine with the only other
    # agent froze, and its engine told an earlier state, so a switch seems unfinished.
    group, agents = make_group(size)
    links = {rank: Hooked(agents[rank]) for rank in range(size)}
    client = GroupClient(GROUP, 1, links)
    first = ArmedSwitch(client, 1, range(size), 0)
    new = np.arange(size, dtype=np.int16)[::-1].reshape(1, size, 1).copy()
    version = first.next_version(client.fetch_statuses())
    fence_ranks(client, 1, range(size), VersionedMap(version, new), ())
    group.tick(busy=False)
    holds = first.new_holds()
    step = first._hold(holds)
    first._arm(range(1, size), version, step)
    own = size - 1
    # Agents of the other ranks are gone; their engines are reached directly.
    links2 = {rank: Hooked(direct(group, rank)) for rank in range(size)}
    links2[own] = Hooked(agents[own])
    client2 = GroupClient(GROUP, 2, links2)
    told = client2.fetch_statuses()
    # Meanwhile the first coordinator arms its own rank and releases the pass. It takes
    # the agent that knows of its successor for silent.
    links[own].engine = direct(group, own)
    first._arm({0}, version, step)
    first.release(holds)
    second = ArmedSwitch(client2, 1, range(size), own)
    current = np.arange(size, dtype=np.int16).reshape(1, size, 1)
    with gevent.Timeout(1.0, False):
        second.resolve(told, current)
        for _ in range(5):
            run_passes(group, 5)
            answers = client2.fetch_statuses()
            if any(a.held != UNSET for a in answers.values()):
                second.resolve(answers, current)
    run_passes(group, 5)
    assert not group.held, [row.held for row in group.rows]


def test_late_releases_of_a_resolver_do_not_release_holds_of_a_later_one():
    # Idle group. C1 on rank 0 (holder 1) is undone by C2 on rank 2 (holders 3 and 0),
    # C3 on rank 1 (holder 2) uses the same pass number, C4 on rank 0 undoes that.
    group, agents = make_group()

    def make_switch(token: int, own: int) -> tuple[GroupClient, ArmedSwitch]:
        links = {rank: Hooked(agents[rank]) for rank in range(RANKS)}
        client = GroupClient(GROUP, token, links)
        return client, ArmedSwitch(client, 1, range(RANKS), own)

    client1, first = make_switch(1, 0)
    version1 = first.next_version(client1.fetch_statuses())
    prepare_all(group, client1, version1)
    step1 = first._hold(first.new_holds())
    first._arm({1}, version1, step1)  # C1 is killed here.

    client2, second = make_switch(2, 2)
    second.resolve(client2.fetch_statuses(), OLD_MAP)
    # Its first `go` to rank 1 had no answer and was repeated; it is carried out later.

    client3, third = make_switch(3, 1)
    version3 = third.next_version(client3.fetch_statuses())
    prepare_all(group, client3, version3)
    holds3 = third.new_holds()
    step3 = third._hold(holds3)
    assert step3 == step1  # the same name, at rank 2 for the first time
    assert third._arm({0, 2, 3}, version3, step3) and third._arm({1}, version3, step3)
    # C3 sends `go` to rank 2, without an answer, and freezes.

    client4, fourth = make_switch(4, 0)
    answers = client4.fetch_statuses()
    engine = group.engine(0)
    disarm = engine.disarm

    def disarm_then_late_orders(*args: object, **kwargs: object) -> None:
        disarm(*args, **kwargs)
        group.execute(1, "go", (step1,))  # of C2
        group.execute(2, "go", (step3,))  # of C3
        run_passes(group, 3)

    engine.disarm = disarm_then_late_orders
    agents[0]._engine = engine
    with gevent.Timeout(2.0, False):
        fourth.resolve(answers, OLD_MAP)
    assert not group.mixed


def test_a_fence_that_a_rank_never_accepts_ends():
    # The map of a repair may add more experts to a rank than its engine takes.
    group = PassGroup(2, random.Random(1), counted=COUNTS_NONE, spare=1)
    for row in group.rows:
        row.counts = np.ones((1, 4), dtype=int)
    agents = [FencedEngine(group.engine(rank)) for rank in range(2)]
    for agent in agents:
        agent.restore(0)
    client = GroupClient(GROUP, 1, {r: LocalLink(a) for r, a in enumerate(agents)})
    experts = np.array([[[1, 3], [0, 2]]], dtype=np.int16)
    ended = False
    with gevent.Timeout(1.0, False):
        try:
            fence_ranks(client, 1, (0, 1), VersionedMap(1 << 20, experts), ())
        except (GroupChanged, Replaced, OrderLost, NoAnswer):
            ended = True
    assert ended


class CopiedReplies:
    """An engine whose next report may be a late copy of an earlier one.

    Reports use kept connections, see `PlatformEngine` and `JsonClient`.
    """

    def __init__(self, engine) -> None:
        self._engine = engine
        self.copies: list = []

    def __getattr__(self, name: str):
        return getattr(self._engine, name)

    def state(self):
        """Return the state, or a late copy."""
        return self.copies.pop(0) if self.copies else self._engine.state()


def test_a_late_copy_of_a_report_does_not_name_the_held_pass():
    group, agents = make_group()
    links = {rank: Hooked(agents[rank]) for rank in range(RANKS)}
    client = GroupClient(GROUP, 1, links)
    switch = ArmedSwitch(client, 1, range(RANKS), 0)
    earlier = switch.new_holds()
    switch._hold(earlier)
    reported = group.engine(1).state()
    earlier.release()
    version = switch.next_version(client.fetch_statuses())
    prepare_all(group, client, version)
    engine = CopiedReplies(group.engine(1))
    agents[1]._engine = engine
    engine.hold = lambda step, epoch: (  # type: ignore[attr-defined]
        group.engine(1).hold(step, epoch),
        engine.copies.append(reported),
    )
    step = switch._hold(switch.new_holds())
    # The coordinator arms the ranks for the pass that it takes for held.
    assert switch._arm({1, 2}, version, step)
    assert group.rows[1].held == step, (group.rows[1].held, step)


def test_one_state_told_late_does_not_release_a_group_whose_missing_rank_is_armed():
    group, agents = make_group()
    links = {rank: Hooked(agents[rank]) for rank in range(RANKS)}
    client1 = GroupClient(GROUP, 1, links)
    first = ArmedSwitch(client1, 1, range(RANKS), 0)
    version = first.next_version(client1.fetch_statuses())
    prepare_all(group, client1, version)
    step = first._hold(first.new_holds())
    reported = group.engine(3).state()
    assert first._arm({1, 2, 3}, version, step) and first._arm({0}, version, step)
    # The machine of rank 0 freezes. The next report of rank 3 is of before.
    links2 = {rank: Hooked(agents[rank]) for rank in range(RANKS)}
    links2[0].unreachable = True
    engine = CopiedReplies(group.engine(3))
    engine.copies.append(reported)
    agents[3]._engine = engine
    client2 = GroupClient(GROUP, 2, links2)
    answers = client2.fetch_statuses()
    if can_act(answers, 0, 1):
        with suppress(GroupChanged):
            ArmedSwitch(client2, 1, answers, 2).resolve(answers, OLD_MAP)
    with suppress(MixedMaps):
        run_passes(group)
    assert not group.mixed


@pytest.mark.parametrize("size", [2, 3, 4])
def test_holds_of_other_passes_do_not_keep_a_group_held_for_ever(size):
    # Orders to hold that had no answer were carried out at all ranks but one: each
    # attempt of `place_ahead` is at the next rank and may name another pass.
    group, agents = make_group(size)
    links = {rank: Hooked(agents[rank]) for rank in range(size)}
    client = GroupClient(GROUP, 1, links)
    first = ArmedSwitch(client, 1, range(size), 0)
    new = np.arange(size, dtype=np.int16)[::-1].reshape(1, size, 1).copy()
    version = first.next_version(client.fetch_statuses())
    fence_ranks(client, 1, range(size), VersionedMap(version, new), ())
    group.tick(busy=False)
    for rank in range(size - 1):
        client.send(rank, RankAsk(action=RankAction.HOLD_AHEAD, step=1), 1)
    request = RankAsk(action=RankAction.HOLD_AHEAD, step=3)
    step = client.send(size - 1, request, 1).held
    assert step == group.step + 3
    first._arm({size - 1}, version, step)  # The coordinator is killed here.
    current = np.arange(size, dtype=np.int16).reshape(1, size, 1)
    client2 = GroupClient(GROUP, 2, links)
    for _ in range(5):
        answers = client2.fetch_statuses()
        if any(a.held != UNSET or a.armed != UNSET for a in answers.values()):
            ArmedSwitch(client2, 1, range(size), 0).resolve(answers, current)
        run_passes(group, 2)
    assert not group.held, [(row.held, row.armed) for row in group.rows]


def test_an_idle_group_whose_agents_restarted_is_not_told_to_copy_again_and_again():
    world = World(random.Random(1), lag_s=(0.0, 0.0), counted=COUNTS_NONE)
    with started(world):
        world.run(2.0)
        world.busy = False
        for machine in world.machines:
            machine.kill()
            machine.start()
        world.run(2.0)
        world.hot = 5
        sent = len(world.trace)
        world.run(10.0)
        prepared = [line for line in world.trace[sent:] if "('prepare'" in line]
        assert len(prepared) <= 3 * 4, len(prepared)

"""Switch of a group at one pass, with lost orders, late orders and crashes."""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from copy import copy

import gevent
import numpy as np
import pytest

from standins.pass_group import GROUP, PassGroup
from toucanspool.groups import map_preparation, pass_holds, version_fence
from toucanspool.groups.armed_switch import PASSES_AHEAD, ArmedSwitch, SwitchEnd
from toucanspool.groups.expert_map import EMPTY
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.group_client import (
    GroupChanged,
    GroupClient,
    Replaced,
)
from toucanspool.groups.group_state import is_fully_armed
from toucanspool.groups.hold_gate import MAX_PASSES_AHEAD
from toucanspool.groups.map_preparation import VersionedMap
from toucanspool.groups.rank_calls import NoAnswer
from toucanspool.groups.rank_engine import UNSET, OrderLost
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAnswer, RankAsk

NEW_MAP = np.array([[[0, 1], [2, 3], [1, 2]]], dtype=np.int16)
INITIAL_MAP = np.array([[[0, 3], [1, EMPTY], [2, EMPTY]]], dtype=np.int16)
NEW, INITIAL = VersionedMap(1, NEW_MAP), VersionedMap(0, INITIAL_MAP)
LATER = VersionedMap(5 << 20, NEW_MAP)
TICK_S = 0.001
COPY_TIMEOUT_S = 1.0


class CrashingLink:
    """Send requests to a fenced engine until the coordinator crashes."""

    def __init__(self, engine: FencedEngine, crash_point: "CrashPoint") -> None:
        self._engine = engine
        self._crash_point = crash_point

    def send(self, request: RankAsk, *, transfer_s: float = 0.0) -> RankAnswer:
        """Return the engine's answer, or raise `CoordinatorCrashed`."""
        self._crash_point.count()
        gevent.sleep(0)
        return self._engine.answer(request)


class CoordinatorCrashed(Exception):
    """Simulate the crash of a coordinator's process."""


# Exceptions with which a switch may end.
SWITCH_ERRORS = CoordinatorCrashed | Replaced | GroupChanged | NoAnswer


class CrashPoint:
    """Crash a coordinator at its n-th request."""

    def __init__(self, at: int | None = None) -> None:
        self._requests_left = at

    def count(self) -> None:
        """Count a request; beyond the last it raises `CoordinatorCrashed`."""
        if self._requests_left is not None:
            self._requests_left -= 1
            if self._requests_left < 0:
                raise CoordinatorCrashed


@pytest.fixture(autouse=True)
def _short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(map_preparation, "POLL_INTERVAL_S", TICK_S)
    monkeypatch.setattr(pass_holds, "RETRY_INTERVAL_S", TICK_S)
    monkeypatch.setattr(version_fence, "RETRY_INTERVAL_S", TICK_S)


@contextmanager
def ticking(
    group: PassGroup, *, idle: Callable[[], bool] = lambda: False
) -> Iterator[gevent.Greenlet]:
    def tick() -> None:
        while True:
            group.tick(busy=not idle())
            gevent.sleep(TICK_S)

    task = gevent.spawn(tick)
    try:
        yield task
        if task.exception is not None:
            raise task.exception
    finally:
        task.kill()


def make_engines(group: PassGroup) -> list[FencedEngine]:
    engines = [FencedEngine(group.engine(rank)) for rank in range(len(group.rows))]
    for engine in engines:
        engine.restore(0)
    statuses(engines, 0)
    # Agents that have just started hold only passes further ahead.
    group.step += MAX_PASSES_AHEAD
    return engines


def make_switch(
    engines: list[FencedEngine], token: int = 1, crash_point: CrashPoint | None = None
) -> ArmedSwitch:
    links = {
        r: CrashingLink(k, crash_point or CrashPoint()) for r, k in enumerate(engines)
    }
    return ArmedSwitch(GroupClient(GROUP, token, links), 1, links, 0)


def statuses(engines: list[FencedEngine], token: int) -> dict[int, RankAnswer]:
    request = RankAsk(action=RankAction.STATUS, group=GROUP, token=token, epoch=UNSET)
    return {rank: engine.answer(request) for rank, engine in enumerate(engines)}


def resolve_once(engines: list[FencedEngine], token: int) -> bool:
    answers = statuses(engines, token)
    if any(answer.rank == UNSET for answer in answers.values()):
        return False
    held = any(answer.held != UNSET for answer in answers.values())
    armed = any(answer.armed != UNSET for answer in answers.values())
    if held or (armed and not is_fully_armed(answers)):
        make_switch(engines, token).resolve(answers, INITIAL_MAP)
    return not held and not armed


def wait_for_passes(group: PassGroup, count: int = PASSES_AHEAD + 1) -> None:
    """Wait for passes; by default until one that is armed now has begun."""
    last = group.step + count
    with gevent.Timeout(2):
        while group.step < last:
            gevent.sleep(TICK_S)


def resolve(group: PassGroup, engines: list[FencedEngine], token: int) -> None:
    with gevent.Timeout(10):
        while not resolve_once(engines, token):
            gevent.sleep(TICK_S)


def test_all_ranks_switch_at_one_pass():
    group = PassGroup(3, random.Random(1))
    with ticking(group):
        assert (
            make_switch(make_engines(group)).run(NEW, INITIAL, COPY_TIMEOUT_S)
            is SwitchEnd.DONE
        )
        wait_for_passes(group)
    assert {row.map for row in group.rows} == {(1, NEW_MAP.tobytes())}


def test_a_second_switch_sends_only_what_changes():
    group = PassGroup(3, random.Random(1))
    engines = make_engines(group)
    requests: list[RankAsk] = []
    with ticking(group):
        switch = make_switch(engines)
        assert switch.run(NEW, INITIAL, COPY_TIMEOUT_S) is SwitchEnd.DONE
        wait_for_passes(group)
        second = VersionedMap(2, NEW_MAP[:, ::-1])
        engine = engines[1]
        answer = engine.answer
        engines[1] = Recorder(answer, requests)  # type: ignore[call-overload]
        switch = make_switch(engines)
        assert switch.run(second, NEW, COPY_TIMEOUT_S) is SwitchEnd.DONE
        wait_for_passes(group)
    prepare = [r for r in requests if r.action == RankAction.PREPARE]
    assert prepare
    assert all(request.changes and not request.experts for request in prepare)
    assert {row.map for row in group.rows} == {(2, second.experts.tobytes())}


class Recorder:
    """Record the requests to a fenced engine."""

    def __init__(
        self, answer: Callable[[RankAsk], RankAnswer], requests: list[RankAsk]
    ) -> None:
        self._answer = answer
        self._requests = requests

    def answer(self, request: RankAsk) -> RankAnswer:
        """Record a request and return the engine's answer."""
        self._requests.append(copy(request))
        return self._answer(request)


def test_lost_orders_do_not_stop_a_switch():
    group = PassGroup(3, random.Random(2), lost_share=0.3)
    with ticking(group):
        engines = make_engines(group)
        end = make_switch(engines).run(NEW, INITIAL, COPY_TIMEOUT_S)
        resolve(group, engines, 1)
    assert end in (SwitchEnd.DONE, SwitchEnd.NOT_COPIED, SwitchEnd.NOT_HELD)


def test_a_rank_that_takes_no_order_leaves_the_map_and_the_group_running():
    group = PassGroup(3, random.Random(3))
    engines = make_engines(group)
    with ticking(group):
        broken = group.engine(2)
        broken.arm = lambda *args: group.order(9, "arm")  # type: ignore[method-assign]
        engines[2] = FencedEngine(broken)
        engines[2].restore(0)
        group.order = _lose_orders_to(group, 9)  # type: ignore[method-assign]
        assert (
            make_switch(engines).run(NEW, INITIAL, COPY_TIMEOUT_S)
            is SwitchEnd.NOT_ARMED
        )
        wait_for_passes(group)
    assert {row.map[0] for row in group.rows} == {0}
    assert all(row.armed is None for row in group.rows)


def _lose_orders_to(group: PassGroup, lost_rank: int) -> Callable[..., None]:
    def order(rank: int, name: str, *args: object) -> None:
        if rank == lost_rank:
            raise OrderLost("lost")
        group.execute(rank, name, args)

    return order


def test_an_older_token_is_refused():
    group = PassGroup(3, random.Random(4))
    engines = make_engines(group)
    with ticking(group):
        statuses(engines, 5)
        with pytest.raises(Replaced):
            make_switch(engines, 4).run(NEW, INITIAL, COPY_TIMEOUT_S)
    assert {row.map[0] for row in group.rows} == {0}


def test_an_agent_that_has_forgotten_the_last_election_gives_no_order():
    group = PassGroup(3, random.Random(5))
    engines = [FencedEngine(group.engine(rank)) for rank in range(3)]
    with ticking(group), pytest.raises((GroupChanged, NoAnswer)):
        make_switch(engines).run(NEW, INITIAL, COPY_TIMEOUT_S)
    assert all(row.prepared is None for row in group.rows)


def test_a_rank_does_not_take_one_coordinators_map_for_anothers():
    group = PassGroup(3, random.Random(6))
    engines = make_engines(group)
    with ticking(group):
        first, second = make_switch(engines, 1), make_switch(engines, 2)
        version = first.next_version(statuses(engines, 1))
        answers = statuses(engines, 2)
        # A late order of the first coordinator reaches one rank.
        group.execute(0, "prepare", (version, NEW_MAP.tobytes()))
        gevent.sleep(0.01)
        other = VersionedMap(second.next_version(answers), NEW_MAP[:, ::-1])
        second.run(other, INITIAL, COPY_TIMEOUT_S)
        wait_for_passes(group)
    assert len({row.map for row in group.rows}) == 1


def test_a_late_hold_behind_a_released_pass_is_released_too():
    group = PassGroup(3, random.Random(7))
    engines = make_engines(group)
    first = group.step + 2
    group.execute(1, "hold", (first,))
    execute = group.execute

    def execute_and_hold_again(rank: int, name: str, args: tuple) -> None:
        execute(rank, name, args)
        if name == "go" and args == (first,):
            # Another order to hold arrives only now.
            execute(rank, "hold", (first + 1,))

    group.execute = execute_and_hold_again  # type: ignore[method-assign]
    with ticking(group):
        resolve(group, engines, 1)
        wait_for_passes(group)
    assert not group.held


@pytest.mark.parametrize("at", range(0, 40, 1))
def test_a_coordinator_that_dies_at_any_ask_leaves_nothing_that_another_cannot_mend(at):
    group = PassGroup(3, random.Random(at))
    engines = make_engines(group)
    with ticking(group):
        task = gevent.spawn(
            make_switch(engines, 1, CrashPoint(at)).run,
            NEW,
            INITIAL,
            COPY_TIMEOUT_S,
        )
        task.join(timeout=2)
        task.kill()
        resolve(group, engines, 2)
        wait_for_passes(group)
        end = make_switch(engines, 5).run(LATER, INITIAL, COPY_TIMEOUT_S)
        wait_for_passes(group)
    assert end is SwitchEnd.DONE
    assert {row.map[0] for row in group.rows} == {5 << 20}


@pytest.mark.parametrize("seed", range(160))
def test_random_losses_late_orders_and_deaths_never_mix_maps(seed):
    rng = random.Random(seed)
    group = PassGroup(4, rng, lost_share=0.1, delayed_share=rng.choice((0.1, 0.3, 0.5)))
    engines = make_engines(group)
    maps = np.array([[[0, 1], [2, 3], [1, 2], [0, 3]]], dtype=np.int16)
    token = 1
    shuffling = np.random.default_rng(seed)
    idle_share = rng.choice((0.0, 0.5, 0.9))
    current = VersionedMap(0, maps)
    with ticking(group, idle=lambda: rng.random() < idle_share) as task:
        for _ in range(4):
            crash_point = CrashPoint(rng.randrange(60) if rng.random() < 0.5 else None)
            switch = make_switch(engines, token, crash_point)
            new = switch.next_version(statuses(engines, token))
            shuffled = shuffling.permuted(maps, axis=1)
            planned = VersionedMap(new, shuffled)
            run = gevent.spawn(switch.run, planned, current, 0.2)
            run.join(timeout=2)
            run.kill()
            assert isinstance(run.value, SwitchEnd | gevent.GreenletExit | None)
            assert isinstance(run.exception, SWITCH_ERRORS | None)
            # Some agents know this map and take changes to it, others do not.
            current = planned
            token += 1
            resolve(group, engines, token)
            assert task.exception is None
        group.delayed_share = group.lost_share = 0.0
        while group.delayed_orders:
            gevent.sleep(TICK_S)
        resolve(group, engines, token + 1)
        wait_for_passes(group)

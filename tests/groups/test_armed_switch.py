"""The switch of a group at one pass, with orders lost, late and given up half-way."""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
import numpy as np
import pytest

from standins.pass_group import GROUP, PassGroup
from toucanspool.groups import armed_switch
from toucanspool.groups.armed_switch import ArmedSwitch, SwitchEnd
from toucanspool.groups.expert_map import EMPTY
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.group_client import (
    GroupChanged,
    GroupClient,
    Replaced,
    is_fully_armed,
)
from toucanspool.groups.rank_calls import NoAnswer
from toucanspool.groups.rank_engine import UNSET, OrderLost
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAnswer, RankAsk

MAP = np.array([[[0, 1], [2, 3], [1, 2]]], dtype=np.int16)
DEALT = np.array([[[0, 3], [1, EMPTY], [2, EMPTY]]], dtype=np.int16)
TICK_S = 0.001
COPY_S = 1.0


class FencedEngineLink:
    """Ask a fenced engine, unless the coordinator is to die at this ask."""

    def __init__(self, fenced_engine: FencedEngine, dies: "Death") -> None:
        self._fenced_engine = fenced_engine
        self._dies = dies

    def send(self, request: RankAsk) -> RankAnswer:
        """Return the fenced engine's answer."""
        self._dies.count()
        gevent.sleep(0)
        return self._fenced_engine.answer(request)

    send_to_engine = send


class Dead(Exception):
    """Stand for the end of a coordinator's process."""


# How a switch may end besides a `SwitchEnd`.
ENDS = Dead | Replaced | GroupChanged | NoAnswer


class Death:
    """End a coordinator at its n-th ask."""

    def __init__(self, at: int | None = None) -> None:
        self._left = at

    def count(self) -> None:
        """Count an ask; the last one raises `Dead`."""
        if self._left is not None:
            self._left -= 1
            if self._left < 0:
                raise Dead


@pytest.fixture(autouse=True)
def _short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(armed_switch, "POLL_S", TICK_S)
    monkeypatch.setattr(armed_switch, "UNDO_PAUSE_S", TICK_S)


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


def fenced_engines(group: PassGroup) -> list[FencedEngine]:
    made = [FencedEngine(group.engine(rank)) for rank in range(len(group.rows))]
    for fenced_engine in made:
        fenced_engine.restore(0)
    return made


def switch(
    made: list[FencedEngine], token: int = 1, death: Death | None = None
) -> ArmedSwitch:
    links = {r: FencedEngineLink(k, death or Death()) for r, k in enumerate(made)}
    return ArmedSwitch(GroupClient(GROUP, token, links), 1, links, 0)


def statuses(made: list[FencedEngine], token: int) -> dict[int, RankAnswer]:
    request = RankAsk(action=RankAction.STATUS, group=GROUP, token=token, epoch=UNSET)
    return {
        rank: fenced_engine.answer(request) for rank, fenced_engine in enumerate(made)
    }


def at_rest(made: list[FencedEngine], token: int) -> bool:
    answers = statuses(made, token)
    if any(answer.rank == UNSET for answer in answers.values()):
        return False
    held = any(answer.held != UNSET for answer in answers.values())
    armed = any(answer.armed != UNSET for answer in answers.values())
    if held or (armed and not is_fully_armed(answers)):
        switch(made, token).resolve(answers, DEALT)
    return not held and not armed


def runs_on(group: PassGroup) -> None:
    step = group.step
    with gevent.Timeout(2):
        while group.step <= step:
            gevent.sleep(TICK_S)


def settle(group: PassGroup, made: list[FencedEngine], token: int) -> None:
    with gevent.Timeout(10):
        while not at_rest(made, token):
            gevent.sleep(TICK_S)


def test_all_ranks_switch_at_one_pass():
    group = PassGroup(3, random.Random(1))
    with ticking(group):
        assert (
            switch(fenced_engines(group)).run(1, MAP, DEALT, COPY_S) is SwitchEnd.DONE
        )
        gevent.sleep(0.05)
    assert {row.map for row in group.rows} == {(1, MAP.tobytes())}


def test_lost_orders_do_not_stop_a_switch():
    group = PassGroup(3, random.Random(2), lost_share=0.3)
    with ticking(group):
        made = fenced_engines(group)
        end = switch(made).run(1, MAP, DEALT, COPY_S)
        settle(group, made, 1)
    assert end in (SwitchEnd.DONE, SwitchEnd.NOT_COPIED, SwitchEnd.NOT_HELD)


def test_a_rank_that_takes_no_order_leaves_the_map_and_the_group_running():
    group = PassGroup(3, random.Random(3))
    made = fenced_engines(group)
    with ticking(group):
        deaf = group.engine(2)
        deaf.arm = lambda *args: group.order(9, "arm")  # type: ignore[method-assign]
        made[2] = FencedEngine(deaf)
        made[2].restore(0)
        group.order = _losing(group, 9)  # type: ignore[method-assign]
        assert switch(made).run(1, MAP, DEALT, COPY_S) is SwitchEnd.NOT_ARMED
        runs_on(group)
    assert {row.map[0] for row in group.rows} == {0}
    assert all(row.armed is None for row in group.rows)


def _losing(group: PassGroup, lost_rank: int) -> Callable[..., None]:
    def order(rank: int, name: str, *args: object) -> None:
        if rank == lost_rank:
            raise OrderLost("lost")
        group.carry_out(rank, name, args)

    return order


def test_an_older_token_is_refused():
    group = PassGroup(3, random.Random(4))
    made = fenced_engines(group)
    with ticking(group):
        statuses(made, 5)
        with pytest.raises(Replaced):
            switch(made, 4).run(1, MAP, DEALT, COPY_S)
    assert {row.map[0] for row in group.rows} == {0}


def test_an_agent_that_has_forgotten_the_last_election_gives_no_order():
    group = PassGroup(3, random.Random(5))
    made = [FencedEngine(group.engine(rank)) for rank in range(3)]
    with ticking(group), pytest.raises((GroupChanged, NoAnswer)):
        switch(made).run(1, MAP, DEALT, COPY_S)
    assert all(row.prepared is None for row in group.rows)


def test_a_rank_does_not_take_one_coordinators_map_for_anothers():
    group = PassGroup(3, random.Random(6))
    made = fenced_engines(group)
    with ticking(group):
        first, second = switch(made, 1), switch(made, 2)
        version = first.next_version(statuses(made, 1))
        known = statuses(made, 2)
        # The first coordinator's order reaches one rank only now.
        group.carry_out(0, "prepare", (version, MAP.tobytes()))
        gevent.sleep(0.01)
        second.run(second.next_version(known), MAP[:, ::-1], DEALT, COPY_S)
        gevent.sleep(0.05)
    assert len({row.map for row in group.rows}) == 1


@pytest.mark.parametrize("at", range(0, 40, 1))
def test_a_coordinator_that_dies_at_any_ask_leaves_nothing_that_another_cannot_mend(at):
    group = PassGroup(3, random.Random(at))
    made = fenced_engines(group)
    with ticking(group):
        task = gevent.spawn(switch(made, 1, Death(at)).run, 1, MAP, DEALT, COPY_S)
        task.join(timeout=2)
        task.kill()
        settle(group, made, 2)
        runs_on(group)
        end = switch(made, 2).run(5 << 20, MAP, DEALT, COPY_S)
        gevent.sleep(0.03)
    assert end is SwitchEnd.DONE
    assert {row.map[0] for row in group.rows} == {5 << 20}


@pytest.mark.parametrize("seed", range(160))
def test_random_losses_late_orders_and_deaths_never_mix_maps(seed):
    rng = random.Random(seed)
    group = PassGroup(4, rng, lost_share=0.1, late_share=rng.choice((0.1, 0.3, 0.5)))
    made = fenced_engines(group)
    maps = np.array([[[0, 1], [2, 3], [1, 2], [0, 3]]], dtype=np.int16)
    token = 1
    shuffling = np.random.default_rng(seed)
    idle_share = rng.choice((0.0, 0.5, 0.9))
    with ticking(group, idle=lambda: rng.random() < idle_share) as task:
        for _ in range(4):
            death = Death(rng.randrange(60) if rng.random() < 0.5 else None)
            one = switch(made, token, death)
            new = one.next_version(statuses(made, token))
            shuffled = shuffling.permuted(maps, axis=1)
            run = gevent.spawn(one.run, new, shuffled, maps, 0.2)
            run.join(timeout=2)
            run.kill()
            assert isinstance(run.value, SwitchEnd | gevent.GreenletExit | None)
            assert isinstance(run.exception, ENDS | None)
            token += 1
            settle(group, made, token)
            assert task.exception is None
        group.late_share = group.lost_share = 0.0
        gevent.sleep(0.1)
        settle(group, made, token + 1)
        runs_on(group)

"""Holds of one coordinator at the ranks of a group."""

import random

import pytest

from standins.pass_group import GROUP, PassGroup
from toucanspool.groups import pass_holds
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.group_client import GroupClient, Replaced
from toucanspool.groups.hold_gate import MAX_PASSES_AHEAD
from toucanspool.groups.pass_holds import PassHolds
from toucanspool.groups.rank_calls import LocalLink
from toucanspool.groups.rank_engine import UNSET, OrderLost
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAsk, RankResult


@pytest.fixture(autouse=True)
def _short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pass_holds, "RETRY_INTERVAL_S", 0.001)


@pytest.fixture()
def group() -> PassGroup:
    return PassGroup(3, random.Random(1))


@pytest.fixture()
def engines(group: PassGroup) -> list[FencedEngine]:
    return make_engines(group)


def make_engines(group: PassGroup) -> list[FencedEngine]:
    engines = [FencedEngine(group.engine(rank)) for rank in range(len(group.rows))]
    for engine in engines:
        engine.restore(0)
        engine.answer(RankAsk(action=RankAction.STATUS, token=0))
    group.step += MAX_PASSES_AHEAD
    return engines


def make_holds(engines: list[FencedEngine], token: int = 1) -> PassHolds:
    links = {rank: LocalLink(engine) for rank, engine in enumerate(engines)}
    return PassHolds(GroupClient(GROUP, token, links), 1, 0)


def test_a_late_release_leaves_a_later_hold_of_an_idle_group_in_place(group, engines):
    first = make_holds(engines)
    released = first.place_ahead([1], 2)
    first.release()
    held = make_holds(engines).place_ahead([1], 2)
    group.execute(1, "go", (released,))
    assert group.rows[1].held == held


def test_a_rank_that_holds_another_pass_is_passed_over():
    group = PassGroup(4, random.Random(1))
    holds = make_holds(make_engines(group))
    group.execute(1, "hold", (group.step + 5,))
    assert holds.place_ahead([1, 2, 3, 0], 2) == group.rows[2].held
    assert [row.held is None for row in group.rows] == [True, False, False, True]


@pytest.mark.parametrize("size", [2, 3, 4, 12])
def test_orders_to_hold_without_an_answer_leave_a_rank_that_can_hold(size):
    group = PassGroup(size, random.Random(1))
    engines = make_engines(group)

    def lose_answer(rank: int, name: str, *args: object) -> None:
        group.execute(rank, name, args)
        raise OrderLost("lost")

    group.order = lose_answer  # type: ignore[method-assign]
    holds = make_holds(engines)
    assert holds.place_ahead(range(size), 2) == UNSET
    assert any(row.held is None for row in group.rows)


def test_a_given_pass_is_held_where_no_late_order_names_it(group, engines):
    step = group.step + 2
    first = make_holds(engines)
    assert first.place_before([1, 2, 0], [step]) == step
    first.release()
    assert make_holds(engines).place_before([1, 2, 0], [step]) == step
    group.execute(1, "go", (step,))
    assert [row.held for row in group.rows] == [None, None, step]


def test_an_earlier_pass_is_held_where_all_ranks_have_named_the_given_one(
    group, engines
):
    step = group.step + 2
    for _ in engines:
        holds = make_holds(engines)
        assert holds.place_before([0, 1, 2], [step, step - 1]) == step
        holds.release()
    assert make_holds(engines).place_before([0, 1, 2], [step, step - 1]) == step - 1


def test_agents_that_have_all_been_started_again_hold_a_pass_at_all_ranks(group):
    engines = [FencedEngine(group.engine(rank)) for rank in range(3)]
    for engine in engines:
        engine.restore(0)
    step = group.step + 2
    assert make_holds(engines).place_before([0, 1, 2], [step]) == step
    assert [row.held for row in group.rows] == [step] * 3


def test_a_pass_that_has_begun_is_not_reported_as_held(group, engines):
    assert make_holds(engines).place_before([0, 1, 2], [group.step]) == UNSET
    assert not any(row.held for row in group.rows)


def test_a_release_goes_on_until_each_engine_has_confirmed_it(group, engines):
    holds = make_holds(engines)
    holds.place_before([1, 2], [group.step + 1])
    losses = iter([True, True, False, True])

    def lose(rank: int, name: str, *args: object) -> None:
        if next(losses, False):
            raise OrderLost("lost")
        group.execute(rank, name, args)

    group.order = lose  # type: ignore[method-assign]
    holds.release()
    assert not group.held


def test_a_release_that_no_rank_confirms_ends_with_the_coordinators_term(
    group, engines
):
    holds = make_holds(engines)
    holds.place_before([1, 2], [group.step + 1])

    def lose(rank: int, name: str, *args: object) -> None:
        engines[0].answer(RankAsk(action=RankAction.STATUS, token=2))
        raise OrderLost("lost")

    group.order = lose  # type: ignore[method-assign]
    with pytest.raises(Replaced):
        holds.release()


def test_an_engine_is_not_held_around_its_agent(group):
    direct = FencedEngine(group.engine(0), local=False)
    direct.restore(0)
    for action in (RankAction.HOLD, RankAction.HOLD_AHEAD):
        request = RankAsk(action=action, group=GROUP, token=1, epoch=1, step=2)
        answer = direct.answer(request)
        assert (answer.result, answer.held) == (RankResult.REFUSED, UNSET)

"""Fencing of the ranks of a group by the version of a prepared map."""

import random

import gevent
import numpy as np
import pytest

from standins.pass_group import GROUP, PassGroup
from toucanspool.groups import version_fence
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.group_client import GroupChanged, GroupClient, Replaced
from toucanspool.groups.map_preparation import VersionedMap
from toucanspool.groups.map_versions import VERSIONS_PER_TOKEN
from toucanspool.groups.rank_calls import LocalLink
from toucanspool.groups.rank_engine import OrderLost, OrderRefused
from toucanspool.groups.version_fence import fence_ranks
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAsk

MAP = np.array([[[0, 1], [2, 3], [1, 2]]], dtype=np.int16)
RANKS = (0, 1, 2)
OLD, NEW = VERSIONS_PER_TOKEN, 2 * VERSIONS_PER_TOKEN


@pytest.fixture(autouse=True)
def _short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(version_fence, "RETRY_INTERVAL_S", 0.001)


@pytest.fixture()
def group() -> PassGroup:
    return PassGroup(len(RANKS), random.Random(1))


@pytest.fixture()
def engines(group: PassGroup) -> list[FencedEngine]:
    engines = [FencedEngine(group.engine(rank)) for rank in RANKS]
    for engine in engines:
        engine.restore(0)
    return engines


def make_client(engines: list[FencedEngine], token: int) -> GroupClient:
    links = {rank: LocalLink(engine) for rank, engine in enumerate(engines)}
    return GroupClient(GROUP, token, links)


def arm(group: PassGroup, rank: int, version: int) -> None:
    group.execute(rank, "prepare", (version, MAP.tobytes()))
    group.tick(busy=False)
    row = group.rows[rank]
    group.execute(rank, "arm", (version, group.step + 2, row.sequence))


def test_a_late_order_to_arm_is_refused_behind_the_fence(group, engines):
    for rank in RANKS:
        group.execute(rank, "prepare", (OLD, MAP.tobytes()))
    group.tick(busy=False)
    fence_ranks(make_client(engines, 2), 1, RANKS, VersionedMap(NEW, MAP), set())
    for rank, row in enumerate(group.rows):
        with pytest.raises(OrderRefused):
            group.execute(rank, "arm", (OLD, group.step + 2, row.sequence))


def test_a_rank_armed_with_a_given_version_is_disarmed(group, engines):
    arm(group, 1, OLD)
    fence_ranks(make_client(engines, 2), 1, RANKS, VersionedMap(NEW, MAP), {OLD})
    assert [row.armed for row in group.rows] == [None] * 3
    assert {row.newest for row in group.rows} == {NEW}


def test_a_rank_armed_with_another_version_is_left_armed(group, engines):
    arm(group, 1, OLD)
    with pytest.raises(GroupChanged):
        fence_ranks(make_client(engines, 2), 1, RANKS, VersionedMap(NEW, MAP), set())
    assert group.rows[1].armed is not None


def test_the_coordinators_own_rank_is_fenced_before_any_other(group, engines):
    orders = []

    def lose_some(rank: int, name: str, *args: object) -> None:
        orders.append(rank)
        if len(orders) < 4:
            raise OrderLost("lost")
        group.execute(rank, name, args)

    group.order = lose_some  # type: ignore[method-assign]
    client = make_client(engines, 2)
    fence_ranks(client, 1, (2, 0, 1), VersionedMap(NEW, MAP), set())
    assert orders[:4] == [2] * 4


def test_a_rank_that_never_answers_does_not_outlast_the_coordinators_term(
    group, engines
):
    def lose(rank: int, name: str, *args: object) -> None:
        raise OrderLost("lost")

    group.order = lose  # type: ignore[method-assign]
    client = make_client(engines, 2)
    newer = RankAsk(action=RankAction.STATUS, token=3)
    gevent.spawn_later(0.02, engines[0].answer, newer)
    with pytest.raises(Replaced):
        fence_ranks(client, 1, RANKS, VersionedMap(NEW, MAP), set())


def test_a_rank_that_has_seen_a_later_coordinators_version_ends_the_term(
    group, engines
):
    group.execute(1, "prepare", (NEW, MAP.tobytes()))
    group.tick(busy=False)
    with pytest.raises(Replaced):
        fence_ranks(make_client(engines, 1), 1, RANKS, VersionedMap(OLD, MAP), set())

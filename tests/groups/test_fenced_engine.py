"""Execution of rank requests behind the check of fencing tokens."""

import random
import time

import gevent
import numpy as np

from standins.pass_group import GROUP, PassGroup
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.map_preparation import VersionedMap, prepare_request
from toucanspool.groups.rank_arrays import pack_map
from toucanspool.groups.rank_calls import ANSWER_TIMEOUT_S
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAsk, RankResult


def test_a_map_that_can_not_be_read_is_refused():
    group = PassGroup(3, random.Random(1))
    engine = FencedEngine(group.engine(0))
    engine.restore(0)
    request = RankAsk(
        action=RankAction.PREPARE,
        group=GROUP,
        token=1,
        epoch=group.epoch,
        version=1,
        experts=b"no map",
        ranks=3,
        places=4,
    )
    answer = engine.answer(request)
    assert answer.result == RankResult.REFUSED
    assert group.rows[0].copying is None


def first_request(group: PassGroup) -> RankAsk:
    return RankAsk(
        action=RankAction.PREPARE,
        group=GROUP,
        token=1,
        epoch=group.epoch,
        version=1,
        experts=pack_map(np.zeros((1, 3, 2), dtype=int)),
        ranks=3,
        places=2,
    )


def test_the_answer_to_an_order_to_copy_comes_once_the_copies_are_made():
    group = PassGroup(3, random.Random(1))
    engine = FencedEngine(group.engine(0))
    engine.restore(0)
    copied = gevent.spawn_later(0.05, group.tick)
    answer = engine.answer(first_request(group))
    copied.join()
    assert answer.prepared == 1


def test_the_answer_to_an_order_to_copy_does_not_wait_longer_than_a_coordinator():
    group = PassGroup(3, random.Random(1))
    engine = FencedEngine(group.engine(0))
    engine.restore(0)
    started = time.monotonic()
    answer = engine.answer(first_request(group))
    assert answer.prepared != 1
    assert time.monotonic() - started < ANSWER_TIMEOUT_S


def test_changes_of_a_map_that_is_not_known_are_refused():
    group = PassGroup(3, random.Random(1))
    engine = FencedEngine(group.engine(0))
    engine.restore(0)
    base = VersionedMap(5, np.zeros((1, 3, 2), dtype=int))
    request = prepare_request(VersionedMap(6, np.ones((1, 3, 2), dtype=int)), base)
    request.group, request.token, request.epoch = GROUP, 1, group.epoch
    assert engine.answer(request).result == RankResult.REFUSED
    assert group.rows[0].copying is None

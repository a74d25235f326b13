"""Distribution of a map to the ranks of a group."""

import random
import time

import gevent
import numpy as np

from standins.pass_group import GROUP, PassGroup
from tests.groups.test_armed_switch import CrashingLink, CrashPoint, ticking
from toucanspool.groups import map_preparation
from toucanspool.groups.fenced_engine import COPY_WAIT_S, FencedEngine
from toucanspool.groups.group_client import GroupClient
from toucanspool.groups.map_preparation import MapPreparation, VersionedMap

NEW = VersionedMap(1, np.array([[[0, 1], [2, 3], [1, 2]]], dtype=np.int16))


def test_the_first_rank_is_not_polled_after_the_others_have_copied(monkeypatch):
    monkeypatch.setattr(map_preparation, "POLL_INTERVAL_S", 5.0)
    group = PassGroup(3, random.Random(1))
    links = {}
    for rank in range(3):
        engine = FencedEngine(group.engine(rank))
        engine.restore(0)
        links[rank] = CrashingLink(engine, CrashPoint())
    started = time.monotonic()
    with ticking(group):
        preparation = MapPreparation(GroupClient(GROUP, 1, links), 1, NEW)
        assert preparation.run(range(3), 10.0, first=0)
    assert time.monotonic() - started < 5.0


def test_a_rank_that_has_copied_nothing_is_asked_again():
    group = PassGroup(1, random.Random(1))
    engine = FencedEngine(group.engine(0))
    engine.restore(0)
    client = GroupClient(GROUP, 1, {0: CrashingLink(engine, CrashPoint())})
    preparation = MapPreparation(client, 1, NEW)
    task = gevent.spawn(preparation.run, [0], 10.0, first=0)
    # The stand-in ends no copy before its next tick.
    gevent.sleep(1.5 * COPY_WAIT_S)
    assert not task.ready()
    group.tick()
    assert task.get(timeout=5.0)

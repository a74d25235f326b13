"""Passes of an idle group that several coordinators hold one after the other."""

import random

import gevent
import numpy as np

from standins.pass_group import COUNTS_NONE, GROUP, PassGroup
from toucanspool.groups.armed_switch import ArmedSwitch
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.group_client import GroupClient
from toucanspool.groups.map_preparation import VersionedMap
from toucanspool.groups.rank_calls import LocalLink
from toucanspool.groups.rank_engine import OrderLost

RANKS = 4
MAP = np.array([[[0, 1], [2, 3], [1, 2], [0, 3]]], dtype=np.int16)


class _IdleGroup:
    """A group without passes, whose orders a test loses, keeps back or repeats."""

    def __init__(self) -> None:
        self.group = PassGroup(RANKS, random.Random(1), counted=COUNTS_NONE)
        for row in self.group.rows:
            row.map, row.newest = (1, MAP.tobytes()), 1
            row.counts = np.ones((1, 4), dtype=int)
        self.group.order = self._order  # type: ignore[method-assign]
        self.orders = self.group.execute
        self.links = {}
        for rank in range(RANKS):
            agent = FencedEngine(self.group.engine(rank))
            agent.restore(0)
            self.links[rank] = LocalLink(agent)
        self.busy = True

    def tick(self) -> None:
        """Run passes while the group is busy."""
        while True:
            self.group.tick(busy=self.busy)
            gevent.sleep(0.002)

    def switch(self, token: int, own_rank: int) -> ArmedSwitch:
        """Return a switch of a coordinator."""
        client = GroupClient(GROUP, token, self.links)
        return ArmedSwitch(client, 1, range(RANKS), own_rank)

    def run(self, token: int, own_rank: int) -> None:
        """Switch to another map."""
        switch, answers = self.switch(token, own_rank), self.statuses(token)
        new = VersionedMap(switch.next_version(answers), MAP[:, ::-1])
        switch.run(new, VersionedMap(1, MAP), 1.0)

    def resolve(self, token: int, own_rank: int) -> None:
        """Undo a switch that was left."""
        self.switch(token, own_rank).resolve(self.statuses(token), MAP)

    def statuses(self, token: int) -> dict:
        """Return the ranks' answers."""
        return GroupClient(GROUP, token, self.links).fetch_statuses()

    def _order(self, rank: int, name: str, *args: object) -> None:
        gevent.sleep(0.001)
        self.orders(rank, name, args)


def test_late_releases_of_an_earlier_recovery_do_not_release_a_later_one():
    world = _IdleGroup()
    group, late = world.group, []

    def stop_before_the_last_arm(rank: int, name: str, args: tuple) -> None:
        if (rank, name) == (1, "arm"):
            gevent.sleep(60)
        group.execute(rank, name, args)

    def release_late(rank: int, name: str, args: tuple) -> None:
        if name == "go" and rank in (0, 3) and (rank, args) not in late:
            late.append((rank, args))
            raise OrderLost("late")
        group.execute(rank, name, args)

    def stop_before_the_release(rank: int, name: str, args: tuple) -> None:
        if name == "go":
            late.append((rank, args))
            gevent.sleep(60)
        group.execute(rank, name, args)

    def execute_late_orders(rank: int, name: str, args: tuple) -> None:
        if name == "disarm" and rank in (1, 3) and not world.busy:
            raise OrderLost("lost")
        group.execute(rank, name, args)
        if name == "disarm" and late:
            while late:
                group.execute(late[0][0], "go", late.pop(0)[1])
            world.busy = True
            gevent.sleep(0.05)

    ticking = gevent.spawn(world.tick)
    try:
        world.statuses(0)
        with gevent.Timeout(10):
            while group.step < 30:
                gevent.sleep(0.01)
        world.busy = False
        gevent.sleep(0.01)
        for token, own_rank, orders in (
            (1, 0, stop_before_the_last_arm),
            (2, 2, release_late),
            (3, 1, stop_before_the_release),
            (4, 2, execute_late_orders),
        ):
            world.orders = orders
            act = world.run if token in (1, 3) else world.resolve
            coordinating = gevent.spawn(act, token, own_rank)
            coordinating.join(1.0)
            coordinating.kill()
        assert not group.mixed
    finally:
        ticking.kill()

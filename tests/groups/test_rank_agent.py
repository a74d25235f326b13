"""Tests of the rank agent: the engine's own state decides which orders are valid."""

from unittest import mock

import gevent
import pytest
from gevent.event import Event

from standins.faults import Faults
from standins.lockstep_group import LockstepGroup
from standins.memory import MemoryTable
from toucanspool.groups.rank_agent import RankAgent
from toucanspool.groups.record import GroupRecord, RecordStore
from toucanspool.wire.gen.messages.ttypes import Order, OrderKind, OrderResult


class RankFixture:
    """One rank's agent, with its engine and table."""

    def __init__(self, *, version=1):
        self.table = MemoryTable()
        self.store = RecordStore(self.table, "g")
        self.group = LockstepGroup(1, version=version, load_ticks=1)
        self.calls = 0
        self.start_agent()

    def start_agent(self):
        """Start an agent that has seen no orders."""
        self.agent = RankAgent(
            engine=self.group.engines[0],
            fence_source=self.store,
            sleep=lambda wait_s: self.group.tick(),
        )

    def order(self, kind, version=0, *, fence=5):
        """Send an order to the agent and return the reply."""
        self.calls += 1
        order = Order(self.calls, "g", 0, fence, kind, version, b"map")
        return self.agent.handle(order)


def test_orders_in_sequence_switch_the_map():
    rank = RankFixture()
    rank.group.tick()
    assert rank.order(OrderKind.FENCE).version == 1
    assert rank.order(OrderKind.LOAD, 2).result == OrderResult.NOT_READY
    rank.group.tick()
    assert rank.order(OrderKind.LOAD, 2).result == OrderResult.OK
    assert rank.order(OrderKind.HOLD).held
    assert rank.order(OrderKind.SWITCH, 2).version == 2
    assert not rank.order(OrderKind.RESUME, 2).held


@pytest.mark.parametrize(
    ("kind", "version", "detail"),
    [
        (OrderKind.SWITCH, 1, "not held"),
        (OrderKind.RESUME, 2, "on another map"),
        (OrderKind.RESUME, 0, "on another map"),
    ],
)
def test_order_invalid_in_the_engine_state_is_rejected(kind, version, detail):
    rank = RankFixture()
    rank.group.tick()
    reply = rank.order(kind, version)
    assert (reply.result, reply.detail) == (OrderResult.NOT_READY, detail)


def test_map_that_is_not_loaded_is_not_switched_to():
    rank = RankFixture()
    rank.order(OrderKind.HOLD)
    assert rank.order(OrderKind.SWITCH, 2).detail == "not loaded"


def test_agent_rejects_orders_until_it_can_read_the_recorded_token():
    rank = RankFixture()
    rank.table.faults.set(down=True)
    assert rank.order(OrderKind.HOLD).result == OrderResult.TABLE_DOWN
    assert rank.order(OrderKind.STATUS).result == OrderResult.OK
    rank.table.faults.clear()
    assert rank.order(OrderKind.HOLD).result == OrderResult.OK


def test_restarted_agent_rejects_the_recorded_token():
    rank = RankFixture()
    rank.store.write(GroupRecord(1, 1, 5), row_version=0)
    rank.start_agent()
    assert rank.order(OrderKind.HOLD, fence=5).result == OrderResult.STALE_FENCE
    assert rank.order(OrderKind.HOLD, fence=6).result == OrderResult.OK


def test_lost_engine_is_reported_as_unreachable():
    rank = RankFixture()
    rank.group.lose(0)
    assert rank.order(OrderKind.HOLD).result == OrderResult.UNREACHABLE


def test_order_is_rejected_while_the_engine_executes_another():
    rank = RankFixture()
    engine = rank.group.engines[0]
    answers = Event()
    engine.faults = Faults(sleep=lambda wait_s: answers.wait())
    engine.faults.set(freeze_s=1.0)
    first = gevent.spawn(rank.order, OrderKind.HOLD)
    gevent.sleep(0)
    with mock.patch("toucanspool.groups.rank_agent.LOCK_TIMEOUT_S", 0.0):
        assert rank.order(OrderKind.RESUME, 1).detail == "engine is busy"
    answers.set()
    assert first.get().held
    assert engine.state().held

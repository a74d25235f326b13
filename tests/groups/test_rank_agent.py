"""Promise 1, agents: the engine's own state decides what an order may do."""

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


class Rank:
    """One rank's agent, engine and table."""

    def __init__(self, *, version=1):
        self.table = MemoryTable()
        self.store = RecordStore(self.table, "g")
        self.group = LockstepGroup(1, version=version, load_ticks=1)
        self.calls = 0
        self.start_agent()

    def start_agent(self):
        """Start an agent without a memory."""
        self.agent = RankAgent(
            engine=self.group.engines[0],
            fence_source=self.store,
            sleep=lambda wait_s: self.group.tick(),
        )

    def order(self, kind, version=0, *, fence=5):
        """Give an order and return the reply."""
        self.calls += 1
        order = Order(self.calls, "g", 0, fence, kind, version, b"map")
        return self.agent.handle(order)


def test_orders_in_their_order_switch_the_map():
    rank = Rank()
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
def test_order_that_does_not_fit_the_engine_is_refused(kind, version, detail):
    rank = Rank()
    rank.group.tick()
    reply = rank.order(kind, version)
    assert (reply.result, reply.detail) == (OrderResult.NOT_READY, detail)


def test_map_that_is_not_loaded_is_not_switched_to():
    rank = Rank()
    rank.order(OrderKind.HOLD)
    assert rank.order(OrderKind.SWITCH, 2).detail == "not loaded"


def test_agent_takes_no_order_while_it_cannot_read_the_token():
    rank = Rank()
    rank.table.faults.set(down=True)
    assert rank.order(OrderKind.HOLD).result == OrderResult.TABLE_DOWN
    assert rank.order(OrderKind.STATUS).result == OrderResult.OK
    rank.table.faults.clear()
    assert rank.order(OrderKind.HOLD).result == OrderResult.OK


def test_agent_restarted_refuses_the_recorded_token():
    rank = Rank()
    rank.store.write(GroupRecord(1, 1, 5), row_version=0)
    rank.start_agent()
    assert rank.order(OrderKind.HOLD, fence=5).result == OrderResult.STALE_FENCE
    assert rank.order(OrderKind.HOLD, fence=6).result == OrderResult.OK


def test_lost_engine_is_told_as_unreachable():
    rank = Rank()
    rank.group.lose(0)
    assert rank.order(OrderKind.HOLD).result == OrderResult.UNREACHABLE


def test_order_is_turned_away_while_the_engine_keeps_another():
    rank = Rank()
    engine = rank.group.engines[0]
    answers = Event()
    engine.faults = Faults(sleep=lambda wait_s: answers.wait())
    engine.faults.set(freeze_s=1.0)
    first = gevent.spawn(rank.order, OrderKind.HOLD)
    gevent.sleep(0)
    with mock.patch("toucanspool.groups.rank_agent.BUSY_WAIT_S", 0.0):
        assert rank.order(OrderKind.RESUME, 1).detail == "engine is busy"
    answers.set()
    assert first.get().held
    assert engine.state().held

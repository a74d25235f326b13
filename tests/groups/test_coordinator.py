"""Tests of the coordinator: its record, lost responses and lost leases."""

import pytest

from standins.memory import MemoryObjects, MemoryTable
from tests.groups.switch_world import TIMINGS, FakeLease, World
from toucanspool.backing.table import TableUncertain
from toucanspool.groups.coordinator import Coordinator
from toucanspool.groups.coordinator_failures import (
    LeaseLapsed,
    Superseded,
    SwitchFailed,
)
from toucanspool.groups.fence import fence_of
from toucanspool.groups.orders import (
    AnsweredOrder,
    GreenletOrderSender,
    RankUnreachable,
)
from toucanspool.groups.record import GroupRecord, MapStore, RecordStore
from toucanspool.groups.switch import Round
from toucanspool.groups.switch_intent import Intent, Outcome, Phase
from toucanspool.wire.gen.messages.ttypes import (
    Order,
    OrderKind,
    OrderReply,
    OrderResult,
)


class DirectOrderSender:
    """Execute each order immediately on a world's agents."""

    def __init__(self, world):
        self.world = world
        self.answered = []
        self.sent_kinds = []

    def post(self, order):
        """Execute an order; see `OrderSender`."""
        self.sent_kinds.append(order.kind)
        reply = self.world.agents[order.rank].handle(order)
        self.answered.append(AnsweredOrder(order, reply))

    def collect(self, timeout_s):
        """Return all queued replies, and advance the time."""
        self.world.tick()
        answered, self.answered = self.answered, []
        return answered


class CoordinatorFixture:
    """A coordinator with a world in which messages have no delay."""

    def __init__(self, *, token=1, world=None):
        self.world = world or World()
        self.lease = FakeLease(token)
        self.store = RecordStore(self.world.table, "guide")
        self.order_sender = DirectOrderSender(self.world)
        self.coordinator = Coordinator(
            group="guide",
            ranks=3,
            store=self.store,
            maps=MapStore(self.world.objects, "guide"),
            lease=self.lease,
            order_sender=self.order_sender,
            clock=lambda: self.world.now,
            timings=TIMINGS,
        )


def test_switch_records_the_active_map():
    fixture = CoordinatorFixture()
    version = fixture.coordinator.switch(b"map")
    assert fixture.store.read().record == GroupRecord(version, version, version)
    assert fixture.world.objects.get(f"group/guide/map/{version}") == b"map"


def test_recovery_does_not_hold_a_group_again_after_a_switch():
    fixture = CoordinatorFixture()
    fixture.coordinator.switch(b"map")
    fixture.order_sender.sent_kinds.clear()
    fixture.coordinator.recover()
    assert set(fixture.order_sender.sent_kinds) == {OrderKind.FENCE, OrderKind.RESUME}


def test_lapsed_lease_sends_no_orders():
    fixture = CoordinatorFixture()
    fixture.lease.lapsed = True
    with pytest.raises(LeaseLapsed):
        fixture.coordinator.recover()
    assert not fixture.order_sender.sent_kinds


def test_coordinator_with_an_older_lease_is_superseded():
    fixture = CoordinatorFixture(token=2)
    fixture.coordinator.recover()
    with pytest.raises(Superseded):
        CoordinatorFixture(token=1, world=fixture.world).coordinator.recover()


def test_new_coordinator_with_the_same_lease_uses_new_tokens():
    fixture = CoordinatorFixture()
    fixture.coordinator.switch(b"map a")
    successor = CoordinatorFixture(world=fixture.world)
    version = successor.coordinator.switch(b"map b")
    assert {e.version for e in fixture.world.group.engines} == {version}


def test_reacquired_lease_is_not_the_same_lease():
    fixture = CoordinatorFixture()
    fixture.coordinator.recover()
    fixture.lease.token = 3
    with pytest.raises(LeaseLapsed):
        fixture.coordinator.switch(b"map")


def test_group_that_cannot_be_held_keeps_its_map():
    fixture = CoordinatorFixture()
    used = fixture.coordinator.switch(b"map a")
    fixture.world.tick()
    fixture.world.group.stall(1, 50)
    with pytest.raises(SwitchFailed) as caught:
        fixture.coordinator.switch(b"map b")
    assert caught.value.outcome is Outcome.UNDONE
    assert all(e.ready for e in fixture.world.group.engines if not e.stall_left)
    assert {e.version for e in fixture.world.group.engines} == {used}


def test_write_with_lost_response_is_read_again():
    table = MemoryTable()
    store = RecordStore(table, "g")
    table.faults.set(lose_answers=1)
    store.write(GroupRecord(0, 0, 3), row_version=0)
    assert store.read().record.fence == 3


def test_write_that_cannot_be_read_again_stays_uncertain():
    class TableDownAfterCommit(MemoryTable):
        def commit(self, checks, writes):
            try:
                return super().commit(checks, writes)
            finally:
                self.faults.down = True

    table = TableDownAfterCommit()
    table.faults.set(lose_answers=1)
    with pytest.raises(TableUncertain):
        RecordStore(table, "g").write(GroupRecord(0, 0, 3), row_version=0)


def test_map_dropped_from_the_cache_is_read_from_the_store():
    maps = MapStore(MemoryObjects(), "g")
    maps.put(1, b"a")
    maps.trim_cache(set())
    assert maps.get(1) == b"a"
    assert maps.get(2) is None


INTENT = Intent("g", 2, fence_of(1, 1), 1, 2, True)


def reply_to(order, **fields):
    values = {"version": 1, "loaded": 2, "held": True, "step": 0, "fence": order.fence}
    values.update(fields)
    return OrderReply(call=order.call, result=OrderResult.OK, **values)


def round_in_switch_phase() -> tuple[Round, list[Order]]:
    switch_round = Round(INTENT, now=0.0)
    orders = switch_round.poll(0.0)
    while switch_round.phase is not Phase.SWITCH:
        for order in orders:
            switch_round.receive(order, reply_to(order), 0.0)
        orders = switch_round.poll(0.0)
    return switch_round, orders


def test_reply_to_an_order_of_an_earlier_round_is_ignored():
    switch_round, _ = round_in_switch_phase()
    old = Order(call=99, rank=0, fence=fence_of(1, 0), kind=OrderKind.SWITCH)
    for rank in range(2):
        old.rank = rank
        switch_round.receive(old, reply_to(old, version=2), 0.0)
    assert switch_round.phase is Phase.SWITCH


def test_round_is_not_rolled_back_after_the_first_switch():
    switch_round, orders = round_in_switch_phase()
    switch_round.receive(orders[0], reply_to(orders[0], version=2), 0.0)
    later = switch_round.poll(1e6, lease_held=False)
    assert {(order.kind, order.version) for order in later} == {(OrderKind.SWITCH, 2)}


def test_engine_restart_during_a_switch_repeats_the_load():
    switch_round, orders = round_in_switch_phase()
    switch_round.receive(orders[0], reply_to(orders[0], version=0), 0.0)
    assert (switch_round.phase, switch_round.target, switch_round.decided) == (
        Phase.LOAD,
        2,
        True,
    )


def test_sender_queues_replies_and_drops_unreachable_ranks():
    class FakeTransport:
        def send(self, rank, order):
            if rank:
                raise RankUnreachable(rank)
            return reply_to(order)

    with GreenletOrderSender(FakeTransport()) as order_sender:
        for rank in (1, 0):
            order_sender.post(Order(call=1, rank=rank, fence=1))
        assert [answered.order.rank for answered in order_sender.collect(5.0)] == [0]
        assert order_sender.collect(0.0) == []

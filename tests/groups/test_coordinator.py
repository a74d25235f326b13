"""Promise 1, coordinators: what is recorded, and what a lost answer or lease does."""

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
    """Carry each order out at once on a world's agents."""

    def __init__(self, world):
        self.world = world
        self.answers = []
        self.seen = []

    def post(self, order):
        """Carry out an order."""
        self.seen.append(order.kind)
        reply = self.world.agents[order.rank].handle(order)
        self.answers.append(AnsweredOrder(order, reply))

    def collect(self, timeout_s):
        """Return the replies; time goes on."""
        self.world.tick()
        answers, self.answers = self.answers, []
        return answers


class Setting:
    """A coordinator on a world without delays."""

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


def test_switch_records_the_map_in_force():
    setting = Setting()
    version = setting.coordinator.switch(b"map")
    assert setting.store.read().record == GroupRecord(version, version, version)
    assert setting.world.objects.get(f"group/guide/map/{version}") == b"map"


def test_recovery_does_not_hold_a_group_again_after_a_switch():
    setting = Setting()
    setting.coordinator.switch(b"map")
    setting.order_sender.seen.clear()
    setting.coordinator.recover()
    assert set(setting.order_sender.seen) == {OrderKind.FENCE, OrderKind.RESUME}


def test_lapsed_lease_starts_nothing():
    setting = Setting()
    setting.lease.lapsed = True
    with pytest.raises(LeaseLapsed):
        setting.coordinator.recover()
    assert not setting.order_sender.seen


def test_coordinator_with_an_older_lease_gives_up():
    setting = Setting(token=2)
    setting.coordinator.recover()
    with pytest.raises(Superseded):
        Setting(token=1, world=setting.world).coordinator.recover()


def test_coordinator_made_anew_under_one_lease_uses_new_tokens():
    setting = Setting()
    setting.coordinator.switch(b"map a")
    again = Setting(world=setting.world)
    version = again.coordinator.switch(b"map b")
    assert {e.version for e in setting.world.group.engines} == {version}


def test_lease_lost_and_taken_again_is_not_the_same_lease():
    setting = Setting()
    setting.coordinator.recover()
    setting.lease.token = 3
    with pytest.raises(LeaseLapsed):
        setting.coordinator.switch(b"map")


def test_group_that_cannot_be_held_goes_on_with_its_map():
    setting = Setting()
    used = setting.coordinator.switch(b"map a")
    setting.world.tick()
    setting.world.group.stall(1, 50)
    with pytest.raises(SwitchFailed) as caught:
        setting.coordinator.switch(b"map b")
    assert caught.value.outcome is Outcome.UNDONE
    assert all(e.ready for e in setting.world.group.engines if not e.stall_left)
    assert {e.version for e in setting.world.group.engines} == {used}


def test_lost_answer_of_the_table_is_read_back():
    table = MemoryTable()
    store = RecordStore(table, "g")
    table.faults.set(lose_answers=1)
    store.write(GroupRecord(0, 0, 3), row_version=0)
    assert store.read().record.fence == 3


def test_lost_answer_that_cannot_be_read_back_stays_uncertain():
    class Failing(MemoryTable):
        def commit(self, checks, writes):
            try:
                return super().commit(checks, writes)
            finally:
                self.faults.down = True

    table = Failing()
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


def at_switch() -> tuple[Round, list[Order]]:
    rnd = Round(INTENT, now=0.0)
    orders = rnd.poll(0.0)
    while rnd.phase is not Phase.SWITCH:
        for order in orders:
            rnd.receive(order, reply_to(order), 0.0)
        orders = rnd.poll(0.0)
    return rnd, orders


def test_reply_to_an_order_of_an_earlier_round_is_no_confirmation():
    rnd, _ = at_switch()
    old = Order(call=99, rank=0, fence=fence_of(1, 0), kind=OrderKind.SWITCH)
    for rank in range(2):
        old.rank = rank
        rnd.receive(old, reply_to(old, version=2), 0.0)
    assert rnd.phase is Phase.SWITCH


def test_round_never_turns_back_after_the_first_switch():
    rnd, orders = at_switch()
    rnd.receive(orders[0], reply_to(orders[0], version=2), 0.0)
    later = rnd.poll(1e6, lease_held=False)
    assert {(order.kind, order.version) for order in later} == {(OrderKind.SWITCH, 2)}


def test_engine_restarted_in_a_switch_is_loaded_and_held_again():
    rnd, orders = at_switch()
    rnd.receive(orders[0], reply_to(orders[0], version=0), 0.0)
    assert (rnd.phase, rnd.target, rnd.decided) == (Phase.LOAD, 2, True)


def test_sender_queues_replies_and_drops_unreachable_ranks():
    class FakeTransport:
        def send(self, rank, order):
            if rank:
                raise RankUnreachable(rank)
            return reply_to(order)

    with GreenletOrderSender(FakeTransport()) as order_sender:
        for rank in (1, 0):
            order_sender.post(Order(call=1, rank=rank, fence=1))
        assert [answer.order.rank for answer in order_sender.collect(5.0)] == [0]
        assert order_sender.collect(0.0) == []

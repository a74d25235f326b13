"""A lease has one holder at a time, and its fencing tokens never decrease."""

import json

import pytest

from standins.memory import MemoryTable
from toucanspool.backing.table import Row, TableUnavailable, Write
from toucanspool.recovery.fence import Fence, FenceNotReady, StaleToken
from toucanspool.recovery.lease import Lease, LeaseLost, lease_key
from toucanspool.recovery.lease_row import BadLease, decode_lease

TTL_S = 9.0


class ManualClock:
    """Return a time that the test sets."""

    now = 0.0

    def __call__(self):
        """Return the time in seconds."""
        return self.now


@pytest.fixture
def now():
    return ManualClock()


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def leases(table, now):
    return [Lease(table, "duty", name, ttl_s=TTL_S, now=now) for name in "ab"]


def test_first_takes_and_second_waits_for_the_ttl(leases, now):
    first, second = leases
    assert first.step()
    assert not second.step()
    now.now = TTL_S - 0.1
    assert not second.step()
    assert not first.held(now())
    now.now = TTL_S
    assert second.step()
    assert (first.token, second.token) == (1, 2)


def test_renewal_keeps_others_out(leases, now):
    first, second = leases
    for _ in range(10):
        assert first.step()
        assert not second.step()
        now.now += first.interval_s
    assert first.token == 1


def test_release_lets_another_take_at_once(leases):
    first, second = leases
    first.step()
    first.release()
    assert second.step()
    with pytest.raises(LeaseLost):
        first.guard()
    assert second.guard() == 2


def test_release_after_a_lapse_leaves_the_successor_alone(leases, now):
    first, second = leases
    first.step()
    second.step()
    now.now = TTL_S
    second.step()
    first.step()
    first.release()
    assert second.step()
    assert second.token == 2


def test_lost_answers_are_read_back(leases, table, now):
    table.faults.set(lose_answers=-1)
    for _ in range(4):
        assert leases[0].step()
        now.now += leases[0].interval_s
    assert leases[0].token == 1


def test_outage_ends_the_holding_and_its_end_brings_it_back(leases, table, now):
    leases[0].step()
    table.faults.set(down=True)
    now.now = 60.0
    assert not leases[0].step()
    table.faults.clear()
    assert leases[0].step()


def test_restarted_process_is_another_holder(table, now):
    Lease(table, "duty", "a", ttl_s=TTL_S, now=now).step()
    assert not Lease(table, "duty", "a", ttl_s=TTL_S, now=now).step()


def test_check_fails_once_another_holds(leases, table, now):
    leases[0].step()
    old = leases[0].check()
    leases[1].step()
    now.now = TTL_S
    leases[1].step()
    assert table.get([old.key])[old.key].version != old.version


def test_fence_refuses_older_tokens(leases, table, now):
    fence = Fence(table, "duty")
    with pytest.raises(FenceNotReady):
        fence.admit(1)
    fence.restore()
    fence.admit(2)
    with pytest.raises(StaleToken):
        fence.admit(1)


def test_restarted_fence_knows_the_tokens_before(leases, table, now):
    leases[0].step()
    leases[1].step()
    now.now = TTL_S
    leases[1].step()
    fence = Fence(table, "duty")
    assert fence.restore() == 2
    table.faults.set(down=True)
    with pytest.raises(TableUnavailable):
        fence.restore()
    with pytest.raises(StaleToken):
        fence.admit(1)


@pytest.mark.parametrize("field", ["token", "beat"])
@pytest.mark.parametrize("value", [1 << 62, 1 << 63, 1 << 64, 10**400, -1])
def test_a_row_with_a_number_that_can_not_be_raised_is_a_bad_lease(field, value):
    """Guards against a step that ends with a TypeError of the encoder."""
    text = json.dumps({"holder": "", "token": 1, "beat": 1, field: value})
    with pytest.raises(BadLease):
        decode_lease(Row("k", text.encode(), 1))
    table = MemoryTable()
    table.commit([], [Write(lease_key("d"), text.encode())])
    assert not Lease(table, "d", "a", now=lambda: 0.0).step()

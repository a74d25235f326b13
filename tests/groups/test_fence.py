"""Tests of fencing: an order older than one already admitted is rejected."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanspool.groups.fence import MAX_ROUND, FenceGate, fence_of
from toucanspool.wire.gen.messages.ttypes import OrderResult


def open_gate(recorded: int = 0) -> FenceGate:
    gate = FenceGate()
    gate.open(recorded)
    return gate


def test_gate_admits_nothing_before_the_recorded_token_is_known():
    assert FenceGate().admit(9, 1) == OrderResult.TABLE_DOWN


@pytest.mark.parametrize("fence", [6, 7])
def test_gate_after_a_start_refuses_up_to_the_recorded_token(fence):
    assert open_gate(7).admit(fence, 1) == OrderResult.STALE_FENCE


def test_gate_admits_the_newest_order_again():
    gate = open_gate()
    assert gate.admit(1, 4) == OrderResult.OK
    assert gate.admit(1, 4) == OrderResult.OK
    assert gate.admit(1, 3) == OrderResult.STALE_FENCE


def test_later_lease_outranks_every_round_of_an_earlier_one():
    assert fence_of(2, 0) > fence_of(1, MAX_ROUND)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 4)), max_size=30))
def test_admitted_orders_never_go_back(orders):
    gate = open_gate()
    admitted = [o for o in orders if gate.admit(*o) == OrderResult.OK]
    assert admitted == sorted(admitted)

"""Choice of passes to hold, by one engine's agent."""

from dataclasses import replace

import pytest

from toucanspool.groups.hold_gate import MAX_PASSES_AHEAD, HoldGate
from toucanspool.groups.rank_engine import OrderRefused, RankState

STATE = RankState(
    group="g", epoch=1, rank=0, size=2, open=True, step=100, map_version=0
)
LATER = replace(STATE, step=100 + MAX_PASSES_AHEAD)


def warm_gate() -> HoldGate:
    gate = HoldGate()
    gate.observe(STATE)
    return gate


def test_no_pass_is_held_twice_while_the_group_is_idle():
    gate = warm_gate()
    assert [gate.choose(LATER, 2) for _ in range(3)] == [118, 119, 120]


def test_a_pass_that_was_held_on_request_is_not_chosen_later():
    gate = warm_gate()
    gate.admit(LATER, 118)
    assert gate.choose(LATER, 2) == 119


def test_a_pass_that_was_chosen_is_not_held_on_request():
    gate = warm_gate()
    step = gate.choose(LATER, 2)
    with pytest.raises(OrderRefused):
        gate.admit(LATER, step)
    gate.admit(LATER, step, shared=True)


def test_a_state_of_an_earlier_epoch_told_late_does_not_make_a_gate_forget():
    gate = warm_gate()
    formed_again = replace(STATE, epoch=2)
    step = gate.choose(formed_again, 2)
    gate.observe(STATE)
    assert gate.choose(formed_again, 2) == step + 1


def test_a_new_gate_chooses_no_pass_that_the_process_before_may_have_named():
    before, after = warm_gate(), HoldGate()
    named = [before.choose(LATER, MAX_PASSES_AHEAD)]
    after.observe(LATER)
    with pytest.raises(OrderRefused):
        after.choose(LATER, 2)
    assert after.choose(replace(LATER, step=LATER.step + 1), 2) > max(named)


def test_an_idle_group_runs_out_of_passes_rather_than_names_one_too_far_ahead():
    gate = warm_gate()
    for _ in range(MAX_PASSES_AHEAD):
        gate.choose(LATER, 1)
    with pytest.raises(OrderRefused):
        gate.choose(LATER, 1)


def test_a_pass_too_far_ahead_is_not_held_on_request():
    with pytest.raises(OrderRefused):
        warm_gate().admit(STATE, STATE.step + MAX_PASSES_AHEAD + 1)


def test_passes_of_another_epoch_are_chosen_anew():
    gate = warm_gate()
    gate.choose(LATER, 2)
    assert gate.choose(replace(STATE, epoch=2, step=0), 2) == 2

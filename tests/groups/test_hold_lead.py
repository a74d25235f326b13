"""Choice of the pass to hold."""

import pytest

from toucanspool.groups.hold_lead import (
    INITIAL_PASSES_AHEAD,
    MAX_PASSES_AHEAD,
    MIN_PASSES_AHEAD,
    HoldLead,
)


def lead_after(times_s: list[float]) -> HoldLead:
    lead = HoldLead()
    for held_s in times_s:
        lead.observe(held_s)
    return lead


@pytest.mark.parametrize("pass_s", [0.02, 0.04, 0.08])
def test_a_held_pass_is_not_due_before_its_usual_release(pass_s):
    passes = lead_after([0.1] * 30).passes_ahead(pass_s)
    # The pass after the latest one may be due at once.
    assert (passes - 1) * pass_s >= 0.1
    assert (passes - 2) * pass_s <= 0.1


def test_lost_orders_move_the_held_pass_at_once():
    lead = lead_after([0.06] * 30)
    before = lead.passes_ahead(0.04)
    lead.observe(0.3)
    assert (lead.passes_ahead(0.04) - 1) * 0.04 >= 0.3
    for _ in range(30):
        lead.observe(0.06)
    assert lead.passes_ahead(0.04) <= before + 1


def test_a_first_switch_leaves_time_and_an_idle_group_needs_none():
    assert HoldLead().passes_ahead(0.04) == INITIAL_PASSES_AHEAD
    assert lead_after([0.0]).passes_ahead(0.04) == INITIAL_PASSES_AHEAD
    assert lead_after([0.1]).passes_ahead(float("inf")) == MIN_PASSES_AHEAD
    assert lead_after([2.0]).passes_ahead(0.04) == MAX_PASSES_AHEAD

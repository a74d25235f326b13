"""Tests of the slots of a group's ranks and of the copies that a change costs."""

import numpy as np

from toucanspool.groups.copies import ExpertCopies
from toucanspool.groups.few_slots.slot_table import SlotTable

RANKS, EXPERTS, SLOTS = 4, 8, 3


def table(*, max_per_rank: int = 1, max_per_set: int = 1) -> SlotTable:
    copies = ExpertCopies.round_robin(1, RANKS, EXPERTS, SLOTS)
    return SlotTable(copies, max_per_rank=max_per_rank, max_per_set=max_per_set)


def test_copies_come_back_as_they_went_in():
    rng = np.random.default_rng(1)
    held = rng.random((3, RANKS, EXPERTS)) < 0.4
    copies = ExpertCopies(held, EXPERTS)
    again = SlotTable(copies, max_per_rank=1, max_per_set=1).copies()
    assert np.array_equal(again.held, held)


def test_a_rank_gets_no_copy_beyond_its_budget():
    slots = table()
    assert slots.add(0, 0, rank=1, slot=2)
    # Slot 0 of rank 1 holds expert 1, which no change to the budget makes affordable.
    slots.counts[0, 1] = 2
    assert not slots.add(0, 2, rank=1, slot=0)
    assert not slots.has_budget(np.array([0]))[0, 1]


def test_the_budget_of_one_set_binds_too():
    slots = table(max_per_rank=5, max_per_set=1)
    assert slots.add(0, 0, rank=1, slot=2)
    assert not slots.exchange(0, (1, 0), (2, 0))


def test_a_copy_dropped_again_costs_nothing():
    slots = table()
    assert slots.add(0, 0, rank=1, slot=2)
    slots.remove(0, rank=1, slot=2)
    assert slots.add(0, 2, rank=1, slot=2)


def test_what_a_rank_held_before_costs_nothing():
    slots = table()
    assert slots.exchange(0, (1, 0), (2, 0))
    assert slots.exchange(0, (1, 0), (2, 0))
    assert np.array_equal(slots.copies().held, table().copies().held)


def test_a_refused_exchange_changes_nothing():
    slots = table()
    assert slots.add(0, 0, rank=1, slot=2)
    before = slots.copies().held
    assert not slots.exchange(0, (2, 0), (1, 0))
    assert np.array_equal(slots.copies().held, before)

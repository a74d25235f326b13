"""Exchanges of two experts between the slowest rank and another one."""

import numpy as np

from toucanspool.groups.expert_map import FloatArray
from toucanspool.groups.few_slots.rank_times import RankTimes, power
from toucanspool.groups.few_slots.slot_table import SlotTable

# Gain of a move that is not possible.
IMPOSSIBLE = -1.0


def can_receive(table: SlotTable, times: RankTimes) -> np.ndarray:
    """Return whether a slot may receive an expert of the slowest rank.

    Parameters
    ----------
    table : SlotTable
        The placement.
    times : RankTimes
        The times under it.

    Returns
    -------
    ndarray of bool, shape (n, slots, slots, ranks)
        By slot of the slowest rank, other rank's slot, and other rank.
    """
    rows, sets = times.rows, times.sets
    experts = times.slots[rows, :, times.slowest]
    free = table.kept[sets[:, None], experts]
    free |= table.has_budget(sets)[:, None]
    other = ~table.held[sets[:, None], experts]
    other &= (experts != table.empty)[:, :, None]
    free &= other
    return free[:, :, None] | (table.copied[sets][:, None] & other[:, :, None])


def exchange_gains(
    table: SlotTable, times: RankTimes, receivable: np.ndarray
) -> FloatArray:
    """Return the gain of each exchange with the slowest rank, in sums of terms.

    An exchange with an empty slot moves the expert there.

    Parameters
    ----------
    table : SlotTable
        The placement.
    times : RankTimes
        The times under it.
    receivable : ndarray of bool, shape (n, slots, slots, ranks)
        Result of `can_receive`.

    Returns
    -------
    ndarray of float, shape (n, slots, slots, ranks)
        By slot of the slowest rank, other rank's slot, and other rank.
    """
    rows, sets, slowest = times.rows, times.sets, times.slowest
    own_index = rows, slice(None), slowest
    change = times.slot_load[:, None] - times.slot_load[own_index][:, :, None, None]
    own_scale = times.scale[rows, slowest][:, None, None, None]
    own = (change + times.loads[rows, slowest][:, None, None, None]) * own_scale
    other = (times.loads[:, None, None] - change) * times.scale[:, None, None]
    gains = (times.terms + times.terms[rows, slowest][:, None])[:, None, None]
    gains = gains - power(own)
    gains -= power(other)
    free = times.by_slot(table.kept[sets, :, slowest])
    free |= table.has_budget(sets)[rows, slowest][:, None, None]
    lacking = ~times.by_slot(table.held[sets, :, slowest])
    possible = free[:, None] | table.copied[sets, :, slowest][:, :, None, None]
    possible &= lacking[:, None]
    possible &= receivable
    np.copyto(gains, IMPOSSIBLE, where=~possible)
    return gains

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
    ndarray of bool, shape (n, slots, slots, m)
        By slot of the slowest rank, receiver's slot, and receiver.
    """
    experts = times.slots[times.rows, :, times.slowest]
    cells = table.cells(
        times.sets[:, None, None], experts[:, :, None], times.receivers[:, None]
    )
    free = table.kept.ravel().take(cells)
    free |= times.at_receivers(table.has_budget(times.sets))[:, None]
    other = ~table.held.ravel().take(cells)
    other &= (experts != table.empty)[:, :, None]
    free &= other
    copied = times.at_receivers(table.copied[times.sets])
    return free[:, :, None] | (copied[:, None] & other[:, :, None])


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
    receivable : ndarray of bool, shape (n, slots, slots, m)
        Result of `can_receive`.

    Returns
    -------
    ndarray of float, shape (n, slots, slots, m)
        By slot of the slowest rank, receiver's slot, and receiver.
    """
    rows, sets, slowest = times.rows, times.sets, times.slowest
    slot_load = times.at_receivers(times.slot_load)
    change = slot_load[:, None] - times.slot_load[rows, :, slowest][:, :, None, None]
    own = change + times.loads[rows, slowest][:, None, None, None]
    own *= times.scale[rows, slowest][:, None, None, None]
    other = times.at_receivers(times.loads)[:, None, None] - change
    other *= times.at_receivers(times.scale)[:, None, None]
    terms = times.at_receivers(times.terms) + times.terms[rows, slowest][:, None]
    gains = terms[:, None, None] - power(own)
    gains -= power(other)
    experts = times.at_receivers(times.slots)
    cells = table.cells(sets[:, None, None], experts, slowest[:, None, None])
    free = table.kept.ravel().take(cells)
    free |= table.has_budget(sets)[rows, slowest][:, None, None]
    possible = free[:, None] | table.copied[sets, :, slowest][:, :, None, None]
    possible &= ~table.held.ravel().take(cells)[:, None]
    possible &= receivable
    np.copyto(gains, IMPOSSIBLE, where=~possible)
    return gains

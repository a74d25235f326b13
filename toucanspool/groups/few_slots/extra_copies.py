"""Further copies of the slowest rank's experts, and removals of its copies."""

import numpy as np

from toucanspool.groups.expert_map import FloatArray
from toucanspool.groups.few_slots.exchanges import IMPOSSIBLE
from toucanspool.groups.few_slots.rank_times import DTYPE, RankTimes, power
from toucanspool.groups.few_slots.slot_table import SlotTable


class ExtraCopies:
    """Compute what is gained by more or fewer copies of experts.

    A rank that gets a copy fills an empty slot or drops a copy that other ranks hold
    as well. A rank that holds both the expert and the dropped one is counted as if its
    two changes of load came one by one; this never overstates the gain, since the
    terms are convex.

    Parameters
    ----------
    table : SlotTable
        The placement.
    times : RankTimes
        The times under it.
    """

    __slots__ = ("_droppable", "_others_loss", "_table", "_times")

    def __init__(self, table: SlotTable, times: RankTimes) -> None:
        self._table = table
        self._times = times
        counts, empty = times.counts, table.empty
        shared = counts > 1
        shared[:, empty] = True
        self._droppable = times.by_slot(shared)
        # The other ranks that hold a dropped expert take over the load of its copy.
        increase = times.demand / np.maximum(counts - 1, 1) - times.copy_load
        grown = times.loads[:, None] + times.by_slot(increase)
        loss = power(grown * times.scale[:, None]) - times.terms[:, None]
        by_expert = np.bincount(
            times.flat_slots.ravel(), weights=loss.ravel(), minlength=counts.size
        )
        self._others_loss = times.by_slot(by_expert.astype(DTYPE)) - loss
        self._others_loss[times.slots == empty] = 0.0

    def add_gains(self, receivable: np.ndarray) -> FloatArray:
        """Return the gain of each further copy of the slowest rank's experts.

        Parameters
        ----------
        receivable : ndarray of bool, shape (n, slots, slots, m)
            Result of `can_receive`.

        Returns
        -------
        ndarray of float, shape (n, slots, slots, m)
            By slot of the slowest rank, receiver's slot, and receiver; in sums of
            terms.
        """
        table, times = self._table, self._times
        experts = times.slots[times.rows, :, times.slowest]
        rows = times.rows[:, None]
        share = times.demand[rows, experts] / (times.counts[rows, experts] + 1)
        decrease = times.copy_load[rows, experts] - share
        holders = table.held[times.sets[:, None], experts]
        relieved = times.loads[:, None] - decrease[:, :, None]
        relieved = power(relieved * times.scale[:, None])
        relief = ((times.terms[:, None] - relieved) * holders).sum(axis=2)
        left = times.at_receivers(times.loads[:, None] - times.slot_load)[:, None]
        receiver = left + share[:, :, None, None]
        receiver *= times.at_receivers(times.scale)[:, None, None]
        gains = times.at_receivers(times.terms[:, None] - self._others_loss)[:, None]
        gains = gains + relief[:, :, None, None]
        gains -= power(receiver)
        possible = receivable & times.at_receivers(self._droppable)[:, None]
        np.copyto(gains, IMPOSSIBLE, where=~possible)
        return gains

    def removal_gains(self) -> FloatArray:
        """Return the gain of each removal of a copy from the slowest rank.

        Returns
        -------
        ndarray of float, shape (n, slots)
            By slot; in sums of terms.
        """
        times = self._times
        rank = times.rows, times.slowest
        slots = times.rows, slice(None), times.slowest
        left = times.loads[rank][:, None] - times.slot_load[slots]
        gains = times.terms[rank][:, None] - self._others_loss[slots]
        gains -= power(left * times.scale[rank][:, None])
        possible = self._droppable[slots] & (times.slots[slots] != self._table.empty)
        gains[~possible] = IMPOSSIBLE
        return gains

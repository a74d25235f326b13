"""Times of a group's ranks under a placement, and the smooth maximum of them."""

import numpy as np

from toucanspool.groups.expert_map import FloatArray, IntArray
from toucanspool.groups.few_slots.slot_table import SlotTable

# Exponent of the smooth maximum. It is a power of two, so that `power` needs only
# multiplications.
EXPONENT = 8
# Ranks of a set that may get experts of the slowest one.
MAX_RECEIVERS = 24
# Gains are differences of terms near 1 and matter from 1 in 1000 on, so single
# precision suffices; it takes half the time.
DTYPE = np.float32


class RankTimes:
    """Compute the times of all ranks, relative to the slowest one of each set.

    Experts of a slowest rank may go to the fastest ranks only, which are nearly always
    the best and take less time to weigh than all ranks.

    Parameters
    ----------
    table : SlotTable
        The placement.
    sets : ndarray of int, shape (n,)
        Indices of the sets to look at.
    demand : ndarray of float, shape (sets, experts + 1)
        Load of each expert, in mean loads of a rank; 0 for `SlotTable.empty`.
    slowdowns : ndarray of float, shape (ranks,)
        Ratio of each rank's time for its work to the usual time.

    Attributes
    ----------
    sets : ndarray of int, shape (n,)
        Indices of the sets.
    rows : ndarray of int, shape (n,)
        Indices of the sets within these arrays: 0 to n - 1.
    slots : ndarray of int, shape (n, slots, ranks)
        The expert in each slot.
    flat_slots : ndarray of int, shape (n, slots * ranks)
        Index of each slot's expert in a flattened array of shape (n, experts + 1).
    counts, demand, copy_load : ndarray, shape (n, experts + 1)
        Number of copies of each expert, its load, and the load of one copy.
    slot_load : ndarray of float, shape (n, slots, ranks)
        Load of the copy in each slot.
    loads : ndarray of float, shape (n, ranks)
        Load of each rank.
    scale : ndarray of float, shape (n, ranks)
        Time of each rank for one mean load over the slowest rank's time.
    terms : ndarray of float, shape (n, ranks)
        Term of each rank in the smooth maximum.
    slowest : ndarray of int, shape (n,)
        The slowest rank.
    receivers : ndarray of int, shape (n, m)
        The ranks that may get its experts.
    peak : ndarray of float, shape (n,)
        Time of the slowest rank, in times of the mean load.
    """

    __slots__ = (
        "_at_ranks",
        "_at_slots",
        "copy_load",
        "counts",
        "demand",
        "flat_slots",
        "loads",
        "peak",
        "receivers",
        "rows",
        "scale",
        "sets",
        "slot_load",
        "slots",
        "slowest",
        "terms",
    )

    def __init__(
        self,
        table: SlotTable,
        sets: IntArray,
        demand: FloatArray,
        slowdowns: FloatArray,
    ) -> None:
        self.sets = sets
        self.rows = np.arange(sets.size)
        self.slots = table.slots[sets]
        offsets = self.rows * (table.empty + 1)
        self.flat_slots = self.slots.reshape(sets.size, -1) + offsets[:, None]
        self.counts = table.counts[sets].astype(DTYPE)
        self.demand = demand[sets].astype(DTYPE)
        self.copy_load = self.demand / self.counts
        self.slot_load = self.by_slot(self.copy_load)
        self.loads = self.slot_load.sum(axis=1)
        times = self.loads * slowdowns.astype(DTYPE)
        self.slowest = times.argmax(axis=1)
        last = min(MAX_RECEIVERS, times.shape[1]) - 1
        self.receivers = times.argpartition(last, axis=1)[:, : last + 1]
        n_slots, n_ranks = self.slots.shape[1:]
        at_rows = self.rows[:, None] * n_ranks
        self._at_ranks = at_rows + self.receivers
        at_slots = at_rows[..., None] * n_slots + np.arange(n_slots)[:, None] * n_ranks
        self._at_slots = at_slots + self.receivers[:, None]
        self.peak = times[self.rows, self.slowest]
        self.scale = slowdowns.astype(DTYPE) / self.peak[:, None]
        self.terms = power(self.loads * self.scale)

    def by_slot(self, values: np.ndarray) -> np.ndarray:
        """Return for each slot the value of its expert.

        Parameters
        ----------
        values : ndarray, shape (n, experts + 1)
            Value of each expert.

        Returns
        -------
        ndarray, shape (n, slots, ranks)
        """
        return values.ravel().take(self.flat_slots).reshape(self.slots.shape)

    def at_receivers(self, values: np.ndarray) -> np.ndarray:
        """Return the values of the ranks that may get experts.

        Parameters
        ----------
        values : ndarray, shape (n, ranks) or (n, slots, ranks)
            Value of each rank, or of each slot.

        Returns
        -------
        ndarray, shape (n, m) or (n, slots, m)
        """
        index = self._at_ranks if values.ndim == 2 else self._at_slots
        return values.ravel().take(index)

    def decrease(self, gains: FloatArray) -> FloatArray:
        """Return by how much the smooth maximum of each set falls.

        Parameters
        ----------
        gains : ndarray of float, shape (n,)
            Decrease of the sum of `terms`.

        Returns
        -------
        ndarray of float, shape (n,)
            In times of the mean load.
        """
        left = np.clip(1.0 - gains / self.terms.sum(axis=1), 0.0, None)
        return self.peak * (1.0 - left ** (1.0 / EXPONENT))

    def as_terms(self, decrease: float) -> FloatArray:
        """Return the sum of terms that a small decrease of each maximum takes.

        Parameters
        ----------
        decrease : float
            Decrease of the smooth maximum, in times of the mean load.

        Returns
        -------
        ndarray of float, shape (n,)
        """
        return (EXPONENT * decrease * self.terms.sum(axis=1) / self.peak).astype(DTYPE)


def power(times: FloatArray) -> FloatArray:
    """Return times to the power of `EXPONENT`."""
    result = times * times
    result *= result
    result *= result
    return result

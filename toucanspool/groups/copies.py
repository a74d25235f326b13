"""Copies of experts on the ranks of a lock-step group, and changes of them."""

from dataclasses import dataclass

import numpy as np

from toucanspool.groups.expert_map import EMPTY, FloatArray, IntArray


@dataclass(slots=True, frozen=True)
class CopyChange:
    """Describe a change of the experts that a rank holds in one set of layers.

    Parameters
    ----------
    layer_set : int
        Index of the set of layers.
    rank : int
        The rank whose copies change.
    expert : int
        The expert of which the rank gets a copy; `EMPTY` if it only drops one.
    dropped : int
        The expert whose copy the rank drops; `EMPTY` for none.
    """

    layer_set: int
    rank: int
    expert: int
    dropped: int


class ExpertCopies:
    """Record which rank holds a copy of which expert, for each set of layers.

    The ranks that hold an expert share its tokens evenly.

    Parameters
    ----------
    held : ndarray of bool, shape (sets, ranks, experts)
        Whether the rank holds a copy of the expert.
    slots : int
        Maximum number of experts that a rank holds in a set.
    """

    __slots__ = ("held", "slots")

    def __init__(self, held: np.ndarray, slots: int) -> None:
        self.held = held
        self.slots = slots

    @classmethod
    def from_lists(cls, lists: IntArray, n_experts: int) -> "ExpertCopies":
        """Build the copies from lists of the experts on each rank.

        Parameters
        ----------
        lists : ndarray of int, shape (sets, ranks, slots)
            The expert in each slot; `EMPTY` for an empty slot.
        n_experts : int
            Number of experts in a set.

        Returns
        -------
        ExpertCopies
        """
        sets, ranks, slots = lists.shape
        held = np.zeros((sets, ranks, n_experts + 1), dtype=bool)
        index = np.where(lists == EMPTY, n_experts, lists)
        np.put_along_axis(held, index, True, axis=2)
        return cls(held[:, :, :n_experts], slots)

    @classmethod
    def round_robin(
        cls, sets: int, ranks: int, n_experts: int, slots: int
    ) -> "ExpertCopies":
        """Return the initial map of a group: one copy each, dealt round-robin."""
        held = np.zeros((sets, ranks, n_experts), dtype=bool)
        experts = np.arange(n_experts)
        held[:, experts % ranks, experts] = True
        return cls(held, slots)

    def lists(self) -> IntArray:
        """Return the experts on each rank as lists.

        Returns
        -------
        ndarray of int, shape (sets, ranks, slots)
            The expert in each slot; `EMPTY` for an empty slot.
        """
        sets, ranks, _ = self.held.shape
        lists = np.full((sets, ranks, self.slots), EMPTY, dtype=np.int16)
        for layer_set in range(sets):
            for rank in range(ranks):
                experts = np.flatnonzero(self.held[layer_set, rank])
                lists[layer_set, rank, : experts.size] = experts
        return lists

    def loads(self, demand: FloatArray) -> FloatArray:
        """Return the load of each rank relative to the mean load of its set.

        Parameters
        ----------
        demand : ndarray of float, shape (sets, experts)
            Share of its set's tokens that goes to each expert.

        Returns
        -------
        ndarray of float, shape (sets, ranks)
        """
        copy_load = demand / self.held.sum(axis=1)
        return np.einsum("sre,se->sr", self.held, copy_load) * self.held.shape[1]

    def skew(self, demand: FloatArray, slowdowns: FloatArray) -> float:
        """Return the slowest rank's time over the time of the mean load.

        Parameters
        ----------
        demand : ndarray of float, shape (sets, experts)
            Share of its set's tokens that goes to each expert.
        slowdowns : ndarray of float, shape (ranks,)
            Ratio of each rank's time for its work to the usual time.

        Returns
        -------
        float
            Averaged over all sets.
        """
        return float((self.loads(demand) * slowdowns).max(axis=1).mean())

    def with_changes(self, changes: list[CopyChange]) -> "ExpertCopies":
        """Return new copies with changes applied.

        Parameters
        ----------
        changes : list of CopyChange
            The changes, in the order in which they are applied.

        Returns
        -------
        ExpertCopies
        """
        held = self.held.copy()
        for change in changes:
            if change.expert != EMPTY:
                held[change.layer_set, change.rank, change.expert] = True
            if change.dropped != EMPTY:
                held[change.layer_set, change.rank, change.dropped] = False

        return ExpertCopies(held, self.slots)

"""Which rank holds copies of which expert, and the copies that help most now."""

from dataclasses import dataclass

import numpy as np

from toucanspool.groups.expert_map import EMPTY, FloatArray, IntArray


@dataclass(slots=True, frozen=True)
class CopyChange:
    """Say that a rank takes a copy of an expert.

    Parameters
    ----------
    layer_set, rank, expert : int
        Where, and which; `EMPTY` where the rank only gives a copy up.
    dropped : int
        The expert whose copy it gives up; `EMPTY` for none.
    """

    layer_set: int
    rank: int
    expert: int
    dropped: int


class ExpertCopies:
    """Hold, for each set of layers, which rank has a copy of which expert.

    The ranks that hold an expert share its tokens evenly.

    Parameters
    ----------
    held : ndarray of bool, shape (sets, ranks, experts)
        Whether the rank has a copy.
    slots : int
        Experts that a rank holds at most, in a set.
    """

    __slots__ = ("held", "slots")

    def __init__(self, held: np.ndarray, slots: int) -> None:
        self.held = held
        self.slots = slots

    @classmethod
    def from_lists(cls, lists: IntArray, n_experts: int) -> "ExpertCopies":
        """Return copies from a map.

        Parameters
        ----------
        lists : ndarray of int, shape (sets, ranks, slots)
            The experts; `EMPTY` for an empty place.
        n_experts : int
            Experts in a set.

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
        """Return the map that a group starts with: experts dealt in turn."""
        held = np.zeros((sets, ranks, n_experts), dtype=bool)
        experts = np.arange(n_experts)
        held[:, experts % ranks, experts] = True
        return cls(held, slots)

    def lists(self) -> IntArray:
        """Return the map as lists of experts.

        Returns
        -------
        ndarray of int, shape (sets, ranks, slots)
        """
        sets, ranks, _ = self.held.shape
        lists = np.full((sets, ranks, self.slots), EMPTY, dtype=np.int16)
        for layer_set in range(sets):
            for rank in range(ranks):
                experts = np.flatnonzero(self.held[layer_set, rank])
                lists[layer_set, rank, : experts.size] = experts
        return lists

    def loads(self, demand: FloatArray) -> FloatArray:
        """Return the load of each rank, the mean of a set being 1.

        Parameters
        ----------
        demand : ndarray of float, shape (sets, experts)
            Each set adds up to 1.

        Returns
        -------
        ndarray of float, shape (sets, ranks)
        """
        each = demand / self.held.sum(axis=1)
        return np.einsum("sre,se->sr", self.held, each) * self.held.shape[1]

    def skew(self, demand: FloatArray, paces: FloatArray) -> float:
        """Return the slowest rank's time over that of the mean load.

        Parameters
        ----------
        demand : ndarray of float, shape (sets, experts)
            Each set adds up to 1.
        paces : ndarray of float, shape (ranks,)
            How many times as long as usual each rank's work takes.

        Returns
        -------
        float
        """
        return float((self.loads(demand) * paces).max(axis=1).mean())

    def with_changes(self, copies: list[CopyChange]) -> "ExpertCopies":
        """Return the copies after changes.

        Parameters
        ----------
        copies : list of CopyChange
            The changes.

        Returns
        -------
        ExpertCopies
        """
        held = self.held.copy()
        for copy in copies:
            if copy.expert != EMPTY:
                held[copy.layer_set, copy.rank, copy.expert] = True
            if copy.dropped != EMPTY:
                held[copy.layer_set, copy.rank, copy.dropped] = False
        return ExpertCopies(held, self.slots)

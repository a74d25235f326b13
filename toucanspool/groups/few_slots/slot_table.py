"""Slots of a group's ranks in all sets of layers, and what filling them costs."""

import numpy as np

from toucanspool.groups.copies import ExpertCopies
from toucanspool.groups.expert_map import IntArray


class SlotTable:
    """Hold the expert in each slot while a search changes it.

    An expert costs a rank one copy unless the rank held it before the search; a copy
    that is dropped again during the search costs nothing.

    Parameters
    ----------
    copies : ExpertCopies
        The copies in use.
    max_per_rank : int
        Maximum number of copies that a rank gets in all sets together.
    max_per_set : int
        Maximum number of copies that a rank gets in one set.

    Attributes
    ----------
    empty : int
        Stands for no expert in `slots`: one more than the highest expert.
    slots : ndarray of int, shape (sets, slots, ranks)
        The expert in each slot. Ranks come last, since numpy is fastest along a long
        last axis.
    held : ndarray of bool, shape (sets, experts + 1, ranks)
        Whether the rank holds the expert.
    kept : ndarray of bool, shape (sets, experts + 1, ranks)
        Whether the expert costs the rank no copy; always so for `empty`.
    copied : ndarray of bool, shape (sets, slots, ranks)
        Whether the expert in the slot costs the rank a copy.
    counts : ndarray of int, shape (sets, experts + 1)
        Number of ranks that hold the expert; 1 for `empty`.
    """

    __slots__ = (
        "_rank_budget",
        "_set_budget",
        "copied",
        "counts",
        "empty",
        "held",
        "kept",
        "slots",
    )

    def __init__(
        self, copies: ExpertCopies, *, max_per_rank: int, max_per_set: int
    ) -> None:
        sets, ranks, experts = copies.held.shape
        self.empty = experts
        self.slots = np.full((sets, copies.slots, ranks), experts)
        set_index, rank_index, held_experts = np.nonzero(copies.held)
        row = set_index * ranks + rank_index
        positions = np.arange(row.size) - np.searchsorted(row, row)
        self.slots[set_index, positions, rank_index] = held_experts
        self.held = np.zeros((sets, experts + 1, ranks), dtype=bool)
        self.held[:, :experts] = copies.held.transpose(0, 2, 1)
        self.kept = self.held.copy()
        self.kept[:, experts] = True
        self.copied = np.zeros(self.slots.shape, dtype=bool)
        self.counts = np.ones((sets, experts + 1), dtype=int)
        self.counts[:, :experts] = copies.held.sum(axis=1)
        self._rank_budget = np.full(ranks, max_per_rank)
        self._set_budget = np.full((sets, ranks), max_per_set)

    def copies(self) -> ExpertCopies:
        """Return the copies that the slots hold now."""
        held = self.held[:, : self.empty].transpose(0, 2, 1).copy()
        return ExpertCopies(held, self.slots.shape[1])

    def has_budget(self, sets: IntArray) -> np.ndarray:
        """Return the mask of ranks that may get another copy.

        Parameters
        ----------
        sets : ndarray of int, shape (n,)
            Indices of sets.

        Returns
        -------
        ndarray of bool, shape (n, ranks)
        """
        return (self._set_budget[sets] > 0) & (self._rank_budget > 0)

    def cells(self, sets: IntArray, experts: IntArray, ranks: IntArray) -> IntArray:
        """Return indices in the flattened arrays `held` and `kept`.

        Taking from a flattened array is several times as fast as indexing it by three
        arrays.

        Parameters
        ----------
        sets, experts, ranks : ndarray of int
            Indices in the arrays; their shapes are broadcast.

        Returns
        -------
        ndarray of int
        """
        _, n_experts, n_ranks = self.held.shape
        return (sets * n_experts + experts) * n_ranks + ranks

    def add(self, layer_set: int, expert: int, rank: int, slot: int) -> bool:
        """Put another copy of an expert into a slot, unless the budget is used up.

        Parameters
        ----------
        layer_set, expert, rank, slot : int
            Where the expert goes; the slot is empty or has an expert that other ranks
            hold as well.

        Returns
        -------
        bool
        """
        if not self._affordable(layer_set, rank, slot, expert):
            return False
        dropped = self._put(layer_set, rank, slot, expert)
        self.counts[layer_set, expert] += 1
        if dropped != self.empty:
            self.counts[layer_set, dropped] -= 1
        return True

    def remove(self, layer_set: int, rank: int, slot: int) -> None:
        """Empty a slot with an expert that other ranks hold as well."""
        dropped = self._put(layer_set, rank, slot, self.empty)
        self.counts[layer_set, dropped] -= 1

    def exchange(
        self, layer_set: int, first: tuple[int, int], second: tuple[int, int]
    ) -> bool:
        """Exchange what two slots hold, unless the budget is used up.

        Parameters
        ----------
        layer_set : int
            Index of the set of layers.
        first, second : tuple of int, int
            Rank and slot. Neither rank holds the other's expert; one slot may be empty.

        Returns
        -------
        bool
        """
        first_expert = int(self.slots[layer_set, first[1], first[0]])
        second_expert = int(self.slots[layer_set, second[1], second[0]])
        if not (
            self._affordable(layer_set, *first, second_expert)
            and self._affordable(layer_set, *second, first_expert)
        ):
            return False
        self._put(layer_set, *first, second_expert)
        self._put(layer_set, *second, first_expert)
        return True

    def _cost(self, layer_set: int, rank: int, slot: int, expert: int) -> int:
        """Return the copies that the rank gets more if an expert fills the slot."""
        refund = int(self.copied[layer_set, slot, rank])
        return int(not self.kept[layer_set, expert, rank]) - refund

    def _affordable(self, layer_set: int, rank: int, slot: int, expert: int) -> bool:
        if self._cost(layer_set, rank, slot, expert) <= 0:
            return True
        return bool(
            self._rank_budget[rank] > 0 and self._set_budget[layer_set, rank] > 0
        )

    def _put(self, layer_set: int, rank: int, slot: int, expert: int) -> int:
        cost = self._cost(layer_set, rank, slot, expert)
        self._rank_budget[rank] -= cost
        self._set_budget[layer_set, rank] -= cost
        dropped = int(self.slots[layer_set, slot, rank])
        self.held[layer_set, dropped, rank] = False
        self.held[layer_set, expert, rank] = expert != self.empty
        self.slots[layer_set, slot, rank] = expert
        self.copied[layer_set, slot, rank] = not self.kept[layer_set, expert, rank]
        return dropped

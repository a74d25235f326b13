"""Completion of a map whose ranks hold what different maps gave them."""

import numpy as np

from toucanspool.groups.expert_map import EMPTY, IntArray


def complete_map(lists: IntArray, n_experts: int) -> IntArray:
    """Return a map with every expert that changes as few slots as possible.

    Parameters
    ----------
    lists : ndarray of int, shape (layer_sets, ranks, slots)
        The expert in each slot; `EMPTY` for an empty slot.
    n_experts : int
        Number of experts in a set, at most the number of slots of all ranks.

    Returns
    -------
    ndarray of int, shape (layer_sets, ranks, slots)
        The same lists with the experts that no rank held. They are spread over the
        ranks, since an engine copies few experts at a time.
    """
    complete = lists.copy()
    for experts in complete:
        added = np.zeros(len(experts), dtype=int)
        for missing in np.setdiff1d(np.arange(n_experts), experts):
            rank, slot = _spare_slot(experts, added, n_experts)
            experts[rank, slot] = missing
            added[rank] += 1
    return complete


def _spare_slot(experts: IntArray, added: IntArray, n_experts: int) -> tuple[int, int]:
    """Return a slot that is empty or holds one of several copies of an expert."""
    copies = np.bincount(experts[experts != EMPTY], minlength=n_experts)
    spare = (experts == EMPTY) | (copies[experts] > 1)
    ranks, slots = np.nonzero(spare)
    best = np.lexsort((-copies[experts[ranks, slots]], added[ranks]))[0]
    return int(ranks[best]), int(slots[best])

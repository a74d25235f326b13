"""Greedy search for copies of experts that balance the load of a group's ranks."""

import numpy as np

from toucanspool.groups.copies import CopyChange, ExpertCopies
from toucanspool.groups.expert_map import EMPTY, FloatArray, IntArray

# Number of experts of the slowest rank for which another copy is tried.
HOT_EXPERTS_TRIED = 4
# Exponent of the power mean; a higher one brings it closer to the largest time.
NORM_POWER = 12.0


class CopySearch:
    """Search for the changes that lower the times of the slowest ranks most.

    Each step takes the one change, in any set, that lowers a smooth maximum of the
    ranks' times most. A rank that gets a copy fills an empty slot or drops a copy
    that other ranks also hold.

    Parameters
    ----------
    copies : ExpertCopies
        The copies in use.
    demand : ndarray of float, shape (sets, experts)
        Share of its set's tokens that goes to each expert.
    slowdowns : ndarray of float, shape (ranks,)
        Ratio of each rank's time for its work to the usual time.
    """

    __slots__ = (
        "_copies",
        "_counts",
        "_demand",
        "_held",
        "_budget",
        "_set_budget",
        "_loads",
        "_slowdowns",
    )

    def __init__(
        self, copies: ExpertCopies, demand: FloatArray, slowdowns: FloatArray
    ) -> None:
        self._copies = copies
        self._slowdowns = slowdowns
        self._held = copies.held.copy()
        self._demand = demand * copies.held.shape[1]
        self._counts = self._held.sum(axis=1)
        self._loads = copies.loads(demand)
        self._budget: IntArray
        self._set_budget: IntArray

    def run(
        self, *, max_per_rank: int, max_per_set: int, min_gain: float
    ) -> list[CopyChange]:
        """Return the changes to make, in order.

        Parameters
        ----------
        max_per_rank : int
            Maximum number of copies that a rank gets in all sets together.
        max_per_set : int
            Maximum number of copies that a rank gets in one set.
        min_gain : float
            Minimum reduction of a set's smooth maximum by a change.

        Returns
        -------
        list of CopyChange
        """
        sets, ranks, _ = self._held.shape
        self._budget = np.full(ranks, max_per_rank)
        self._set_budget = np.full((sets, ranks), max_per_set)
        changes: list[CopyChange] = []
        best_changes = [self._best_change(layer_set) for layer_set in range(sets)]
        while True:
            layer_set = int(np.argmax([gain for gain, _ in best_changes]))
            gain, change = best_changes[layer_set]
            if change is None or gain < min_gain:
                return changes
            if change.expert != EMPTY and not self._has_budget(layer_set)[change.rank]:
                best_changes[layer_set] = self._best_change(layer_set)
                continue
            self._apply(change)
            changes.append(change)
            best_changes[layer_set] = self._best_change(layer_set)

    def _best_change(self, layer_set: int) -> tuple[float, CopyChange | None]:
        loads = self._loads[layer_set]
        slowdowns = self._slowdowns
        held = self._held[layer_set]
        counts = self._counts[layer_set]
        demand = self._demand[layer_set]
        copy_load = demand / counts
        slowest = int((loads * slowdowns).argmax())
        hot_experts = np.argsort(np.where(held[slowest], copy_load, -1.0))[::-1][
            :HOT_EXPERTS_TRIED
        ]
        smooth_max = _smooth_max((loads * slowdowns)[None, :])[0]
        best_gain, best_change = self._best_removal(layer_set, slowest, smooth_max)
        ranks, dropped = self._candidate_ranks(layer_set)
        for expert in hot_experts:
            fits = ~held[ranks, expert]
            if not held[slowest, expert] or not fits.any():
                continue
            share_drop = copy_load[expert] - demand[expert] / (counts[expert] + 1)
            base = loads - np.where(held[:, expert], share_drop, 0.0)
            receivers, drops = ranks[fits], dropped[fits]
            trials = np.repeat(base[None, :], receivers.size, axis=0)
            trial_index = np.arange(receivers.size)
            trials[trial_index, receivers] += demand[expert] / (counts[expert] + 1)
            swaps = np.flatnonzero(drops != EMPTY)
            swapped_out = drops[swaps]
            extra = (
                demand[swapped_out] / (counts[swapped_out] - 1) - copy_load[swapped_out]
            )
            trials[swaps] += held[:, swapped_out].T * extra[:, None]
            trials[swaps, receivers[swaps]] -= copy_load[swapped_out] + extra
            gains = smooth_max - _smooth_max(trials * slowdowns)
            index = int(gains.argmax())
            if gains[index] > best_gain:
                best_gain = float(gains[index])
                best_change = CopyChange(
                    layer_set, int(receivers[index]), int(expert), int(drops[index])
                )
        return best_gain, best_change

    def _has_budget(self, layer_set: int) -> np.ndarray:
        """Return the mask of ranks that may get another copy in a set."""
        return (self._budget > 0) & (self._set_budget[layer_set] > 0)

    def _candidate_ranks(self, layer_set: int) -> tuple[IntArray, IntArray]:
        """Return ranks that may get a copy, paired with what they would drop.

        Parameters
        ----------
        layer_set : int
            Index of the set of layers.

        Returns
        -------
        ranks, dropped : ndarray of int, shape (n,)
            Ranks and experts; `EMPTY` where a rank has an empty slot.
        """
        held, counts = self._held[layer_set], self._counts[layer_set]
        has_budget = self._has_budget(layer_set)
        full = held.sum(axis=1) >= self._copies.slots
        free_ranks = np.flatnonzero(has_budget & ~full)
        droppable = held & (counts > 1) & (has_budget & full)[:, None]
        ranks, dropped = np.nonzero(droppable)
        return (
            np.concatenate([free_ranks, ranks]),
            np.concatenate([np.full(free_ranks.size, EMPTY), dropped]),
        )

    def _best_removal(
        self, layer_set: int, rank: int, smooth_max: float
    ) -> tuple[float, CopyChange | None]:
        """Return the removal of a rank's copy that lowers the maximum most."""
        held = self._held[layer_set]
        counts = self._counts[layer_set]
        demand = self._demand[layer_set]
        droppable = np.flatnonzero(held[rank] & (counts > 1))
        if not droppable.size:
            return 0.0, None
        copy_load = demand[droppable] / counts[droppable]
        extra = demand[droppable] / (counts[droppable] - 1) - copy_load
        trials = self._loads[layer_set] + held[:, droppable].T * extra[:, None]
        trials[:, rank] -= copy_load + extra
        gains = smooth_max - _smooth_max(trials * self._slowdowns)
        index = int(gains.argmax())
        if gains[index] <= 0.0:
            return 0.0, None
        return float(gains[index]), CopyChange(
            layer_set, rank, EMPTY, int(droppable[index])
        )

    def _apply(self, change: CopyChange) -> None:
        layer_set = change.layer_set
        if change.expert != EMPTY:
            self._held[layer_set, change.rank, change.expert] = True
            self._budget[change.rank] -= 1
            self._set_budget[layer_set, change.rank] -= 1
        if change.dropped != EMPTY:
            self._held[layer_set, change.rank, change.dropped] = False
        self._counts[layer_set] = self._held[layer_set].sum(axis=0)
        self._loads[layer_set] = self._held[layer_set] @ (
            self._demand[layer_set] / self._counts[layer_set]
        )


def _smooth_max(times: FloatArray) -> FloatArray:
    """Return the power mean of each row."""
    return (times**NORM_POWER).mean(axis=1) ** (1.0 / NORM_POWER)

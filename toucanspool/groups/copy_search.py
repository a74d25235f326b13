"""The search for the copies of experts that help most now."""

import numpy as np

from toucanspool.groups.copies import CopyChange, ExpertCopies
from toucanspool.groups.expert_map import EMPTY, FloatArray, IntArray

# Experts of the most loaded rank that are tried for another copy.
HOTTEST = 4
# The higher, the nearer is the smooth maximum to the largest load.
POWER = 12.0


class CopySearch:
    """Find the copies that lower the load of the most loaded ranks most.

    Each step adds the one copy, in any set, that lowers a smooth maximum of the
    ranks' loads most; the rank that takes it gives up a copy that others hold too,
    or fills an empty place.

    Parameters
    ----------
    copies : ExpertCopies
        Those in force.
    demand : ndarray of float, shape (sets, experts)
        Each set adds up to 1.
    paces : ndarray of float, shape (ranks,)
        How many times as long as usual each rank's work takes.
    """

    __slots__ = (
        "_copies",
        "_counts",
        "_demand",
        "_held",
        "_left",
        "_left_in_set",
        "_loads",
        "_paces",
    )

    def __init__(
        self, copies: ExpertCopies, demand: FloatArray, paces: FloatArray
    ) -> None:
        self._copies = copies
        self._paces = paces
        self._held = copies.held.copy()
        self._demand = demand * copies.held.shape[1]
        self._counts = self._held.sum(axis=1)
        self._loads = copies.loads(demand)
        self._left: IntArray
        self._left_in_set: IntArray

    def run(
        self, *, max_per_rank: int, max_per_set: int, min_gain: float
    ) -> list[CopyChange]:
        """Return the copies to make.

        Parameters
        ----------
        max_per_rank : int
            Copies that a rank takes at most, in all sets together.
        max_per_set : int
            Copies that a rank takes at most in a set.
        min_gain : float
            The least that a copy must take off a set's smooth maximum.

        Returns
        -------
        list of CopyChange
        """
        sets, ranks, _ = self._held.shape
        self._left = np.full(ranks, max_per_rank)
        self._left_in_set = np.full((sets, ranks), max_per_set)
        found: list[CopyChange] = []
        best = [self._best(layer_set) for layer_set in range(sets)]
        while True:
            layer_set = int(np.argmax([gain for gain, _ in best]))
            gain, copy = best[layer_set]
            if copy is None or gain < min_gain:
                return found
            if copy.expert != EMPTY and not self._may_take(layer_set)[copy.rank]:
                best[layer_set] = self._best(layer_set)
                continue
            self._apply(copy)
            found.append(copy)
            best[layer_set] = self._best(layer_set)

    def _best(self, layer_set: int) -> tuple[float, CopyChange | None]:
        loads = self._loads[layer_set]
        paces = self._paces
        held = self._held[layer_set]
        counts = self._counts[layer_set]
        demand = self._demand[layer_set]
        each = demand / counts
        top = int((loads * paces).argmax())
        hottest = np.argsort(np.where(held[top], each, -1.0))[::-1][:HOTTEST]
        before = _smooth_max((loads * paces)[None, :])[0]
        best_gain, best = self._best_drop(layer_set, top, before)
        ranks, dropped = self._places_for_copies(layer_set)
        for expert in hottest:
            fits = ~held[ranks, expert]
            if not held[top, expert] or not fits.any():
                continue
            cut = each[expert] - demand[expert] / (counts[expert] + 1)
            base = loads - np.where(held[:, expert], cut, 0.0)
            takers, drops = ranks[fits], dropped[fits]
            trials = np.repeat(base[None, :], takers.size, axis=0)
            rows = np.arange(takers.size)
            trials[rows, takers] += demand[expert] / (counts[expert] + 1)
            swaps = np.flatnonzero(drops != EMPTY)
            given_up = drops[swaps]
            more = demand[given_up] / (counts[given_up] - 1) - each[given_up]
            trials[swaps] += held[:, given_up].T * more[:, None]
            trials[swaps, takers[swaps]] -= each[given_up] + more
            gains = before - _smooth_max(trials * paces)
            index = int(gains.argmax())
            if gains[index] > best_gain:
                best_gain = float(gains[index])
                best = CopyChange(
                    layer_set, int(takers[index]), int(expert), int(drops[index])
                )
        return best_gain, best

    def _may_take(self, layer_set: int) -> np.ndarray:
        """Return which ranks may take a copy in a set, as a mask."""
        return (self._left > 0) & (self._left_in_set[layer_set] > 0)

    def _places_for_copies(self, layer_set: int) -> tuple[IntArray, IntArray]:
        """Return ranks that may take a copy, each with what it would give up.

        Parameters
        ----------
        layer_set : int
            The set.

        Returns
        -------
        ranks, dropped : ndarray of int, shape (n,)
            Pairs; `EMPTY` where a rank has an empty place.
        """
        held, counts = self._held[layer_set], self._counts[layer_set]
        may_take = self._may_take(layer_set)
        full = held.sum(axis=1) >= self._copies.slots
        roomy = np.flatnonzero(may_take & ~full)
        spare = held & (counts > 1) & (may_take & full)[:, None]
        ranks, dropped = np.nonzero(spare)
        return (
            np.concatenate([roomy, ranks]),
            np.concatenate([np.full(roomy.size, EMPTY), dropped]),
        )

    def _best_drop(
        self, layer_set: int, rank: int, before: float
    ) -> tuple[float, CopyChange | None]:
        """Return the copy that a rank had better give up to the others that hold it."""
        held = self._held[layer_set]
        counts = self._counts[layer_set]
        demand = self._demand[layer_set]
        spare = np.flatnonzero(held[rank] & (counts > 1))
        if not spare.size:
            return 0.0, None
        each = demand[spare] / counts[spare]
        more = demand[spare] / (counts[spare] - 1) - each
        trials = self._loads[layer_set] + held[:, spare].T * more[:, None]
        trials[:, rank] -= each + more
        gains = before - _smooth_max(trials * self._paces)
        index = int(gains.argmax())
        if gains[index] <= 0.0:
            return 0.0, None
        return float(gains[index]), CopyChange(
            layer_set, rank, EMPTY, int(spare[index])
        )

    def _apply(self, copy: CopyChange) -> None:
        s = copy.layer_set
        if copy.expert != EMPTY:
            self._held[s, copy.rank, copy.expert] = True
            self._left[copy.rank] -= 1
            self._left_in_set[s, copy.rank] -= 1
        if copy.dropped != EMPTY:
            self._held[s, copy.rank, copy.dropped] = False
        self._counts[s] = self._held[s].sum(axis=0)
        self._loads[s] = self._held[s] @ (self._demand[s] / self._counts[s])


def _smooth_max(loads: FloatArray) -> FloatArray:
    return (loads**POWER).mean(axis=1) ** (1.0 / POWER)

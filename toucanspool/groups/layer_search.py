"""Local search for better placements of one layer's experts."""

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from toucanspool.groups.expert_map import EMPTY, FloatArray, IntArray
from toucanspool.groups.split import Split

# Slots tried for each expert of the slowest rank, and copies tried in each step.
MAX_CANDIDATES = 4
# Rounds of solving the shares of a candidate.
TRIAL_SOLVE_ROUNDS = 16
# Minimum reduction of the squared excess by a step, as a fraction.
MIN_PROGRESS = 1e-3


@dataclass(slots=True, frozen=True)
class Move:
    """Describe a copy of an expert to load into a rank's slot.

    Parameters
    ----------
    layer : int
        Index of the layer.
    rank : int
        The rank that loads the copy.
    slot : int
        The slot of the rank.
    expert : int
        The expert to load.
    replaced : int
        The expert that the slot holds before; `EMPTY` for an empty slot.
    """

    layer: int
    rank: int
    slot: int
    expert: int
    replaced: int


@dataclass(slots=True, eq=False)
class LayerPlacement:
    """Hold a placement of one layer and the resulting times.

    Parameters
    ----------
    experts : ndarray of int, shape (ranks, slots)
        The expert in each slot.
    shares : ndarray of float, shape (ranks, slots)
        Share of its expert's tokens that each slot gets.
    times : ndarray of float, shape (ranks,)
        Load divided by speed, for each rank.
    peak : float
        Time of the slowest rank.
    moves : tuple of Move
        The moves that lead here from the placement in use.
    """

    experts: IntArray
    shares: FloatArray
    times: FloatArray
    peak: float
    moves: tuple[Move, ...] = ()


class LayerSearch:
    """Improve the placement of one layer by single copies and swaps.

    Each step copies an expert of the slowest rank to a slot that is empty or holds
    a dispensable copy. If no such slot helps, two ranks swap an expert. Shares are
    solved again after each step.

    Progress is measured by the sum of squared times above the ideal time, because
    one step seldom lowers the maximum while several ranks share it.

    Parameters
    ----------
    layer : int
        Index of the layer.
    loads : ndarray of float, shape (n_experts,)
        Tokens of each expert, in any unit.
    speeds : ndarray of float, shape (ranks,)
        Relative speed of each rank; 1 is normal.
    split : Split
        Split of tokens over copies.
    """

    __slots__ = ("_loads", "_speeds", "_split", "ideal_time", "layer")

    def __init__(
        self, layer: int, loads: FloatArray, speeds: FloatArray, split: Split
    ) -> None:
        self.layer = layer
        self._loads = loads
        self._speeds = speeds
        self._split = split
        self.ideal_time = float(loads.sum() / speeds.sum())

    def evaluate(
        self,
        experts: IntArray,
        shares: FloatArray,
        moves: tuple[Move, ...] = (),
        *,
        rounds: int = 0,
    ) -> LayerPlacement:
        """Compute the times of a placement.

        Parameters
        ----------
        experts : ndarray of int, shape (ranks, slots)
            The expert in each slot.
        shares : ndarray of float, shape (ranks, slots)
            Shares of the slots, or the start values for solving them.
        moves : tuple of Move
            The moves that lead to the placement.
        rounds : int, default=0
            Maximum number of rounds of solving; 0 keeps the shares.

        Returns
        -------
        LayerPlacement
        """
        if rounds:
            shares = self._split.shares(
                experts, self._loads, self._speeds, shares, rounds=rounds
            )
        times = (self._expert_loads(experts) * shares).sum(axis=1) / self._speeds
        return LayerPlacement(experts, shares, times, float(times.max()), moves)

    def improvements(self, start: LayerPlacement) -> Iterator[LayerPlacement | None]:
        """Generate placements, each better than the one before.

        Parameters
        ----------
        start : LayerPlacement
            The placement to improve.

        Yields
        ------
        LayerPlacement or None
            None after a candidate without progress, so that the caller can pause.
        """
        current = start
        while True:
            found = None
            for moves in self._candidates(current):
                trial = self._apply_moves(current, moves)
                if self._squared_excess(trial) < (
                    1.0 - MIN_PROGRESS
                ) * self._squared_excess(current):
                    found = trial
                    break
                yield None
            if found is None:
                return
            current = found
            yield current

    def _candidates(self, current: LayerPlacement) -> Iterator[tuple[Move, ...]]:
        yield from self._copy_candidates(current)
        swap = self._best_swap(current)
        if swap:
            yield swap

    def _apply_moves(
        self, current: LayerPlacement, moves: tuple[Move, ...]
    ) -> LayerPlacement:
        experts = current.experts.copy()
        shares = current.shares.copy()
        for move in moves:
            experts[move.rank, move.slot] = move.expert
            shares[move.rank, move.slot] = 0.0 if len(moves) == 1 else 1.0
        return self.evaluate(
            experts, shares, current.moves + moves, rounds=TRIAL_SOLVE_ROUNDS
        )

    def _squared_excess(self, placement: LayerPlacement) -> float:
        """Return the sum of squared times above the ideal time, weighted by speed."""
        excess_times = np.maximum(placement.times - self.ideal_time, 0.0)
        return float(self._speeds @ excess_times**2)

    def _expert_loads(self, experts: IntArray) -> FloatArray:
        return np.where(experts == EMPTY, 0.0, self._loads[np.maximum(experts, 0)])

    def _copy_candidates(self, current: LayerPlacement) -> list[tuple[Move, ...]]:
        """Return the most promising copies of the slowest rank's experts."""
        source = int(current.times.argmax())
        slot_loads = self._expert_loads(current.experts) * current.shares
        headroom = self.ideal_time * self._speeds - current.times * self._speeds
        losses = self._eviction_losses(current.experts, slot_loads, headroom)
        spare_load = np.maximum(headroom[:, None] + slot_loads, 0.0)
        excess_load = -headroom[source]
        scored = []
        for slot, expert in enumerate(current.experts[source]):
            if expert == EMPTY or slot_loads[source, slot] <= 0.0:
                continue
            gains = (
                np.minimum(spare_load, min(slot_loads[source, slot], excess_load))
                - losses
            )
            gains[(current.experts == expert).any(axis=1)] = -np.inf
            for slot_index in np.argsort(-gains, axis=None)[:MAX_CANDIDATES]:
                scored.append(
                    (float(gains.flat[slot_index]), int(expert), int(slot_index))
                )
        scored.sort(reverse=True)
        return [
            (self._move(current, slot_index, expert),)
            for score, expert, slot_index in scored[:MAX_CANDIDATES]
            if score > 0.0
        ]

    def _eviction_losses(
        self, experts: IntArray, slot_loads: FloatArray, headroom: FloatArray
    ) -> FloatArray:
        """Return the load that other copies can't absorb, for each slot emptied."""
        used = experts != EMPTY
        index = np.maximum(experts, 0)
        n_experts = self._loads.size
        copy_counts = np.bincount(experts[used], minlength=n_experts)
        rank_headroom = np.broadcast_to(
            np.maximum(headroom, 0.0)[:, None], experts.shape
        )
        expert_headroom = np.bincount(
            experts[used], rank_headroom[used], minlength=n_experts
        )
        losses = np.maximum(slot_loads - (expert_headroom[index] - rank_headroom), 0.0)
        losses[used & (copy_counts[index] < 2)] = np.inf
        return np.where(used, losses, 0.0)

    def _best_swap(self, current: LayerPlacement) -> tuple[Move, ...]:
        """Return the swap that lowers the slowest rank's time most, or nothing."""
        source = int(current.times.argmax())
        slot_loads = self._expert_loads(current.experts) * current.shares
        rank_loads = current.times * self._speeds
        best, best_time = (), current.times[source]
        for slot, expert in enumerate(current.experts[source]):
            if expert == EMPTY:
                continue
            load_shift = slot_loads[source, slot] - slot_loads
            source_time = (rank_loads[source] - load_shift) / self._speeds[source]
            other_times = (rank_loads[:, None] + load_shift) / self._speeds[:, None]
            peaks = np.maximum(source_time, other_times)
            peaks[(current.experts == expert).any(axis=1)] = np.inf
            peaks[np.isin(current.experts, current.experts[source])] = np.inf
            peaks[current.experts == EMPTY] = np.inf
            slot_index = int(peaks.argmin())
            if peaks.flat[slot_index] < best_time:
                best_time = peaks.flat[slot_index]
                other_expert = int(current.experts.flat[slot_index])
                return_move = self._move(
                    current, source * current.experts.shape[1] + slot, other_expert
                )
                best = (self._move(current, slot_index, int(expert)), return_move)
        return best

    def _move(self, current: LayerPlacement, slot_index: int, expert: int) -> Move:
        rank, slot = divmod(slot_index, current.experts.shape[1])
        return Move(self.layer, rank, slot, expert, int(current.experts[rank, slot]))

"""The search for moves of one layer's experts, one small step at a time."""

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from toucanspool.groups.expert_map import EMPTY, FloatArray, IntArray
from toucanspool.groups.split import Split

TRIES = 4
TRY_ROUNDS = 16
MIN_PROGRESS = 1e-3


@dataclass(slots=True, frozen=True)
class Move:
    """Say that a rank's slot takes a copy of an expert.

    Parameters
    ----------
    layer : int
        The layer.
    rank : int
        The rank that loads the copy.
    slot : int
        Its slot.
    expert : int
        The expert loaded.
    replaced : int
        The expert that the slot held, or `EMPTY`.
    """

    layer: int
    rank: int
    slot: int
    expert: int
    replaced: int


@dataclass(slots=True, eq=False)
class Placing:
    """Hold a placement of one layer and the times that it gives.

    Parameters
    ----------
    experts : ndarray of int, shape (ranks, slots)
        The expert in each slot.
    shares : ndarray of float, shape (ranks, slots)
        Part of its expert's tokens that each slot gets.
    times : ndarray of float, shape (ranks,)
        Load over speed of each rank.
    peak : float
        The slowest rank's time.
    moves : tuple of Move
        How it was reached from the placement in force.
    """

    experts: IntArray
    shares: FloatArray
    times: FloatArray
    peak: float
    moves: tuple[Move, ...] = ()


class LayerSearch:
    """Find ever better placements of one layer by single copies and swaps.

    Each step takes an expert of the slowest rank to a slot that is empty or
    holds a copy that others can do without; where no such slot helps, two ranks
    swap an expert. Shares are solved anew after each step. A step counts as
    progress by the sum of squared times over the mean, since one step seldom
    lowers the maximum while several ranks share it.

    Parameters
    ----------
    layer : int
        The layer.
    loads : ndarray of float, shape (n_experts,)
        Tokens of each expert, in any unit.
    speeds : ndarray of float, shape (ranks,)
        Speed of each rank; 1 is normal.
    split : Split
        How copies share tokens.
    """

    __slots__ = ("_loads", "_speeds", "_split", "layer", "target")

    def __init__(
        self, layer: int, loads: FloatArray, speeds: FloatArray, split: Split
    ) -> None:
        self.layer = layer
        self._loads = loads
        self._speeds = speeds
        self._split = split
        self.target = float(loads.sum() / speeds.sum())

    def placing(
        self,
        experts: IntArray,
        shares: FloatArray,
        moves: tuple[Move, ...] = (),
        *,
        rounds: int = 0,
    ) -> Placing:
        """Return a placement with its times.

        Parameters
        ----------
        experts : ndarray of int, shape (ranks, slots)
            The expert in each slot.
        shares : ndarray of float, shape (ranks, slots)
            Shares, or where to start solving them.
        moves : tuple of Move
            How it was reached.
        rounds : int, default=0
            Rounds of solving; 0 keeps the shares.

        Returns
        -------
        Placing
        """
        if rounds:
            shares = self._split.shares(
                experts, self._loads, self._speeds, shares, rounds=rounds
            )
        times = (self._slot_loads(experts) * shares).sum(axis=1) / self._speeds
        return Placing(experts, shares, times, float(times.max()), moves)

    def steps(self, start: Placing) -> Iterator[Placing | None]:
        """Generate better and better placements.

        Parameters
        ----------
        start : Placing
            The first one.

        Yields
        ------
        Placing or None
            None after a try without progress, so that the caller may pause.
        """
        current = start
        while True:
            found = None
            for moves in self._candidates(current):
                trial = self._after(current, moves)
                if self._excess(trial) < (1.0 - MIN_PROGRESS) * self._excess(current):
                    found = trial
                    break
                yield None
            if found is None:
                return
            current = found
            yield current

    def _candidates(self, at: Placing) -> Iterator[tuple[Move, ...]]:
        yield from self._copies(at)
        swap = self._swap(at)
        if swap:
            yield swap

    def _after(self, at: Placing, moves: tuple[Move, ...]) -> Placing:
        experts = at.experts.copy()
        shares = at.shares.copy()
        for move in moves:
            experts[move.rank, move.slot] = move.expert
            shares[move.rank, move.slot] = 0.0 if len(moves) == 1 else 1.0
        return self.placing(experts, shares, at.moves + moves, rounds=TRY_ROUNDS)

    def _excess(self, at: Placing) -> float:
        over = np.maximum(at.times - self.target, 0.0)
        return float(self._speeds @ over**2)

    def _slot_loads(self, experts: IntArray) -> FloatArray:
        return np.where(experts == EMPTY, 0.0, self._loads[np.maximum(experts, 0)])

    def _copies(self, at: Placing) -> list[tuple[Move, ...]]:
        source = int(at.times.argmax())
        parts = self._slot_loads(at.experts) * at.shares
        room = self.target * self._speeds - at.times * self._speeds
        loss = self._loss(at.experts, parts, room)
        here = np.maximum(room[:, None] + parts, 0.0)
        excess = -room[source]
        scored = []
        for slot, expert in enumerate(at.experts[source]):
            if expert == EMPTY or parts[source, slot] <= 0.0:
                continue
            gain = np.minimum(here, min(parts[source, slot], excess)) - loss
            gain[(at.experts == expert).any(axis=1)] = -np.inf
            for flat in np.argsort(-gain, axis=None)[:TRIES]:
                scored.append((float(gain.flat[flat]), int(expert), int(flat)))
        scored.sort(reverse=True)
        return [
            (self._move(at, flat, expert),)
            for score, expert, flat in scored[:TRIES]
            if score > 0.0
        ]

    def _loss(
        self, experts: IntArray, parts: FloatArray, room: FloatArray
    ) -> FloatArray:
        used = experts != EMPTY
        index = np.maximum(experts, 0)
        size = self._loads.size
        copies = np.bincount(experts[used], minlength=size)
        free = np.broadcast_to(np.maximum(room, 0.0)[:, None], experts.shape)
        free_by_expert = np.bincount(experts[used], free[used], minlength=size)
        loss = np.maximum(parts - (free_by_expert[index] - free), 0.0)
        loss[used & (copies[index] < 2)] = np.inf
        return np.where(used, loss, 0.0)

    def _swap(self, at: Placing) -> tuple[Move, ...]:
        source = int(at.times.argmax())
        parts = self._slot_loads(at.experts) * at.shares
        load = at.times * self._speeds
        best, best_time = (), at.times[source]
        for slot, expert in enumerate(at.experts[source]):
            if expert == EMPTY:
                continue
            change = parts[source, slot] - parts
            here = (load[source] - change) / self._speeds[source]
            there = (load[:, None] + change) / self._speeds[:, None]
            worst = np.maximum(here, there)
            worst[(at.experts == expert).any(axis=1)] = np.inf
            worst[np.isin(at.experts, at.experts[source])] = np.inf
            worst[at.experts == EMPTY] = np.inf
            flat = int(worst.argmin())
            if worst.flat[flat] < best_time:
                best_time = worst.flat[flat]
                other = int(at.experts.flat[flat])
                back = self._move(at, source * at.experts.shape[1] + slot, other)
                best = (self._move(at, flat, int(expert)), back)
        return best

    def _move(self, at: Placing, flat: int, expert: int) -> Move:
        rank, slot = divmod(flat, at.experts.shape[1])
        return Move(self.layer, rank, slot, expert, int(at.experts[rank, slot]))

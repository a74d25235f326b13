"""The choice of moves that pay for a group's experts."""

from collections.abc import Generator, Iterator
from dataclasses import dataclass, field

import numpy as np

from toucanspool.groups.expert_map import ExpertMap, FloatArray
from toucanspool.groups.layer_search import LayerSearch, Move, Placing
from toucanspool.groups.split import SOLVE_ROUNDS, SolvedSplit, Split, as_weights

__all__ = ["Move", "PlacementSettings", "Plan", "Planner"]

LOOK_AHEAD_MOVES = 12


@dataclass(slots=True, frozen=True)
class PlacementSettings:
    """Weigh step time against moves.

    A move pays if ``skew_weight`` times the step time that it saves over the
    horizon is more than ``move_weight`` times the time that the weight store
    takes for its bytes.

    Parameters
    ----------
    skew_weight : float, default=1.0
        Worth of a second of step time. Raise it where callers wait on every
        step, as at Kettlewell.
    move_weight : float, default=1.0
        Worth of a second of the weight store. Raise it where loading weights
        holds up other work, as at Blue Mahoe.
    horizon_s : float, default=300.0
        How long a gain is thought to last, in seconds.
    expert_bytes : float, default=44e6
        Size of one expert's weights in one layer.
    store_bytes_per_s : float, default=1e9
        Rate of the weight store for this group.
    max_load_s : float, default=10.0
        The most time that the copies of one plan may take to load.
    switch_s : float, default=0.5
        Time that a change of map costs the group.
    min_gain : float, default=0.01
        Smallest gain of a plan, as a part of the step time.
    noise_sigmas : float, default=4.0
        A layer's gain must exceed this many standard errors of its slowest
        rank's load.
    """

    skew_weight: float = 1.0
    move_weight: float = 1.0
    horizon_s: float = 300.0
    expert_bytes: float = 44e6
    store_bytes_per_s: float = 1e9
    max_load_s: float = 10.0
    switch_s: float = 0.5
    min_gain: float = 0.01
    noise_sigmas: float = 4.0

    @property
    def move_cost(self) -> float:
        """Return the weighted cost of one copy, in seconds."""
        return self.move_weight * self.expert_bytes / self.store_bytes_per_s

    @property
    def max_moves(self) -> int:
        """Return the most copies that one plan may load."""
        return int(self.max_load_s * self.store_bytes_per_s / self.expert_bytes)

    def worth(self, gain: float) -> float:
        """Return the weighted worth of a gain, in seconds.

        Parameters
        ----------
        gain : float
            Part of the step time saved.

        Returns
        -------
        float
        """
        return self.skew_weight * self.horizon_s * gain


@dataclass(slots=True, frozen=True, eq=False)
class Plan:
    """Hold a new map and what it is worth.

    Parameters
    ----------
    map : ExpertMap
        The new map.
    moves : tuple of Move
        Copies to load first; none where only shares change.
    gain : float
        Expected part of the step time saved.
    skew_before : float
        Expected largest over mean step time now, over all layers.
    skew_after : float
        The same with the new map.
    load_bytes : float
        Bytes to load from the weight store.
    reason : str
        One plain sentence.
    """

    map: ExpertMap
    moves: tuple[Move, ...]
    gain: float
    skew_before: float
    skew_after: float
    load_bytes: float
    reason: str


@dataclass(slots=True, eq=False)
class _Draft:
    """Hold the changed layers of a plan in the making."""

    chosen: dict[int, Placing] = field(default_factory=dict)
    room: int = 0


class Planner:
    """Change a map in few moves, each of which pays.

    Parameters
    ----------
    cfg : PlacementSettings
        The weights.
    split : Split, optional
        How copies share tokens; `SolvedSplit` if left out.
    """

    __slots__ = ("_cfg", "_split")

    def __init__(self, cfg: PlacementSettings, *, split: Split | None = None) -> None:
        self._cfg = cfg
        self._split = split or SolvedSplit()

    def plan(
        self,
        map_: ExpertMap,
        loads: FloatArray,
        speeds: FloatArray,
        *,
        errors: FloatArray | None = None,
    ) -> Plan | None:
        """Return a plan in one go; see `plan_slices`."""
        slices = self.plan_slices(map_, loads, speeds, errors=errors)
        while True:
            try:
                next(slices)
            except StopIteration as stop:
                return stop.value

    def plan_slices(
        self,
        map_: ExpertMap,
        loads: FloatArray,
        speeds: FloatArray,
        *,
        errors: FloatArray | None = None,
    ) -> Generator[None, None, Plan | None]:
        """Work out a plan in slices of a few milliseconds.

        Parameters
        ----------
        map_ : ExpertMap
            The map in force.
        loads : ndarray of float, shape (layers, n_experts)
            Tokens of each expert; each layer adds up to 1.
        speeds : ndarray of float, shape (ranks,)
            Speed of each rank; 1 is normal.
        errors : ndarray of float, shape (layers, n_experts), optional
            Standard errors of `loads`; 0 if left out.

        Yields
        ------
        None
            After each slice.

        Returns
        -------
        Plan or None
            None where nothing pays.
        """
        loads, speeds = loads.copy(), speeds.copy()
        errors = np.zeros_like(loads) if errors is None else errors.copy()
        times = map_.rank_loads(loads) / speeds
        peaks = times.max(axis=1)
        floor = float(loads[0].sum() / speeds.sum())
        noise = self._noise(map_, errors, times, speeds)
        yield
        draft = _Draft(room=self._cfg.max_moves)
        worth_a_look = peaks - floor > noise
        for layer in np.argsort(-peaks):
            if not worth_a_look[layer]:
                continue
            search = LayerSearch(int(layer), loads[layer], speeds, self._split)
            yield from self._solve(search, map_, int(layer), peaks, noise[layer], draft)
        return self._finish(map_, draft, peaks, times)

    def _noise(
        self,
        map_: ExpertMap,
        errors: FloatArray,
        times: FloatArray,
        speeds: FloatArray,
    ) -> FloatArray:
        variance = ((map_.gather(errors) * map_.shares) ** 2).sum(axis=2)
        late = times.argmax(axis=1)
        layer = np.arange(map_.layers)
        return self._cfg.noise_sigmas * np.sqrt(variance[layer, late]) / speeds[late]

    def _solve(
        self,
        search: LayerSearch,
        map_: ExpertMap,
        layer: int,
        peaks: FloatArray,
        noise: float,
        draft: _Draft,
    ) -> Iterator[None]:
        before, total = float(peaks[layer]), float(peaks.sum())
        best = search.placing(
            map_.experts[layer].astype(int), map_.shares[layer], rounds=SOLVE_ROUNDS
        )
        best_net = self._cfg.worth((before - best.peak) / total)
        yield
        most = min(LOOK_AHEAD_MOVES, draft.room)
        for placing in search.steps(best):
            yield
            if placing is None:
                continue
            if len(placing.moves) > most:
                break
            cost = self._cfg.move_cost * len(placing.moves)
            net = self._cfg.worth((before - placing.peak) / total) - cost
            if net > best_net:
                best, best_net = placing, net
            bound = self._cfg.worth((before - search.target) / total) - cost
            if bound - self._cfg.move_cost <= best_net:
                break
        if before - best.peak > noise:
            draft.chosen[layer] = best
            draft.room -= len(best.moves)

    def _finish(
        self, map_: ExpertMap, draft: _Draft, peaks: FloatArray, times: FloatArray
    ) -> Plan | None:
        after = peaks.copy()
        for layer, placing in draft.chosen.items():
            after[layer] = placing.peak
        gain = float((peaks - after).sum() / peaks.sum())
        moves = tuple(m for p in draft.chosen.values() for m in p.moves)
        cost = self._cfg.move_cost * len(moves)
        cost += self._cfg.skew_weight * self._cfg.switch_s
        if gain < self._cfg.min_gain or self._cfg.worth(gain) <= cost:
            return None
        experts, weights = map_.experts.copy(), map_.weights.copy()
        for layer, placing in draft.chosen.items():
            experts[layer] = placing.experts
            weights[layer] = as_weights(placing.shares)
        new = ExpertMap(
            version=map_.version + 1,
            n_experts=map_.n_experts,
            experts=experts,
            weights=weights,
        )
        mean = float(times.mean(axis=1).sum())
        load_bytes = len(moves) * self._cfg.expert_bytes
        return Plan(
            map=new,
            moves=moves,
            gain=gain,
            skew_before=float(peaks.sum()) / mean,
            skew_after=float(after.sum()) / mean,
            load_bytes=load_bytes,
            reason=_reason(len(moves), len(draft.chosen), gain, load_bytes),
        )


def _reason(moves: int, layers: int, gain: float, load_bytes: float) -> str:
    where = f"in {layers} layer{'s' * (layers != 1)}"
    if not moves:
        what = f"Copies of busy experts get other shares of the tokens {where}"
    else:
        noun = "expert copy moves" if moves == 1 else "expert copies move"
        what = f"{moves} {noun} {where} ({load_bytes / 1e6:.0f} MB)"
    return f"{what}, so that each step takes {100 * gain:.1f}% less time."

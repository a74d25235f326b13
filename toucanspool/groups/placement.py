"""The choice of moves that pay for a group's experts."""

from collections.abc import Generator
from dataclasses import dataclass

import numpy as np

from toucanspool.groups.expert_map import ExpertMap, FloatArray
from toucanspool.groups.layer_search import LayerSearch, Move
from toucanspool.groups.move_choice import Choice, Chosen, LayerCurve, choose
from toucanspool.groups.placement_settings import PlacementSettings
from toucanspool.groups.split import SOLVE_ROUNDS, MinMaxSplit, Split, as_weights

__all__ = ["Move", "PlacementSettings", "Plan", "Planner"]

LOOK_AHEAD_MOVES = 16
MAX_TRIES = 24
REACHED_FADING = 0.999
CALLS_BETWEEN_VAIN_SEARCHES = 30
ROOMY = 4


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


class Planner:
    """Change a map in few moves, each of which pays.

    Parameters
    ----------
    cfg : PlacementSettings
        The weights.
    split : Split, optional
        How copies share tokens; `MinMaxSplit` if left out.
    """

    __slots__ = ("_cfg", "_reached", "_split", "_vain_hope", "_waits")

    def __init__(self, cfg: PlacementSettings, *, split: Split | None = None) -> None:
        self._cfg = cfg
        self._split = split or MinMaxSplit()
        self._reached: FloatArray = np.zeros(0)
        self._vain_hope = 0.0
        self._waits = 0

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
        if self._reached.size != map_.layers:
            self._reached = np.zeros(map_.layers)
        self._reached *= REACHED_FADING
        hoped = peaks - floor * (1.0 + self._reached) - noise
        hope = _hope(hoped, peaks)
        self._waits = max(self._waits - 1, 0)
        if self._waits == 0:
            self._vain_hope = 0.0
        if hope < self._cfg.min_gain + self._vain_hope:
            return None
        curves = []
        for layer in np.argsort(-hoped):
            if hoped[layer] <= 0.0:
                break
            search = LayerSearch(int(layer), loads[layer], speeds, self._split)
            curve = LayerCurve(
                layer=int(layer), before=float(peaks[layer]), noise=float(noise[layer])
            )
            yield from self._explore(search, map_, curve, float(peaks.sum()))
            curves.append(curve)
        for room in (self._cfg.max_moves, ROOMY * self._cfg.max_moves):
            choice = choose(curves, self._cfg, float(peaks.sum()), room=room)
            yield
            plan = self._finish(map_, choice.chosen, times)
            if plan is not None or not choice.postponed:
                break
            yield
        self._remember(curves, choice, floor)
        hoped = peaks - floor * (1.0 + self._reached) - noise
        self._vain_hope = 0.0 if plan else _hope(hoped, peaks)
        self._waits = CALLS_BETWEEN_VAIN_SEARCHES
        return plan

    def _remember(self, curves: list[LayerCurve], choice: Choice, floor: float) -> None:
        """Keep what each layer can reach, so that it is not searched in vain."""
        for layer, peak in choice.paying.items():
            self._reached[layer] = peak / floor - 1.0
        cut = {curve.layer for curve in curves if curve.cut}
        moved = {chosen.layer for chosen in choice.chosen if chosen.placing.moves}
        for layer in choice.postponed | (cut & moved):
            self._reached[layer] = 0.0

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

    def _explore(
        self, search: LayerSearch, map_: ExpertMap, curve: LayerCurve, total: float
    ) -> Generator[None, None, None]:
        start = search.placing(
            map_.experts[search.layer].astype(int),
            map_.shares[search.layer],
            rounds=SOLVE_ROUNDS,
        )
        curve.points.append(start)
        yield
        for tries, placing in enumerate(search.steps(start), start=1):
            yield
            if tries >= MAX_TRIES:
                curve.cut = True
                return
            if placing is None:
                continue
            curve.points.append(placing)
            left = self._cfg.worth((curve.lowest - search.target) / total)
            if left <= self._cfg.move_cost:
                return
            if len(placing.moves) >= LOOK_AHEAD_MOVES:
                curve.cut = True
                return

    def _finish(
        self, map_: ExpertMap, chosen: list[Chosen], times: FloatArray
    ) -> Plan | None:
        peaks = times.max(axis=1)
        total = float(peaks.sum())
        gain = sum(c.gain for c in chosen) / total
        sure = gain - sum(c.noise for c in chosen) / total
        moves = tuple(move for c in chosen for move in c.placing.moves)
        cost = self._cfg.move_cost * len(moves)
        cost += self._cfg.skew_weight * self._cfg.switch_s
        if sure < self._cfg.min_gain or self._cfg.worth(sure) <= cost:
            return None
        mean = float(times.mean(axis=1).sum())
        load_bytes = len(moves) * self._cfg.expert_bytes
        return Plan(
            map=_changed(map_, chosen),
            moves=moves,
            gain=gain,
            skew_before=total / mean,
            skew_after=total * (1.0 - gain) / mean,
            load_bytes=load_bytes,
            reason=_reason(len(moves), len(chosen), gain, load_bytes),
        )


def _hope(hoped: FloatArray, peaks: FloatArray) -> float:
    return float(np.maximum(hoped, 0.0).sum() / peaks.sum())


def _changed(map_: ExpertMap, chosen: list[Chosen]) -> ExpertMap:
    experts, weights = map_.experts.copy(), map_.weights.copy()
    for choice in chosen:
        experts[choice.layer] = choice.placing.experts
        weights[choice.layer] = as_weights(choice.placing.shares)
    return ExpertMap(
        version=map_.version + 1,
        n_experts=map_.n_experts,
        experts=experts,
        weights=weights,
    )


def _reason(moves: int, layers: int, gain: float, load_bytes: float) -> str:
    where = f"in {layers} layer{'s' * (layers != 1)}"
    if not moves:
        what = f"Copies of busy experts get other shares of the tokens {where}"
    else:
        noun = "expert copy moves" if moves == 1 else "expert copies move"
        what = f"{moves} {noun} {where} ({load_bytes / 1e6:.0f} MB)"
    return f"{what}, so that each step takes {100 * gain:.1f}% less time."

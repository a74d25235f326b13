"""Planning of the expert moves that pay off for a group."""

from collections.abc import Generator
from dataclasses import dataclass

import numpy as np

from toucanspool.groups.expert_map import ExpertMap, FloatArray
from toucanspool.groups.layer_search import LayerSearch, Move
from toucanspool.groups.move_choice import LayerChoice, LayerCurve, MoveChoice, choose
from toucanspool.groups.placement_settings import PlacementSettings
from toucanspool.groups.split import SOLVE_ROUNDS, MinMaxSplit, Split, as_weights

__all__ = ["Move", "PlacementSettings", "Plan", "Planner"]

# Limits of the search in one layer.
MAX_LAYER_MOVES = 16
MAX_LAYER_TRIES = 24
# Factor per call on the excess time that a layer's search could not reduce.
REACHED_EXCESS_DECAY = 0.999
# Calls after a search during which a new one needs a larger potential gain than the
# search left over.
SEARCH_BACKOFF_CALLS = 30
# Factor on the budget of moves if a plan within it does not pay off.
EXTENDED_BUDGET_FACTOR = 4


@dataclass(slots=True, frozen=True, eq=False)
class Plan:
    """Hold a new map and its expected effect.

    Parameters
    ----------
    map : ExpertMap
        The new map.
    moves : tuple of Move
        Copies to load before the switch; empty if only shares change.
    gain : float
        Expected reduction of the step time, as a fraction.
    skew_before : float
        Expected ratio of largest to mean step time with the old map, over all
        layers.
    skew_after : float
        The same ratio with the new map.
    load_bytes : float
        Bytes to load from the weight store.
    reason : str
        Explanation in one sentence.
    """

    map: ExpertMap
    moves: tuple[Move, ...]
    gain: float
    skew_before: float
    skew_after: float
    load_bytes: float
    reason: str


class Planner:
    """Improve a map by a few moves that each pay off.

    Parameters
    ----------
    cfg : PlacementSettings
        Weights and limits.
    split : Split, optional
        Split of tokens over copies; `MinMaxSplit` if omitted.
    """

    __slots__ = (
        "_backoff_calls",
        "_cfg",
        "_reached_excess",
        "_remaining_potential",
        "_split",
    )

    def __init__(self, cfg: PlacementSettings, *, split: Split | None = None) -> None:
        self._cfg = cfg
        self._split = split or MinMaxSplit()
        self._reached_excess: FloatArray = np.zeros(0)
        self._remaining_potential = 0.0
        self._backoff_calls = 0

    def plan(
        self,
        map_: ExpertMap,
        loads: FloatArray,
        speeds: FloatArray,
        *,
        errors: FloatArray | None = None,
    ) -> Plan | None:
        """Return a plan without pausing between slices; see `plan_slices`."""
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
        """Compute a plan in slices of a few milliseconds.

        Parameters
        ----------
        map_ : ExpertMap
            The map in use.
        loads : ndarray of float, shape (layers, n_experts)
            Share of its layer's tokens that each expert gets.
        speeds : ndarray of float, shape (ranks,)
            Relative speed of each rank; 1 is normal.
        errors : ndarray of float, shape (layers, n_experts), optional
            Standard errors of `loads`; 0 if omitted.

        Yields
        ------
        None
            After each slice.

        Returns
        -------
        Plan or None
            None if no change pays off.
        """
        loads, speeds = loads.copy(), speeds.copy()
        errors = np.zeros_like(loads) if errors is None else errors.copy()
        times = map_.rank_loads(loads) / speeds
        peaks = times.max(axis=1)
        ideal_time = float(loads[0].sum() / speeds.sum())
        noise = self._noise(map_, errors, times, speeds)
        yield
        if self._reached_excess.size != map_.layers:
            self._reached_excess = np.zeros(map_.layers)
        self._reached_excess *= REACHED_EXCESS_DECAY
        layer_potentials = peaks - ideal_time * (1.0 + self._reached_excess) - noise
        potential = _total_potential(layer_potentials, peaks)
        self._backoff_calls = max(self._backoff_calls - 1, 0)
        if self._backoff_calls == 0:
            self._remaining_potential = 0.0
        if potential < self._cfg.min_gain + self._remaining_potential:
            return None
        curves = []
        for layer in np.argsort(-layer_potentials):
            if layer_potentials[layer] <= 0.0:
                break
            search = LayerSearch(int(layer), loads[layer], speeds, self._split)
            curve = LayerCurve(
                layer=int(layer),
                current_peak=float(peaks[layer]),
                noise=float(noise[layer]),
            )
            yield from self._search_layer(search, map_, curve, float(peaks.sum()))
            curves.append(curve)
        for budget in (
            self._cfg.max_moves,
            EXTENDED_BUDGET_FACTOR * self._cfg.max_moves,
        ):
            choice = choose(curves, self._cfg, float(peaks.sum()), budget=budget)
            yield
            plan = self._make_plan(map_, choice.chosen, times)
            if plan is not None or not choice.over_budget:
                break
            yield
        self._record_excess(curves, choice, ideal_time)
        layer_potentials = peaks - ideal_time * (1.0 + self._reached_excess) - noise
        self._remaining_potential = (
            0.0 if plan else _total_potential(layer_potentials, peaks)
        )
        self._backoff_calls = SEARCH_BACKOFF_CALLS
        return plan

    def _record_excess(
        self, curves: list[LayerCurve], choice: MoveChoice, ideal_time: float
    ) -> None:
        """Record the excess time of each layer that its search could not reduce.

        Later calls do not search a layer whose time is no further above the ideal.
        """
        for layer, peak in choice.best_peaks.items():
            self._reached_excess[layer] = peak / ideal_time - 1.0
        truncated = {curve.layer for curve in curves if curve.truncated}
        moved = {chosen.layer for chosen in choice.chosen if chosen.placement.moves}
        for layer in choice.over_budget | (truncated & moved):
            self._reached_excess[layer] = 0.0

    def _noise(
        self,
        map_: ExpertMap,
        errors: FloatArray,
        times: FloatArray,
        speeds: FloatArray,
    ) -> FloatArray:
        variance = ((map_.gather(errors) * map_.shares) ** 2).sum(axis=2)
        slowest = times.argmax(axis=1)
        layer = np.arange(map_.layers)
        return (
            self._cfg.noise_sigmas * np.sqrt(variance[layer, slowest]) / speeds[slowest]
        )

    def _search_layer(
        self, search: LayerSearch, map_: ExpertMap, curve: LayerCurve, total_time: float
    ) -> Generator[None, None, None]:
        start = search.evaluate(
            map_.experts[search.layer].astype(int),
            map_.shares[search.layer],
            rounds=SOLVE_ROUNDS,
        )
        curve.points.append(start)
        yield
        for tries, placement in enumerate(search.improvements(start), start=1):
            yield
            if tries >= MAX_LAYER_TRIES:
                curve.truncated = True
                return
            if placement is None:
                continue
            curve.points.append(placement)
            remaining_benefit = self._cfg.benefit(
                (curve.lowest_peak - search.ideal_time) / total_time
            )
            if remaining_benefit <= self._cfg.move_cost:
                return
            if len(placement.moves) >= MAX_LAYER_MOVES:
                curve.truncated = True
                return

    def _make_plan(
        self, map_: ExpertMap, chosen: list[LayerChoice], times: FloatArray
    ) -> Plan | None:
        peaks = times.max(axis=1)
        total_time = float(peaks.sum())
        gain = sum(c.gain for c in chosen) / total_time
        certain_gain = gain - sum(c.noise for c in chosen) / total_time
        moves = tuple(move for c in chosen for move in c.placement.moves)
        cost = self._cfg.move_cost * len(moves)
        cost += self._cfg.skew_weight * self._cfg.switch_s
        if certain_gain < self._cfg.min_gain or self._cfg.benefit(certain_gain) <= cost:
            return None
        mean_time = float(times.mean(axis=1).sum())
        load_bytes = len(moves) * self._cfg.expert_bytes
        return Plan(
            map=_apply_choices(map_, chosen),
            moves=moves,
            gain=gain,
            skew_before=total_time / mean_time,
            skew_after=total_time * (1.0 - gain) / mean_time,
            load_bytes=load_bytes,
            reason=_reason(len(moves), len(chosen), gain, load_bytes),
        )


def _total_potential(layer_potentials: FloatArray, peaks: FloatArray) -> float:
    """Return the gain that all layers could reach, as a fraction of the step time."""
    return float(np.maximum(layer_potentials, 0.0).sum() / peaks.sum())


def _apply_choices(map_: ExpertMap, chosen: list[LayerChoice]) -> ExpertMap:
    experts, weights = map_.experts.copy(), map_.weights.copy()
    for choice in chosen:
        experts[choice.layer] = choice.placement.experts
        weights[choice.layer] = as_weights(choice.placement.shares)
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

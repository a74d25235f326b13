"""The choice among what was found in all layers, within one budget of bytes."""

from dataclasses import dataclass, field

from toucanspool.groups.layer_search import Placing
from toucanspool.groups.placement_settings import PlacementSettings


@dataclass(slots=True, eq=False)
class LayerCurve:
    """Hold the placements found for a layer, by growing number of moves.

    Parameters
    ----------
    layer : int
        The layer.
    before : float
        The slowest rank's time with the map in force.
    noise : float
        What may be taken off a gain as noise, in the unit of ``before``.
    points : list of Placing
        The placements; the first has no moves.
    cut : bool, default=False
        Whether the search stopped at its limit of moves, not for want of gain.
    """

    layer: int
    before: float
    noise: float
    points: list[Placing] = field(default_factory=list)
    cut: bool = False

    @property
    def lowest(self) -> float:
        """Return the lowest time found."""
        return min(point.peak for point in self.points)

    def hull(self) -> list[Placing]:
        """Return the points with ever smaller gain by move.

        Returns
        -------
        list of Placing
            The upper hull of gain over moves, the first point included.
        """
        hull: list[Placing] = []
        for point in self.points:
            while hull and _falls_under(hull, point):
                hull.pop()
            if not hull or point.peak < hull[-1].peak:
                hull.append(point)
        return hull


@dataclass(slots=True, frozen=True, eq=False)
class Chosen:
    """Hold the placement chosen for a layer.

    Parameters
    ----------
    layer : int
        The layer.
    placing : Placing
        The placement.
    gain : float
        How much less time the slowest rank takes.
    noise : float
        What may be taken off the gain as noise.
    """

    layer: int
    placing: Placing
    gain: float
    noise: float


@dataclass(slots=True, frozen=True, eq=False)
class Choice:
    """Hold what was chosen in all layers.

    Parameters
    ----------
    chosen : list of Chosen
        Only layers whose gain is beyond noise.
    postponed : set of int
        Layers with moves that pay but are over the budget.
    paying : dict of int to float
        The slowest rank's time in each layer with all moves that pay, whether
        beyond noise or not.
    """

    chosen: list[Chosen]
    postponed: set[int]
    paying: dict[int, float]


@dataclass(slots=True, frozen=True, eq=False)
class _Step:
    """Hold one edge of a curve's hull."""

    slope: float
    moves: int
    curve: LayerCurve
    to: Placing


def choose(
    curves: list[LayerCurve], cfg: PlacementSettings, total: float, *, room: int
) -> Choice:
    """Choose placements by gain a move until the budget or the gain is used up.

    Parameters
    ----------
    curves : list of LayerCurve
        What was found.
    cfg : PlacementSettings
        The weights.
    total : float
        The slowest ranks' times, added over all layers.
    room : int
        The most moves in all.

    Returns
    -------
    Choice

    References
    ----------
    P. Sinha, A. A. Zoltners, "The multiple-choice knapsack problem", Operations
    Research 27(3), 1979.
    """
    best = {curve.layer: curve.points[0] for curve in curves}
    postponed: set[int] = set()
    for step in sorted(_steps(curves), key=lambda s: -s.slope):
        layer = step.curve.layer
        if cfg.worth(step.slope / total) <= cfg.move_cost:
            break
        if layer in postponed or step.moves > room:
            postponed.add(layer)
            continue
        best[layer] = step.to
        room -= step.moves
    found = [_chosen(curve, best[curve.layer]) for curve in curves]
    return Choice(
        chosen=[chosen for chosen in found if chosen.gain > chosen.noise],
        postponed=postponed,
        paying={layer: placing.peak for layer, placing in best.items()},
    )


def _steps(curves: list[LayerCurve]) -> list[_Step]:
    steps = []
    for curve in curves:
        hull = curve.hull()
        for here, to in zip(hull, hull[1:], strict=False):
            moves = len(to.moves) - len(here.moves)
            steps.append(_Step((here.peak - to.peak) / moves, moves, curve, to))
    return steps


def _chosen(curve: LayerCurve, placing: Placing) -> Chosen:
    shared = curve.points[0]
    if shared.peak - placing.peak < curve.noise:
        placing = shared
    gain = curve.before - placing.peak
    return Chosen(curve.layer, placing, gain, curve.noise)


def _falls_under(hull: list[Placing], point: Placing) -> bool:
    """Return whether the hull's last point lies under the line to a new one."""
    last = hull[-1]
    if point.peak >= last.peak or len(hull) < 2:
        return False
    before = hull[-2]
    rise = (before.peak - last.peak) * (len(point.moves) - len(last.moves))
    return rise < (last.peak - point.peak) * (len(last.moves) - len(before.moves))

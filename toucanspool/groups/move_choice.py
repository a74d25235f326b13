"""Choice of expert moves across layers within one budget of moves."""

from dataclasses import dataclass, field

from toucanspool.groups.layer_search import LayerPlacement
from toucanspool.groups.placement_settings import PlacementSettings


@dataclass(slots=True, eq=False)
class LayerCurve:
    """Hold the placements found for a layer, ordered by number of moves.

    Parameters
    ----------
    layer : int
        Index of the layer.
    current_peak : float
        Time of the slowest rank with the map in use.
    noise : float
        Part of a gain that may be noise, in the unit of ``current_peak``.
    points : list of LayerPlacement
        The placements; the first has no moves.
    truncated : bool, default=False
        Whether the search stopped at a limit rather than for lack of gain.
    """

    layer: int
    current_peak: float
    noise: float
    points: list[LayerPlacement] = field(default_factory=list)
    truncated: bool = False

    @property
    def lowest_peak(self) -> float:
        """Return the lowest time of the slowest rank that was found."""
        return min(point.peak for point in self.points)

    def hull(self) -> list[LayerPlacement]:
        """Return the points at which the gain per move only decreases.

        Returns
        -------
        list of LayerPlacement
            Upper convex hull of gain over moves, including the first point.
        """
        hull: list[LayerPlacement] = []
        for point in self.points:
            while hull and _is_below_line(hull, point):
                hull.pop()
            if not hull or point.peak < hull[-1].peak:
                hull.append(point)
        return hull


@dataclass(slots=True, frozen=True, eq=False)
class LayerChoice:
    """Hold the placement chosen for a layer.

    Parameters
    ----------
    layer : int
        Index of the layer.
    placement : LayerPlacement
        The placement.
    gain : float
        Reduction of the slowest rank's time.
    noise : float
        Part of the gain that may be noise.
    """

    layer: int
    placement: LayerPlacement
    gain: float
    noise: float


@dataclass(slots=True, frozen=True, eq=False)
class MoveChoice:
    """Hold the choice for all layers.

    Parameters
    ----------
    chosen : list of LayerChoice
        Only layers whose gain exceeds their noise.
    over_budget : set of int
        Layers with moves that pay off but exceed the budget.
    best_peaks : dict of int to float
        Time of the slowest rank in each layer with all moves that pay off within
        the budget, whether or not the gain exceeds the noise.
    """

    chosen: list[LayerChoice]
    over_budget: set[int]
    best_peaks: dict[int, float]


@dataclass(slots=True, frozen=True, eq=False)
class _HullEdge:
    """Hold one edge of a curve's hull."""

    slope: float
    moves: int
    curve: LayerCurve
    end: LayerPlacement


def choose(
    curves: list[LayerCurve],
    cfg: PlacementSettings,
    total_time: float,
    *,
    budget: int,
) -> MoveChoice:
    """Choose placements by gain per move until budget or gain is exhausted.

    Parameters
    ----------
    curves : list of LayerCurve
        The placements found for each layer.
    cfg : PlacementSettings
        Weights of gain and moves.
    total_time : float
        Sum of the slowest rank's time over all layers.
    budget : int
        Maximum number of moves in all layers together.

    Returns
    -------
    MoveChoice

    References
    ----------
    P. Sinha, A. A. Zoltners, "The multiple-choice knapsack problem", Operations
    Research 27(3), 1979.
    """
    best = {curve.layer: curve.points[0] for curve in curves}
    over_budget: set[int] = set()
    for edge in sorted(_hull_edges(curves), key=lambda e: -e.slope):
        layer = edge.curve.layer
        if cfg.benefit(edge.slope / total_time) <= cfg.move_cost:
            break
        if layer in over_budget or edge.moves > budget:
            over_budget.add(layer)
            continue
        best[layer] = edge.end
        budget -= edge.moves
    found = [_layer_choice(curve, best[curve.layer]) for curve in curves]
    return MoveChoice(
        chosen=[choice for choice in found if choice.gain > choice.noise],
        over_budget=over_budget,
        best_peaks={layer: placement.peak for layer, placement in best.items()},
    )


def _hull_edges(curves: list[LayerCurve]) -> list[_HullEdge]:
    edges = []
    for curve in curves:
        hull = curve.hull()
        for start, end in zip(hull, hull[1:], strict=False):
            moves = len(end.moves) - len(start.moves)
            edges.append(_HullEdge((start.peak - end.peak) / moves, moves, curve, end))
    return edges


def _layer_choice(curve: LayerCurve, placement: LayerPlacement) -> LayerChoice:
    unmoved = curve.points[0]
    if unmoved.peak - placement.peak < curve.noise:
        placement = unmoved
    gain = curve.current_peak - placement.peak
    return LayerChoice(curve.layer, placement, gain, curve.noise)


def _is_below_line(hull: list[LayerPlacement], point: LayerPlacement) -> bool:
    """Return whether the hull's last point lies below the line to a new point."""
    last = hull[-1]
    if point.peak >= last.peak or len(hull) < 2:
        return False
    previous = hull[-2]
    rise = (previous.peak - last.peak) * (len(point.moves) - len(last.moves))
    return rise < (last.peak - point.peak) * (len(last.moves) - len(previous.moves))

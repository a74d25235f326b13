"""Division of the upstreams' request limits among the entries."""

import math
from collections.abc import Mapping

# An entry has parts of this many upstreams at least, so that it can do without one.
MIN_UPSTREAMS = 3.0
# An entry counts with this fraction of the mean load at least, for its next calls.
MIN_WEIGHT_FRACTION = 0.1
# More entries than this don't all know each other's loads at the same time.
MAX_WEIGHTED_ENTRIES = 24


def weigh_entries(loads: Mapping[str, float | None]) -> dict[str, float]:
    """Return the weights by which entries share limits.

    Entries weigh as much as the load that they carry. All weigh the same where there
    are many, or the load of one is not known: each would else work out another
    division.

    Parameters
    ----------
    loads : mapping of str to float or None
        Calls a second by entry; None if unknown.

    Returns
    -------
    dict of str to float
    """
    known = [load for load in loads.values() if load is not None]
    mean = sum(known) / len(loads)
    if len(known) < len(loads) or len(loads) > MAX_WEIGHTED_ENTRIES or not mean:
        return dict.fromkeys(loads, 1.0)
    least = MIN_WEIGHT_FRACTION * mean
    return {name: max(load or 0.0, least) for name, load in loads.items()}


def divide_limits(
    weights: Mapping[str, float], own: str, n_upstreams: int
) -> list[float]:
    """Return the fraction of each upstream's limit that belongs to an entry.

    If each entry had a part of every upstream, an upstream could get a request from
    all of them at the same time, and an entry would wait for long between its requests
    to one. So the upstreams form a ring, along which the entries have sections as
    long as their weights, with ends that overlap. All entries come to the same division
    by themselves.

    Parameters
    ----------
    weights : mapping of str to float
        Weights of all entries by name, greater than 0.
    own : str
        Name of the entry.
    n_upstreams : int
        Number of upstreams.

    Returns
    -------
    list of float
        Fractions in the order of the upstreams; those of all entries add up to 1.
    """
    scale = n_upstreams / sum(weights.values())
    start = scale * sum(weight for name, weight in weights.items() if name < own)
    length = scale * weights[own]
    overlap = min(MIN_UPSTREAMS, n_upstreams)
    parts = [0.0] * n_upstreams
    for position in range(math.floor(start), math.ceil(start + length + overlap)):
        offset = position - start
        parts[position % n_upstreams] += (
            _ramp_area(offset + 1.0, length)
            - _ramp_area(offset, length)
            - _ramp_area(offset + 1.0 - overlap, length)
            + _ramp_area(offset - overlap, length)
        ) / overlap
    return [min(1.0, max(0.0, part)) for part in parts]


def _ramp_area(end: float, length: float) -> float:
    """Return the integral up to `end` of a ramp from 0 at 0 to `length` at `length`."""
    if end <= 0.0:
        return 0.0
    if end <= length:
        return end**2 / 2.0
    return length * (end - length / 2.0)

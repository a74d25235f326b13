"""Cells of the benchmarks' tables."""

from collections.abc import Sequence

import numpy as np


def spread(values: Sequence[float], digits: int = 0) -> str:
    """Return the median of values with the least and the greatest.

    Parameters
    ----------
    values : sequence of float
        One value for each seed.
    digits : int, default=0
        Digits after the point.

    Returns
    -------
    str
    """
    low, mid, high = np.min(values), np.median(values), np.max(values)
    return f"{mid:.{digits}f} ({low:.{digits}f}-{high:.{digits}f})"

"""Formatting of table cells."""

from collections.abc import Sequence

import numpy as np


def format_spread(values: Sequence[float], digits: int = 0) -> str:
    """Format values as their median with the minimum and maximum in parentheses.

    Parameters
    ----------
    values : sequence of float
        One value for each seed.
    digits : int, default=0
        Number of decimal places.

    Returns
    -------
    str
    """
    low, mid, high = np.min(values), np.median(values), np.max(values)
    return f"{mid:.{digits}f} ({low:.{digits}f}-{high:.{digits}f})"

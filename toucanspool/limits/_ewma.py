"""Exponentially weighted moving averages of values sampled at irregular times."""

import math


def ewma_weight(elapsed_s: float, time_constant_s: float) -> float:
    """Return the weight of a new sample, from 0 to 1.

    Parameters
    ----------
    elapsed_s : float
        Time since the last sample, in seconds.
    time_constant_s : float
        Time after which the weight of a sample has decayed to 1/e, in seconds.

    Returns
    -------
    float
    """
    return 1.0 - math.exp(-elapsed_s / time_constant_s)

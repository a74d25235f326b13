"""The weight of a new value in a mean that fades with time."""

import math


def gain(passed_s: float, memory_s: float) -> float:
    """Return the weight of what is seen now, from 0 to 1.

    Parameters
    ----------
    passed_s : float
        Time since the last value, in seconds.
    memory_s : float
        Time after which a value weighs 1/e, in seconds.

    Returns
    -------
    float
    """
    return 1.0 - math.exp(-passed_s / memory_s)

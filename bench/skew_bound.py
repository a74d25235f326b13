"""Lower bound of the skew that any placement of a group's experts can reach."""

import numpy as np

BISECTIONS = 40


def skew_bound(demand: np.ndarray, slowdowns: np.ndarray, slots: int) -> float:
    """Return a skew that no placement is below.

    At a skew of t, a rank carries at most t mean loads, divided by its slowdown, and an
    expert of load d needs at least d / t copies. So t is at least the mean load
    over the mean speed of the ranks, and the copies needed must fit into all slots.

    Parameters
    ----------
    demand : ndarray of float, shape (sets, experts)
        Share of its set's tokens that goes to each expert.
    slowdowns : ndarray of float, shape (ranks,)
        Ratio of each rank's time for its work to the usual time.
    slots : int
        Experts that a rank holds in a set.

    Returns
    -------
    float
        Averaged over all sets.
    """
    ranks = slowdowns.size
    load = demand * ranks
    by_speed = ranks / (1.0 / slowdowns).sum()
    low = np.full(demand.shape[0], by_speed)
    high = load.max(axis=1) + by_speed
    for _ in range(BISECTIONS):
        middle = (low + high) / 2.0
        copies = np.maximum(1.0, np.ceil(load / middle[:, None])).sum(axis=1)
        fits = copies <= ranks * slots
        high = np.where(fits, middle, high)
        low = np.where(fits, low, middle)
    return float(high.mean())

"""Use of capacity that other entries leave idle, for short peaks at one entry.

With equal limits, random arrivals cause needless refusals: of 34 entries that may run
10 streams each, with 8 callers each on average, one caller in nine reaches a full
entry. All entries together are hardly ever full. So each entry reports its mean number
of running streams to the others.

Callers keep their connections, so some entries may carry most of the load while others
carry none. What the latter leave idle is then divided among the former.
"""

from collections.abc import Sequence

from toucanspool.limits._ewma import ewma_weight

# Mean idle capacity, times this factor, that an entry may use beyond its equal limit.
# A larger factor makes all entries exceed their total limit while full, since some
# streams have always just ended and not yet been replaced.
BORROW_FACTOR = 1.5
# Largest limit of an entry, as a multiple of its equal limit. It bounds the excess,
# because the numbers that other entries report are up to two seconds old.
MAX_LIMIT_FACTOR = 1.5
# The same while some entries are busy and others are idle.
MAX_UNEVEN_LIMIT_FACTOR = 3.0
# An entry that uses less than this fraction of a limit leaves the rest to others.
BUSY_FRACTION = 0.55
TIME_CONSTANT_S = 0.5


class SpareCapacity:
    """Compute how far an entry may exceed its equal limit.

    Attributes
    ----------
    mean_running : float
        Moving average of this entry's running streams.
    """

    __slots__ = ("_updated_at", "mean_running")

    def __init__(self) -> None:
        self.mean_running = 0.0
        self._updated_at = 0.0

    def observe(self, running: int, now: float) -> None:
        """Add a sample of the running streams to the moving average.

        Parameters
        ----------
        running : int
            Number of running streams.
        now : float
            Seconds on the monotonic clock.
        """
        self.mean_running += ewma_weight(now - self._updated_at, TIME_CONSTANT_S) * (
            running - self.mean_running
        )
        self._updated_at = now

    def mean_per_entry(self, others: Sequence[float]) -> float:
        """Return the mean number of running streams per entry.

        Parameters
        ----------
        others : sequence of float
            Mean numbers of running streams that other entries report.

        Returns
        -------
        float
        """
        return (self.mean_running + sum(others)) / (1 + len(others))

    def limit(self, equal_limit: float, others: Sequence[float]) -> float:
        """Return the limit on this entry's streams.

        Parameters
        ----------
        equal_limit : float
            Limit per entry if all entries take equal parts.
        others : sequence of float
            Mean numbers of running streams that other entries report.

        Returns
        -------
        float
        """
        idle = max(0.0, equal_limit - self.mean_per_entry(others))
        borrowed = min(
            equal_limit + BORROW_FACTOR * idle, MAX_LIMIT_FACTOR * equal_limit
        )
        return max(borrowed, _divided_limit(equal_limit, others))


def _divided_limit(equal_limit: float, others: Sequence[float]) -> float:
    """Return the limit at which busy entries use what the idle ones leave.

    This is max-min fair: no entry is limited below what an equal division of the
    rest would give it.

    Parameters
    ----------
    equal_limit : float
        Limit per entry if all entries take equal parts.
    others : sequence of float
        Mean numbers of running streams of a sample of other entries.

    Returns
    -------
    float

    References
    ----------
    D. Bertsekas, R. Gallager, "Data Networks", 1992, section 6.5.2.
    """
    if max(others, default=0.0) < BUSY_FRACTION * equal_limit:
        # All are idle, and a burst may come to all of them at once.
        return equal_limit
    total = equal_limit * (1 + len(others))
    limit = equal_limit
    # This entry counts as busy, since its limit matters only then.
    busy = 1 + len(others)
    for running in sorted(others):
        if running >= BUSY_FRACTION * limit:
            break
        total -= running
        busy -= 1
        limit = total / busy
    return min(limit, MAX_UNEVEN_LIMIT_FACTOR * equal_limit)

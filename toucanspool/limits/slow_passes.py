"""The load at which the slowest recent passes would still have been on time."""

from collections import deque

# Demand for experts shifts within seconds, and passes are slow until the map follows.
# Over this time, a shift is likely to have been seen.
WINDOW_S = 10.0
# Slow passes are accepted where avoiding them would leave less than this part of the
# load: as many callers would then be refused as are late without it.
MIN_FRACTION = 0.6


class SlowPasses:
    """Keep the load low enough for the slowest passes of the last seconds.

    Answers the load in which passes are on time on average and single ones are not. All
    streams that run during a slow pass are late, so that one slow pass in each response
    makes every response late.
    """

    __slots__ = ("_lowest",)

    def __init__(self) -> None:
        # Loads in the order of time, each lower than all later ones.
        self._lowest: deque[tuple[float, float]] = deque()

    def record(self, load: float, now: float) -> None:
        """Record a slow pass.

        Parameters
        ----------
        load : float
            Requests per upstream with which it would have been on time.
        now : float
            Seconds on the monotonic clock.
        """
        while self._lowest and self._lowest[-1][1] >= load:
            self._lowest.pop()
        self._lowest.append((now, load))

    def limit(self, load: float, now: float) -> float:
        """Return the load at which recent slow passes would have been on time.

        Parameters
        ----------
        load : float
            Requests per upstream with which passes are on time on average.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            At most `load`; passes that were too slow to be avoided don't count.
        """
        while self._lowest and self._lowest[0][0] < now - WINDOW_S:
            self._lowest.popleft()
        for _, lowest in self._lowest:
            if lowest >= MIN_FRACTION * load:
                return min(lowest, load)
        return load

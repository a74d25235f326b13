"""Check, from outside, that cold upstreams get no more requests than they tolerate."""

from collections import Counter, defaultdict

from soak.oracle import Oracle

# What cold upstreams tolerate, as the configuration and the settings say.
COLD_START_S = 5.0
COLD_PER_S = 2.0
OVERRUN, SLACK = 1.5, 3.0
WINDOW_S = 1.0


class ColdWatch:
    """Count the requests in each second at upstreams while they are cold.

    Parameters
    ----------
    oracle : Oracle
        Records violations.
    """

    def __init__(self, oracle: Oracle) -> None:
        self._oracle = oracle
        self._arrivals: dict[str, list[tuple[float, str]]] = defaultdict(list)

    def record_request(self, upstream: str, gateway: str, now: float) -> None:
        """Record a request that reached a cold upstream.

        Parameters
        ----------
        upstream, gateway : str
            The upstream, and the gateway that sent the request.
        now : float
            Seconds on the monotonic clock.
        """
        self._arrivals[upstream].append((now, gateway))

    def check(self) -> int:
        """Check all requests once the run is over; return their number.

        Requests that wait while the soak's own process stalls arrive all at once, so
        seconds with a stall are passed over.
        """
        for upstream, arrivals in self._arrivals.items():
            for start, _ in arrivals:
                window = [(t, g) for t, g in arrivals if start <= t < start + WINDOW_S]
                counts = Counter(gateway for _, gateway in window)
                exceeded = counts.total() > COLD_PER_S * OVERRUN + SLACK
                if exceeded and not self._stalled(start, window[-1][0]):
                    self._oracle.record_cold_excess(upstream, counts)
                    break
        return sum(map(len, self._arrivals.values()))

    def _stalled(self, start: float, end: float) -> bool:
        return any(
            ended_at - seconds <= end and ended_at >= start
            for ended_at, seconds in self._oracle.stalls
        )

"""When callers should come back whose calls all upstreams turned away."""

# Callers come back once, and wait for at most a third of the time that they have left.
MAX_LEFT_FRACTION = 0.3
# Weight of the latest call in the moving average: a few calls in a row tell an outage
# from a moment in which upstreams are full.
CALL_WEIGHT = 0.35


class ReturnTimes:
    """Choose return times by the fraction of calls that is turned away.

    Answers the load in which all upstreams of a service are full or down for seconds.
    Callers that come back after some tenths of a second meet the same outage, and their
    calls are lost; those that come back as late as they can are served.
    """

    __slots__ = ("_turned_away",)

    def __init__(self) -> None:
        self._turned_away: dict[str, float] = {}

    def record(self, service: str, *, turned_away: bool) -> None:
        """Record how a call ended.

        Parameters
        ----------
        service : str
            Name of its service.
        turned_away : bool
            Whether every upstream tried has turned it away.
        """
        before = self._turned_away.get(service, 0.0)
        self._turned_away[service] = before + CALL_WEIGHT * (turned_away - before)

    def return_s(self, service: str, least_s: float, left_s: float) -> float:
        """Return the time after which a call that was turned away should come back.

        Parameters
        ----------
        service : str
            Name of its service.
        least_s : float
            Time after which an upstream may want it, in seconds.
        left_s : float
            Time that its caller has left, in seconds.

        Returns
        -------
        float
            Seconds.
        """
        longest_s = max(least_s, MAX_LEFT_FRACTION * left_s)
        fraction = self._turned_away.get(service, 0.0)
        return least_s + fraction * (longest_s - least_s)

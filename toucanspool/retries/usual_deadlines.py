"""Recognition of callers that come back, by the time that they have left."""

MAX_ROUTES = 4096


class UsualDeadlines:
    """Tell first attempts of callers from repeated ones.

    Callers give the time that they have left. All callers of a route begin with about
    the same, so one with less by the route's objective has been here before: it can no
    longer be answered on time.
    """

    __slots__ = ("_longest_s",)

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def is_repeat(self, route: str, left_s: float, objective_s: float) -> bool:
        """Return whether a call's objective has passed before it arrived.

        Parameters
        ----------
        route : str
            Name of the route.
        left_s : float
            Time that the caller has left, in seconds.
        objective_s : float
            Target for the time to the first byte, in seconds.

        Returns
        -------
        bool
        """
        longest_s = self._longest_s.get(route)
        if longest_s is None and len(self._longest_s) >= MAX_ROUTES:
            self._longest_s.clear()
        if longest_s is None or left_s > longest_s:
            self._longest_s[route] = left_s
            return False
        return left_s < longest_s - objective_s

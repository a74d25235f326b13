"""A budget of repeats that all entries share without telling each other."""

from collections import deque

SAFETY = 0.8


class SharedBudget:
    """Bound this entry's part of the repeats that upstreams may see.

    In any window, all entries together may send a part of the requests again, and
    a fixed number besides. Each entry keeps to that part of its own requests and to
    an equal part of the fixed number, so that the sum holds.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    window_s : float
        Length of the window, in seconds.
    extra : float
        Repeats allowed besides, for all entries together.

    Attributes
    ----------
    entries : int
        Entries that share the fixed number; 0 while it is not known.
    """

    __slots__ = ("_extra", "_firsts", "_ratio", "_repeats", "_window_s", "entries")

    def __init__(self, *, ratio: float, window_s: float, extra: float) -> None:
        self.bound(ratio=ratio, window_s=window_s, extra=extra)
        self._firsts: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}
        self.entries = 0

    def bound(self, *, ratio: float, window_s: float, extra: float) -> None:
        """Put other bounds in force; the parameters are those of the class."""
        self._ratio = ratio
        self._window_s = window_s
        self._extra = extra

    def request(self, service: str, now: float) -> None:
        """Count a request of a caller.

        Parameters
        ----------
        service : str
            The service that it goes to.
        now : float
            Seconds on the monotonic clock.
        """
        self._recent(self._firsts, service, now).append(now)

    def take(self, service: str, now: float) -> bool:
        """Take a repeat from the budget if one is left.

        Parameters
        ----------
        service : str
            The service.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
            Whether the call may be sent once more.
        """
        firsts = len(self._recent(self._firsts, service, now))
        repeats = self._recent(self._repeats, service, now)
        extra = self._extra / self.entries if self.entries else 0.0
        if len(repeats) + 1 > SAFETY * (self._ratio * firsts + extra):
            return False
        repeats.append(now)
        return True

    def _recent(
        self, kept: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        times = kept.setdefault(service, deque())
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times

"""A retry budget that entries share without coordination."""

from collections import deque

SAFETY_FACTOR = 0.8


class SharedBudget:
    """Limit this entry's part of the retries that all entries may send.

    In any window, all entries together may retry a fraction of the requests, plus a
    fixed number. Each entry limits itself to that fraction of its own requests and
    to an equal part of the fixed number, so that the sum stays within the limit.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    window_s : float
        Length of the sliding window, in seconds.
    extra : float
        Fixed number of further retries per window, for all entries together.
    started_at : float
        Start of this process, in seconds on the monotonic clock. Its part of the fixed
        number is not used in the first window: the process before, at the same entry,
        may have used it.

    Attributes
    ----------
    entries : int
        Number of entries that share the fixed number. While it is unknown, it is 0
        and the fixed number is not used.
    """

    __slots__ = (
        "_extra",
        "_ratio",
        "_requests",
        "_retries",
        "_started_at",
        "_window_s",
        "entries",
    )

    def __init__(
        self, *, ratio: float, window_s: float, extra: float, started_at: float
    ) -> None:
        self._started_at = started_at
        self.configure(ratio=ratio, window_s=window_s, extra=extra)
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}
        self.entries = 0

    def configure(self, *, ratio: float, window_s: float, extra: float) -> None:
        """Replace the limits; the parameters are those of the class.

        Parameters
        ----------
        ratio, window_s, extra : float
            As for the class.
        """
        self._ratio = ratio
        self._window_s = window_s
        self._extra = extra

    def record_request(self, service: str, now: float) -> None:
        """Count the first attempt of a request.

        Parameters
        ----------
        service : str
            Service that the request is sent to.
        now : float
            Seconds on the monotonic clock.
        """
        self._recent(self._requests, service, now).append(now)

    def try_withdraw(self, service: str, now: float) -> bool:
        """Count a retry if the budget allows it.

        Parameters
        ----------
        service : str
            Service that the retry is sent to.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
            Whether the retry is allowed.
        """
        if not self.allows(service, now):
            return False
        self._recent(self._retries, service, now).append(now)
        return True

    def allows(self, service: str, now: float) -> bool:
        """Return whether the budget allows a retry, without counting one.

        Parameters
        ----------
        service : str
            Service that the retry is sent to.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
        """
        requests = len(self._recent(self._requests, service, now))
        retries = self._recent(self._retries, service, now)
        extra = 0.0
        if self.entries and now - self._started_at >= self._window_s:
            extra = self._extra / self.entries
        return len(retries) + 1 <= SAFETY_FACTOR * (self._ratio * requests + extra)

    def _recent(
        self, times_by_service: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times

"""A limit on requests a second that an upstream names, and an entry's part of it."""

import math

# An upstream that takes less is still asked this often by all entries together. Else
# nothing would show that its limit has ended.
MIN_PER_S = 0.1
# Requests that all entries together may save up while they have none to send.
BURST_REQUESTS = 3.0


class RequestLimit:
    """Admit this entry's part of the requests that an upstream takes.

    Parameters
    ----------
    per_s : float
        Requests a second from all entries together; infinity for no limit.
    named_at : float
        When the upstream named it, in seconds on the monotonic clock.
    part : float
        Fraction of it that belongs to this entry.

    Attributes
    ----------
    per_s, named_at : float
        As the parameters.

    References
    ----------
    Token bucket: J. Turner, "New Directions in Communications", IEEE Communications
    Magazine 24(10), 1986. It starts empty, since the upstream was in need before.
    """

    __slots__ = ("_part", "_tokens", "_updated_at", "named_at", "per_s")

    def __init__(self, per_s: float, named_at: float, part: float) -> None:
        self.per_s = per_s
        self.named_at = named_at
        self._part = part
        self._tokens = 0.0
        self._updated_at = named_at

    @property
    def limited(self) -> bool:
        """Return whether there is a limit."""
        return self.per_s < math.inf

    @property
    def own_per_s(self) -> float:
        """Return the requests a second that this entry may send."""
        return max(self.per_s, MIN_PER_S) * self._part

    def name(self, per_s: float, at: float, now: float) -> None:
        """Replace the limit by one that the upstream has named later.

        Parameters
        ----------
        per_s : float
            As for the class.
        at, now : float
            When it was named, and the time, in seconds on the monotonic clock.
        """
        if per_s != self.per_s:
            if not self.limited:
                self._tokens, self._updated_at = 0.0, now
            self._refill(now)
            self.per_s = per_s
        self.named_at = at

    def set_part(self, part: float, now: float) -> None:
        """Change the fraction that belongs to this entry."""
        if part != self._part:
            self._refill(now)
            self._part = part

    def wait_s(self, now: float) -> float:
        """Return the time until this entry may send a request.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            Seconds; 0 if it may send one now, infinity if it has no part.
        """
        if not self.limited:
            return 0.0
        self._refill(now)
        if self._tokens >= 1.0:
            return 0.0
        own_per_s = self.own_per_s
        return (1.0 - self._tokens) / own_per_s if own_per_s else math.inf

    def count_request(self, now: float) -> None:
        """Count a request that this entry sends.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        if self.limited:
            self._refill(now)
            self._tokens -= 1.0

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        if self.limited:
            most = max(1.0, BURST_REQUESTS * self._part)
            self._tokens = min(most, self._tokens + elapsed_s * self.own_per_s)

"""A limit on requests a second that an upstream names, and an entry's part of it."""

import math

from toucanspool.routing.token_bucket import TokenBucket

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
    """

    __slots__ = ("_bucket", "_part", "named_at", "per_s")

    def __init__(self, per_s: float, named_at: float, part: float) -> None:
        self.per_s = per_s
        self.named_at = named_at
        self._part = part
        self._bucket = TokenBucket(self._rate, self._depth, named_at)

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
                self._bucket.empty(now)
            self.per_s = per_s
            self._bucket.configure(self._rate, self._depth, now)
        self.named_at = at

    def set_part(self, part: float, now: float) -> None:
        """Change the fraction that belongs to this entry."""
        if part != self._part:
            self._part = part
            self._bucket.configure(self._rate, self._depth, now)

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
        return self._bucket.wait_s(now) if self.limited else 0.0

    def count_request(self, now: float) -> None:
        """Count a request that this entry sends.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        if self.limited:
            self._bucket.take(now)

    @property
    def _rate(self) -> float:
        return self.own_per_s if self.limited else 0.0

    @property
    def _depth(self) -> float:
        return max(1.0, BURST_REQUESTS * self._part)

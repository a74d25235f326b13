"""The time after its start for which an upstream tolerates only few requests."""

import math

from toucanspool.routing.token_bucket import TokenBucket

# A list that is read this soon after an upstream has started, or has been taken back,
# may have been written before. Upstreams write their rows each 1.2 s.
STALE_ROW_S = 1.5


class ColdStart:
    """Track whether one upstream is cold, and admit this entry's part of its requests.

    Handles the load right after the start of an upstream, which crashes if it gets the
    requests of a warm one. The statements of the list and of health replies, and what
    is presumed, hold for durations from when they were read.

    Attributes
    ----------
    bounded : bool
        Whether requests are bounded now. It stays so until `expire` is called, so that
        whoever calls it can begin the slow start at that moment.
    per_s : float
        Requests a second that the upstream tolerates from all entries while it is cold;
        0 for no bound.
    own_per_s : float
        Requests a second of this entry.
    fair_per_s : float
        Requests a second for each entry if all had the same part. Entries without a
        part use it to spread the times at which callers come back.
    """

    __slots__ = (
        "_bucket",
        "_listed_until",
        "_presumed_at",
        "_presumed_until",
        "_reported_until",
        "bounded",
        "fair_per_s",
        "own_per_s",
        "per_s",
    )

    def __init__(self) -> None:
        self._bucket = TokenBucket(0.0, 1.0, -math.inf)
        self._listed_until = -math.inf
        self._reported_until = -math.inf
        self._presumed_at = -math.inf
        self._presumed_until = -math.inf
        self.bounded = False
        self.per_s = 0.0
        self.own_per_s = 0.0
        self.fair_per_s = 0.0

    def remaining_s(self, now: float) -> float:
        """Return how long the upstream stays cold; 0 if it is warm."""
        until = max(self._listed_until, self._reported_until, self._presumed_until)
        return max(0.0, until - now)

    def list(self, remaining_s: float | None, now: float, *, old: bool = False) -> None:
        """Record what a row of the list says.

        Parameters
        ----------
        remaining_s : float or None
            How long the upstream stays cold, in seconds; None if the row doesn't say.
        now : float
            When the row was read, in seconds on the monotonic clock.
        old : bool, default=False
            Whether the row may come from an older copy of the list. Such a row can
            prolong the time, but not shorten it.
        """
        if remaining_s is None:
            return
        until = now + remaining_s
        if old or now < self._presumed_at + STALE_ROW_S:
            until = max(until, self._listed_until)
        else:
            self._presumed_until = -math.inf
        self._listed_until = until

    def report(self, remaining_s: float, now: float) -> None:
        """Record what a health reply says; see `list`."""
        self._reported_until = now + remaining_s

    def presume(self, duration_s: float, now: float) -> None:
        """Take the upstream for cold, as after a start, until a later row is read.

        Parameters
        ----------
        duration_s : float
            How long an upstream is cold after its start, in seconds.
        now : float
            Seconds on the monotonic clock.
        """
        self._presumed_at = now
        self._presumed_until = now + duration_s

    def update(self, per_s: float, now: float) -> bool:
        """Begin the bound if the upstream is cold; return whether it began.

        Parameters
        ----------
        per_s : float
            Requests a second that it tolerates; 0 for no bound.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
        """
        self.per_s = per_s
        if self.bounded or not per_s or not self.remaining_s(now):
            return False
        self.bounded = True
        self.set_share(0.0, 0.0, now)
        return True

    def expire(self, now: float) -> bool:
        """End the bound if the upstream is warm; return whether it ended.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
        """
        if not self.bounded or (self.per_s and self.remaining_s(now)):
            return False
        self.bounded = False
        return True

    def set_share(self, own_per_s: float, fair_per_s: float, now: float) -> None:
        """Change the part of the requests that belongs to this entry.

        An entry that has no part loses what it has saved up. If it gets a part again,
        the entry that it takes the part over from may have sent a request just before.

        Parameters
        ----------
        own_per_s, fair_per_s : float
            As the attributes.
        now : float
            Seconds on the monotonic clock.
        """
        self.own_per_s, self.fair_per_s = own_per_s, fair_per_s
        self._bucket.configure(own_per_s, 1.0, now)
        if not own_per_s:
            self._bucket.empty(now)

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
        return self._bucket.wait_s(now) if self.bounded else 0.0

    def count_request(self, now: float) -> None:
        """Count a request that this entry sends.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        if self.bounded:
            self._bucket.take(now)

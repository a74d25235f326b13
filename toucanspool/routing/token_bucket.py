"""A token bucket, which bounds the requests that one entry sends to an upstream."""

import math


class TokenBucket:
    """Admit requests at a rate, with a limited number saved up.

    Parameters
    ----------
    per_s : float
        Tokens a second.
    depth : float
        Tokens that can be saved up.
    now : float
        Time from which tokens accrue, in seconds on the monotonic clock.

    References
    ----------
    J. Turner, "New Directions in Communications", IEEE Communications Magazine 24(10),
    1986. It starts empty, since upstreams that name a bound are in need already.
    """

    __slots__ = ("_depth", "_per_s", "_tokens", "_updated_at")

    def __init__(self, per_s: float, depth: float, now: float) -> None:
        self._per_s = per_s
        self._depth = depth
        self._tokens = 0.0
        self._updated_at = now

    def configure(self, per_s: float, depth: float, now: float) -> None:
        """Change rate and depth from now on.

        Parameters
        ----------
        per_s, depth, now : float
            As for the class.
        """
        if (per_s, depth) != (self._per_s, self._depth):
            self._refill(now)
            self._per_s, self._depth = per_s, depth

    def empty(self, now: float) -> None:
        """Drop what is saved up."""
        self._tokens, self._updated_at = 0.0, now

    def wait_s(self, now: float) -> float:
        """Return the time until there is a token.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            Seconds; 0 if there is one now, infinity if none accrues.
        """
        self._refill(now)
        if self._tokens >= 1.0:
            return 0.0
        return (1.0 - self._tokens) / self._per_s if self._per_s else math.inf

    def take(self, now: float) -> None:
        """Take a token, also where there is none yet.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        self._refill(now)
        self._tokens -= 1.0

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        # The time is infinite before the first limit, and an infinity times 0 is NaN.
        gained = elapsed_s * self._per_s if self._per_s else 0.0
        self._tokens = min(self._depth, self._tokens + gained)

"""The bound on retries as a fraction of recent requests."""

FRACTION = 0.1
BURST_RETRIES = 10.0
RESERVE_RETRIES = 3.0
REFILL_PER_S = 0.1


class RetryBudget:
    """Keep the retries of one process to a fraction of its requests.

    Each first attempt deposits a fraction of a retry; each retry and hedge
    withdraws a whole one. A slow refill, up to a small reserve, lets a process
    with little traffic retry at all.

    Parameters
    ----------
    now : float
        Seconds on the monotonic clock.
    fraction : float, default=0.1
        Retries earned by each first attempt.
    burst : float, default=10
        The most retries that can be saved up.
    reserve : float, default=3
        Up to this many retries come back with time alone; also the start.
    refill_per_s : float, default=0.1
        How fast they come back, in retries a second.

    Attributes
    ----------
    requests : int
        First attempts counted.
    retries : int
        Retries granted.
    denied : int
        Retries refused.

    References
    ----------
    G. Judd, "Retry budgets", Finagle, 2016; B. Beyer et al., "Site Reliability
    Engineering", chapter 22, O'Reilly, 2016.
    """

    __slots__ = (
        "_at",
        "_burst",
        "_fraction",
        "_refill_per_s",
        "_reserve",
        "_tokens",
        "denied",
        "requests",
        "retries",
    )

    def __init__(
        self,
        now: float,
        *,
        fraction: float = FRACTION,
        burst: float = BURST_RETRIES,
        reserve: float = RESERVE_RETRIES,
        refill_per_s: float = REFILL_PER_S,
    ) -> None:
        self._at = now
        self._fraction = fraction
        self._burst = burst
        self._reserve = reserve
        self._refill_per_s = refill_per_s
        self._tokens = reserve
        self.requests = 0
        self.retries = 0
        self.denied = 0

    def request(self, now: float) -> None:
        """Count the first attempt of a request.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        self._refill(now)
        self.requests += 1
        self._tokens = min(self._burst, self._tokens + self._fraction)

    def take(self, now: float) -> bool:
        """Withdraw one retry if there is one.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
            Whether the retry may be made.
        """
        self._refill(now)
        if self._tokens < 1.0:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.retries += 1
        return True

    def _refill(self, now: float) -> None:
        passed_s = max(0.0, now - self._at)
        self._at = max(self._at, now)
        if self._tokens < self._reserve:
            earned = passed_s * self._refill_per_s
            self._tokens = min(self._reserve, self._tokens + earned)

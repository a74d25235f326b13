"""A token bucket that limits retries to a fraction of the requests."""

RETRY_FRACTION = 0.1
BURST_RETRIES = 10.0
RESERVE_RETRIES = 3.0
REFILL_PER_S = 0.1


class RetryBudget:
    """Limit the retries of one process to a fraction of its requests.

    Each first attempt deposits a fraction of a token; each retry or hedge withdraws
    a whole token. A slow refill up to a small reserve lets a process with little
    traffic retry at all.

    Parameters
    ----------
    now : float
        Seconds on the monotonic clock.
    fraction : float, default=0.1
        Tokens deposited by each first attempt.
    burst : float, default=10
        Largest number of tokens that can accumulate.
    reserve : float, default=3
        Number of tokens at the start, and the level up to which time refills them.
    refill_per_s : float, default=0.1
        Refill rate below the reserve, in tokens per second.

    Attributes
    ----------
    requests : int
        Number of first attempts.
    retries : int
        Number of retries allowed.
    denied : int
        Number of retries denied.

    References
    ----------
    G. Judd, "Retry budgets", Finagle, 2016; B. Beyer et al., "Site Reliability
    Engineering", chapter 22, O'Reilly, 2016.
    """

    __slots__ = (
        "_burst",
        "_fraction",
        "_refill_per_s",
        "_refilled_at",
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
        fraction: float = RETRY_FRACTION,
        burst: float = BURST_RETRIES,
        reserve: float = RESERVE_RETRIES,
        refill_per_s: float = REFILL_PER_S,
    ) -> None:
        self._refilled_at = now
        self._fraction = fraction
        self._burst = burst
        self._reserve = reserve
        self._refill_per_s = refill_per_s
        self._tokens = reserve
        self.requests = 0
        self.retries = 0
        self.denied = 0

    def record_request(self, now: float) -> None:
        """Deposit the fraction of a token that a first attempt earns.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        self._refill(now)
        self.requests += 1
        self._tokens = min(self._burst, self._tokens + self._fraction)

    def try_withdraw(self, now: float) -> bool:
        """Withdraw a token for one retry if there is one.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
            Whether the retry is allowed.
        """
        self._refill(now)
        if self._tokens < 1.0:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.retries += 1
        return True

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        if self._tokens < self._reserve:
            earned = elapsed_s * self._refill_per_s
            self._tokens = min(self._reserve, self._tokens + earned)

"""Policy of second attempts (hedged requests): delay, allowance and decision."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from toucanspool.retries.latency import MS_PER_S, LatencyKind, RecentLatencies
from toucanspool.settings.hedging import Hedging

WINDOW_S = 60.0
# Second attempts that may be saved up, since slow responses come in bursts. With 1, a
# third of the share stayed unused; with 10, a process with 6 calls a second and a share
# of 0.05 sends none in its first 36 s (docs/design/hedging.md).
BURST = 3.0
# Refused callers come back within 1.8 s; until then, the capacity is needed for them.
SCARCITY_S = 2.0
# A second attempt with less time than this can hardly complete.
MIN_LEFT_S = 0.05


class HedgeDecision(Enum):
    """Name the decision on a second attempt, with its reason.

    Each value is the reason as written to the log.
    """

    ALLOWED = "a second attempt is allowed"
    NOT_REPEATABLE = "the call may run only once"
    ANSWER_BEGUN = "the answer has begun"
    ATTEMPTS_USED = "the attempts are used up"
    DEADLINE_TOO_CLOSE = "too little time is left before the deadline"
    CAPACITY_SCARCE = "calls wait or were refused of late"
    SHARE_USED = "the share of second attempts is used up"
    QUARANTINED = "calls like this one have crashed upstreams"
    NO_UPSTREAM = "no other upstream is free"
    BUDGET_EMPTY = "the retry budget is used up"


@dataclass(slots=True, frozen=True, kw_only=True)
class HedgedCall:
    """Hold what the decision on a second attempt needs to know of a call.

    Parameters
    ----------
    service : str
        Service of the call.
    repeatable : bool
        Whether it may run more than once.
    answer_begun : bool, default=False
        Whether a part of the answer has gone to the caller.
    runs : int
        Attempts that may have run, including the one in progress.
    max_attempts : int
        Largest number of attempts that may run.
    left_s : float
        Time until its deadline, in seconds.
    full : bool, default=False
        Whether calls wait for admission, or one more than now would have to.
    quarantined : bool, default=False
        Whether calls like it crash upstreams.
    """

    service: str
    repeatable: bool
    answer_begun: bool = False
    runs: int
    max_attempts: int
    left_s: float
    full: bool = False
    quarantined: bool = False


class HedgeAllowance:
    """Limit second attempts to a share of the calls, in any window and over restarts.

    Load condition: slow responses come in bursts, and a process may be restarted in
    the middle of one. A sliding window keeps to the share of the calls in the last
    60 s. A token bucket, to which each call adds the share, bounds bursts beyond it.
    The bucket starts as far below zero as it may be full: what a process has saved up
    and used right before its end is thereby paid for by the next one, so the share
    also holds for windows that span a restart. Each entry keeps to the share of its
    own calls, and so do all entries together.

    Parameters
    ----------
    ratio : float
        Second attempts per call.
    """

    __slots__ = ("_call_count", "_calls", "_ratio", "_sent", "_tokens")

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = -BURST
        # Calls by the second in which they came: [second, calls].
        self._calls: deque[list[int]] = deque()
        self._call_count = 0
        self._sent: deque[float] = deque()

    def record_call(self, now: float) -> None:
        """Count a call.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        if not self._calls or self._calls[-1][0] != int(now):
            self._calls.append([int(now), 0])
        self._calls[-1][1] += 1
        self._call_count += 1
        self._tokens = min(BURST, self._tokens + self._ratio)
        self._expire(now)

    def allows(self, now: float) -> bool:
        """Return whether a second attempt may be sent.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
        """
        self._expire(now)
        within_window = len(self._sent) + 1 <= self._ratio * self._call_count
        return within_window and self._tokens >= 1.0

    def withdraw(self, now: float) -> None:
        """Count a second attempt.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        self._sent.append(now)
        self._tokens -= 1.0

    def _expire(self, now: float) -> None:
        # A second that is partly over doesn't count.
        while self._calls and self._calls[0][0] <= now - WINDOW_S:
            self._call_count -= self._calls.popleft()[1]
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()


class HedgePolicy:
    """Decide when a call gets a second attempt, and whether it may.

    Load condition: a few responses are slow while capacity is free. A call that takes
    longer than a percentile of recent calls like it is sent to another upstream as
    well. Where capacity is scarce this would delay all calls, so it isn't done.

    Parameters
    ----------
    settings : Hedging
        Share, percentile, shortest delay and services.

    References
    ----------
    "Hedged requests" in J. Dean, L. A. Barroso, "The Tail at Scale", CACM 56(2), 2013.
    """

    __slots__ = ("_allowances", "_latencies", "_scarce_until", "settings")

    def __init__(self, settings: Hedging) -> None:
        self.settings = settings
        self._latencies = RecentLatencies(settings.percentile)
        self._allowances: dict[str, HedgeAllowance] = {}
        self._scarce_until: dict[str, float] = {}

    def applies_to(self, service: str) -> bool:
        """Return whether second attempts are configured for a service."""
        return self.settings.services is None or service in self.settings.services

    def record_call(self, service: str, now: float) -> None:
        """Count a call that may get a second attempt.

        Parameters
        ----------
        service : str
            Service of the call.
        now : float
            Seconds on the monotonic clock.
        """
        self._allowance(service).record_call(now)

    def record_latency(self, kind: LatencyKind, seconds: float, now: float) -> None:
        """Record how long a call's first attempt took, or was waited for.

        The times of second attempts are not recorded: they would lower the percentile,
        and with it the delay, as more of them win.

        Parameters
        ----------
        kind, seconds, now
            As for `RecentLatencies.record`.
        """
        self._latencies.record(kind, seconds, now)

    def record_scarcity(self, service: str, now: float) -> None:
        """Record that a call was refused, or had to wait, for lack of capacity.

        Parameters
        ----------
        service : str
            Service of the call.
        now : float
            Seconds on the monotonic clock.
        """
        self._scarce_until[service] = now + SCARCITY_S

    def delay_s(self, kind: LatencyKind, now: float) -> float | None:
        """Return after what time a call gets a second attempt.

        Parameters
        ----------
        kind : tuple of (str, str, int)
            Service, route and size class of the call.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float or None
            Seconds; None if too little is known of such calls.
        """
        estimate_s = self._latencies.estimate_s(kind, now)
        min_delay_s = self.settings.min_delay_ms / MS_PER_S
        return None if estimate_s is None else max(min_delay_s, estimate_s)

    def decide(
        self,
        call: HedgedCall,
        now: float,
        *,
        has_upstream: bool,
        withdraw: Callable[[], bool],
    ) -> HedgeDecision:
        """Decide on a second attempt, and count it if it is allowed.

        Parameters
        ----------
        call : HedgedCall
            The call.
        now : float
            Seconds on the monotonic clock.
        has_upstream : bool
            Whether another upstream is free for it.
        withdraw : callable
            Withdraws from the retry budget, or returns False if that is used up. It
            is called only if nothing else speaks against a second attempt.

        Returns
        -------
        HedgeDecision
        """
        decision = self._find_obstacle(call, now)
        if decision is not None:
            return decision
        if not has_upstream:
            return HedgeDecision.NO_UPSTREAM
        if not withdraw():
            return HedgeDecision.BUDGET_EMPTY
        self._allowance(call.service).withdraw(now)
        return HedgeDecision.ALLOWED

    def _find_obstacle(self, call: HedgedCall, now: float) -> HedgeDecision | None:
        if not call.repeatable:
            return HedgeDecision.NOT_REPEATABLE
        if call.answer_begun:
            return HedgeDecision.ANSWER_BEGUN
        if call.quarantined:
            return HedgeDecision.QUARANTINED
        if call.runs >= call.max_attempts:
            return HedgeDecision.ATTEMPTS_USED
        if call.left_s < MIN_LEFT_S:
            return HedgeDecision.DEADLINE_TOO_CLOSE
        if call.full or now < self._scarce_until.get(call.service, -math.inf):
            return HedgeDecision.CAPACITY_SCARCE
        if not self._allowance(call.service).allows(now):
            return HedgeDecision.SHARE_USED
        return None

    def _allowance(self, service: str) -> HedgeAllowance:
        return self._allowances.setdefault(service, HedgeAllowance(self.settings.ratio))

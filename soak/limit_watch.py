"""Check, from outside, that upstreams get no more requests than they take."""

import time
from collections import Counter, defaultdict
from collections.abc import Callable

from soak.oracle import Oracle
from soak.process import Process

# What the platform allows of a limit in any window, from some time after it was named.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
CONTACT_S = 3.0
# A gateway knows a limit this long after an answer that names it.
TOLD_S = 0.5


class LimitWatch:
    """Count the requests that upstreams get once they have named a limit.

    Parameters
    ----------
    oracle : Oracle
        Records violations.
    find_gateway : callable
        Takes the id of a call and returns the gateway that it was sent to, or None.
    """

    def __init__(
        self, oracle: Oracle, find_gateway: Callable[[str], Process | None]
    ) -> None:
        self._oracle = oracle
        self._find_gateway = find_gateway
        self._named_at: dict[str, float] = {}
        self._told_at: dict[str, dict[tuple[str, int], float]] = {}
        self._arrivals: dict[str, list[tuple[float, Process]]] = defaultdict(list)

    def record_request(self, upstream: str, call: str, limit: float | None) -> None:
        """Record a request, and the limit that its answer will name.

        Parameters
        ----------
        upstream, call : str
            The upstream and the call.
        limit : float or None
            Requests a second; None for no limit.
        """
        now = time.monotonic()
        gateway = self._find_gateway(call)
        if limit is None:
            self._named_at.pop(upstream, None)
            self._arrivals.pop(upstream, None)
            self._told_at.pop(upstream, None)
            return
        if gateway is None:
            return
        incarnation = gateway.name, gateway.starts
        told_at = self._told_at.setdefault(upstream, {}).setdefault(incarnation, now)
        named_at = self._named_at.setdefault(upstream, now)
        if now - max(told_at, named_at) < TOLD_S:
            return
        arrivals = self._arrivals[upstream]
        arrivals.append((now, gateway))
        while arrivals[0][0] < now - WINDOW_S:
            arrivals.pop(0)
        # A gateway that was disturbed is excused.
        counts = Counter(
            g.name for _, g in arrivals if g.undisturbed_s() > WINDOW_S + CONTACT_S
        )
        allowed = LIMIT_FACTOR * limit * WINDOW_S + EXTRA_REQUESTS
        if now > named_at + CONTACT_S and counts.total() > allowed:
            self._oracle.record_excess(upstream, limit, counts)

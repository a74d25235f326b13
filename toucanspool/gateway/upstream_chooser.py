"""Choice of the upstream for the next attempt at a call."""

import time
from collections.abc import Callable

import gevent
import structlog

from toucanspool.gateway.call import Call, RefusalCause, Refused
from toucanspool.gateway.crash_guard import CrashGuard
from toucanspool.gateway.progress import CallProgress
from toucanspool.routing.balancer import LeastLoadBalancer
from toucanspool.routing.routes import CallKind
from toucanspool.routing.upstream import Upstream

MIN_REMAINING_S = 0.02
MIN_RETRY_AFTER_S = 0.3
# A call waits for an upstream that wants it this soon. A rejected caller would come
# back later than that.
MAX_WAIT_S = 0.25
# Evacuations last for minutes, and so does the lack of upstreams in a region. Callers
# that come back sooner would only add load.
EXCLUDED_RETRY_AFTER_S = 1.0

_log = structlog.get_logger()


class UpstreamChooser:
    """Choose upstreams for calls, and refuse calls that none wants.

    Parameters
    ----------
    balancer : LeastLoadBalancer
        Compares upstreams.
    guard : CrashGuard
        Refuses calls that crash upstreams.

    Attributes
    ----------
    on_scarce : callable
        Called with the service of a call that no upstream wants at once.
    """

    __slots__ = ("_balancer", "_guard", "on_scarce")

    def __init__(self, balancer: LeastLoadBalancer, guard: CrashGuard) -> None:
        self._balancer = balancer
        self._guard = guard
        self.on_scarce: Callable[[str], None] = _ignore

    def choose(self, call: Call, progress: CallProgress) -> Upstream:
        """Return the upstream of the next attempt.

        Parameters
        ----------
        call : Call
            The call.
        progress : CallProgress
            Its attempts so far.

        Returns
        -------
        Upstream

        Raises
        ------
        Refused
            No upstream is ready, or too little time is left.
        """
        upstream = self._find(call, progress)
        if upstream is None:
            self.on_scarce(call.service)
            wait_s = self._wait_s(call, progress)
            if wait_s:
                gevent.sleep(wait_s)
                upstream = self._find(call, progress)
        if upstream is None:
            raise self._refusal(call, progress)
        now = time.monotonic()
        progress.start_attempt(now)
        _log.info(
            "call routed",
            request_id=call.id,
            fingerprint=call.fingerprint,
            route=call.route.name,
            team=call.team,
            service=call.service,
            upstream=upstream.name,
            load=round(self._balancer.load(upstream, now), 2),
            attempt=progress.sends + 1,
            left_ms=call.deadline.left_ms(now),
            routes_version=call.routes_version,
            list_version=self._balancer.list_version,
        )
        return upstream

    def check_excluded(self, call: Call) -> None:
        """Raise `Refused` if all upstreams are evacuated or in other regions.

        Parameters
        ----------
        call : Call
            A new call, which has not been sent yet.
        """
        if refusal := self._exclusion(call, may_have_run=False):
            raise refusal

    def wanted(self, call: Call, progress: CallProgress) -> bool:
        """Return whether an untried upstream wants a call now or soon enough.

        Parameters
        ----------
        call : Call
            The call.
        progress : CallProgress
            Its attempts so far.

        Returns
        -------
        bool
        """
        return self._wait_s(call, progress) is not None

    def retry_after_s(self, call: Call) -> float:
        """Return when to come back for a call that is refused now.

        Parameters
        ----------
        call : Call
            The call.

        Returns
        -------
        float
            Seconds.
        """
        available_s = self._balancer.reserve_s(
            call.service, time.monotonic(), regions=call.regions
        )
        return max(MIN_RETRY_AFTER_S, available_s)

    def _find(self, call: Call, progress: CallProgress) -> Upstream | None:
        now = time.monotonic()
        self._guard.check(call, may_have_run=progress.runs > 0)
        if call.deadline.left_s(now) < MIN_REMAINING_S:
            raise Refused(RefusalCause.DEADLINE, may_have_run=progress.runs > 0)
        prefer_local = call.route.kind is not CallKind.STREAM
        return self._balancer.choose(
            call.service,
            progress.tried,
            now,
            prefer_local=prefer_local,
            regions=call.regions,
        )

    def _wait_s(self, call: Call, progress: CallProgress) -> float | None:
        """Return how long to wait for an untried upstream; None if that is too long."""
        now = time.monotonic()
        wait_s = self._balancer.next_available_s(
            call.service, progress.tried, now, regions=call.regions
        )
        most_s = min(MAX_WAIT_S, call.deadline.left_s(now) - MIN_REMAINING_S)
        return wait_s if wait_s <= most_s else None

    def _refusal(self, call: Call, progress: CallProgress) -> Refused:
        if refusal := self._exclusion(call, may_have_run=progress.runs > 0):
            return refusal
        retry_after_s = self.retry_after_s(call)
        limits = self._balancer.limits(call.service, regions=call.regions)
        fields = {"limited": len(limits), "own_per_s": round(sum(limits), 3)}
        return Refused(
            RefusalCause.LIMITED if limits else RefusalCause.NO_UPSTREAM,
            may_have_run=progress.runs > 0,
            retry_after_s=retry_after_s,
            log_fields=fields if limits else None,
        )

    def _exclusion(self, call: Call, *, may_have_run: bool) -> Refused | None:
        if self._balancer.outside(call.service, call.regions):
            cause = RefusalCause.OUTSIDE_REGIONS
        elif self._balancer.evacuated(call.service, call.regions):
            cause = RefusalCause.EVACUATED
        else:
            return None
        return Refused(
            cause,
            may_have_run=may_have_run,
            retry_after_s=EXCLUDED_RETRY_AFTER_S,
            log_fields={
                "regions": None if call.regions is None else sorted(call.regions)
            },
        )


def _ignore(service: str) -> None:
    pass

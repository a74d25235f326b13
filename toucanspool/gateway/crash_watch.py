"""Detection of upstreams that crash while they answer calls."""

import math
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import structlog

from toucanspool.retries.crash_evidence import CrashId, Traits
from toucanspool.routing.upstream import Listing, Upstream
from toucanspool.wire.reachability import Reachability, check_reachability

# The replies that a crash breaks end within milliseconds of each other.
CHECK_DELAY_S = 0.1
CONNECT_TIMEOUT_S = 0.5
MAX_UPSTREAMS = 1024

_log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class Crash:
    """Hold the crash of one upstream.

    Parameters
    ----------
    id : CrashId
        Identifies the crash.
    calls : tuple of tuple of str
        Traits of each call whose reply the crash broke off.
    """

    id: CrashId
    calls: tuple[Traits, ...]


@dataclass(slots=True)
class _Suspicion:
    last_sent_at: float = -math.inf
    calls: list[Traits] = field(default_factory=list)


@dataclass(slots=True)
class _Crashes:
    number: int = 0
    confirmed_at: float = -math.inf


class CrashWatch:
    """Find out whether upstreams have crashed when replies break off.

    A broken reply alone may be a lost connection. An upstream has crashed if it
    refuses a connection right after that. If a request that was sent later breaks off
    too, the upstream has come back as the same incarnation and crashed again.

    Parameters
    ----------
    on_crash : callable
        Called with each `Crash`; more than once for the same one if more replies
        break after the first check.
    """

    __slots__ = ("_crashes", "_on_crash", "_suspicions")

    def __init__(self, on_crash: Callable[[Crash], None]) -> None:
        self._on_crash = on_crash
        self._suspicions: dict[tuple[str, int], _Suspicion] = {}
        self._crashes: OrderedDict[tuple[str, int], _Crashes] = OrderedDict()

    def record_break(self, upstream: Upstream, traits: Traits, sent_at: float) -> None:
        """Record a reply that broke off, and check the upstream in the background.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        traits : tuple of str
            Traits of the call.
        sent_at : float
            When the call was sent to it, in seconds on the monotonic clock.
        """
        suspicion = self._suspicions.setdefault(upstream.incarnation, _Suspicion())
        suspicion.calls.append(traits)
        suspicion.last_sent_at = max(suspicion.last_sent_at, sent_at)
        if len(suspicion.calls) == 1:
            gevent.spawn_later(CHECK_DELAY_S, self._check, upstream.listing)

    def _check(self, listing: Listing) -> None:
        incarnation = listing.name, listing.started_ms
        suspicion = self._suspicions.pop(incarnation)
        reachability = check_reachability(listing.host, listing.port, CONNECT_TIMEOUT_S)
        if reachability is not Reachability.REFUSES:
            return
        crashes = self._crashes.setdefault(incarnation, _Crashes())
        self._crashes.move_to_end(incarnation)
        if len(self._crashes) > MAX_UPSTREAMS:
            self._crashes.popitem(last=False)
        if suspicion.last_sent_at > crashes.confirmed_at:
            crashes.number += 1
        crashes.confirmed_at = time.monotonic()
        calls = tuple(suspicion.calls)
        _log.warning(
            "upstream crashed",
            upstream=listing.name,
            service=listing.service,
            number=crashes.number,
            calls=calls,
        )
        self._on_crash(Crash(CrashId(*incarnation, crashes.number), calls))

"""One upstream: its record in the list, its load, and whether it wants requests."""

import math
from dataclasses import dataclass

import structlog

from toucanspool.routing.cold_start import ColdStart
from toucanspool.routing.request_limit import RequestLimit

# Time constant by which a reported load decays.
REPORT_DECAY_S = 1.0
# Longest pause that one reply can ask for. Upstreams that need more ask again.
MAX_PAUSE_S = 60.0
_log = structlog.get_logger()


@dataclass(slots=True, frozen=True, kw_only=True)
class Listing:
    """Hold one record of the upstream list.

    Parameters
    ----------
    name : str
        Name of the upstream instance.
    service : str
        Name of the service that it runs.
    host : str
        IP address.
    port : int
        TCP port.
    failure_domain : str
        Failure domain that it runs in.
    ready : bool
        Whether it accepts new requests; False while it drains.
    slots : int
        Requests that it runs concurrently.
    started_ms : int
        Start time by its own clock, in Unix milliseconds; 0 if unknown. A change
        means that the upstream has restarted.
    cold_remaining_s : float or None
        How long it stays cold, in seconds; None if the record doesn't say.
    """

    name: str
    service: str
    host: str
    port: int
    failure_domain: str = ""
    ready: bool = True
    slots: int = 1
    started_ms: int = 0
    cold_remaining_s: float | None = None

    @property
    def address(self) -> str:
        """Return the address as ``HOST:PORT``."""
        return f"{self.host}:{self.port}"


class Upstream:
    """Track the load of one upstream.

    Parameters
    ----------
    listing : Listing
        Record of the upstream list.

    Attributes
    ----------
    listing : Listing
        Latest record of the upstream list.
    in_flight : int
        Unfinished calls of this entry.
    leaving : bool
        Whether it has said that it is leaving. It never takes that back.
    limit : RequestLimit
        The requests a second that it takes, and this entry's part of them.
    cold : ColdStart
        Whether it is cold, and this entry's part of the requests that it then takes.
    paused_until : float
        Time until which it wants no requests from this entry, in seconds on the
        monotonic clock.
    """

    __slots__ = (
        "_other_requests",
        "_reported_at",
        "cold",
        "in_flight",
        "leaving",
        "limit",
        "listing",
        "paused_until",
    )

    def __init__(self, listing: Listing) -> None:
        self.listing = listing
        self.in_flight = 0
        self.leaving = not listing.ready
        self.paused_until = -math.inf
        self.limit = RequestLimit(math.inf, -math.inf, 0.0)
        self.cold = ColdStart()
        self._other_requests = 0.0
        self._reported_at = -math.inf

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.listing.name

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what distinguishes it from all others: its name and start time."""
        return self.listing.name, self.listing.started_ms

    @property
    def bounded(self) -> bool:
        """Return whether the rate of requests is bounded now."""
        return self.limit.limited or self.cold.bounded

    @property
    def per_s(self) -> float:
        """Return the requests a second from all entries; infinity for no bound."""
        cold_per_s = self.cold.per_s if self.cold.bounded else math.inf
        return min(self.limit.per_s, cold_per_s)

    @property
    def own_per_s(self) -> float:
        """Return the requests a second of this entry; infinity for no bound."""
        limit_per_s = self.limit.own_per_s if self.limit.limited else math.inf
        cold_per_s = self.cold.own_per_s if self.cold.bounded else math.inf
        return min(limit_per_s, cold_per_s)

    def leave(self) -> None:
        """Record that it has said that it is leaving."""
        if not self.leaving:
            self.leaving = True
            _log.info("upstream leaving", upstream=self.name)

    def name_limit(
        self, per_s: float, named_at: float, now: float, *, told_by: str = ""
    ) -> None:
        """Record a limit that the upstream has named, unless a later one is known.

        Parameters
        ----------
        per_s : float
            Requests a second from all entries together; infinity for no limit.
        named_at, now : float
            When it was named, and the time, in seconds on the monotonic clock.
        told_by : str, default=""
            Entry that it was named to; empty for this one.
        """
        if named_at < self.limit.named_at:
            return
        if per_s != self.limit.per_s:
            _log.info(
                "upstream names a limit",
                upstream=self.name,
                per_s=_log_value(per_s),
                before=_log_value(self.limit.per_s),
                age_s=round(now - named_at, 3),
                told_by=told_by,
            )
        self.limit.name(per_s, named_at, now)

    def forget_limit(self, now: float) -> None:
        """Drop a limit that has not been named for long.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        _log.info(
            "upstream limit forgotten",
            upstream=self.name,
            before=_log_value(self.limit.per_s),
            age_s=round(now - self.limit.named_at, 3),
        )
        self.limit.name(math.inf, self.limit.named_at, now)

    def wait_s(self, now: float) -> float:
        """Return the time until it wants a request from this entry.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            Seconds; 0 if it wants one now, infinity if this entry has no part of the
            requests that it takes.
        """
        return max(
            0.0,
            self.paused_until - now,
            self.limit.wait_s(now),
            self.cold.wait_s(now),
        )

    def start_request(self, now: float) -> None:
        """Count a request that this entry sends.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        self.in_flight += 1
        self.count_request(now)

    def count_request(self, now: float) -> None:
        """Count a request against the bounds on the rate.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        self.limit.count_request(now)
        self.cold.count_request(now)

    def pause(self, now: float, duration_s: float) -> None:
        """Record that it wants no requests from this entry for a time.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        duration_s : float
            Length of that time, in seconds; at most `MAX_PAUSE_S` count.
        """
        duration_s = min(duration_s, MAX_PAUSE_S)
        self.paused_until = max(self.paused_until, now + duration_s)
        _log.info("upstream paused", upstream=self.name, duration_s=duration_s)

    def report_load(self, running: int, waiting: int, now: float) -> None:
        """Update the load from a reply's headers.

        Parameters
        ----------
        running, waiting : int
            Requests of all entries.
        now : float
            Seconds on the monotonic clock.
        """
        self._other_requests = float(max(0, running + waiting - self.in_flight))
        self._reported_at = now

    def load(self, now: float, usual_load: float = 0.0) -> float:
        """Return the estimated number of requests at the upstream.

        With the report's age, the reported requests of other entries count less and
        the usual load more.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        usual_load : float, default=0.0
            Mean number of requests of other entries at an upstream.

        Returns
        -------
        float
        """
        age_s = now - self._reported_at
        weight = math.exp(-age_s / REPORT_DECAY_S)
        others = weight * self._other_requests + (1.0 - weight) * usual_load
        return self.in_flight + others


def _log_value(limit: float) -> float | None:
    return round(limit, 3) if limit < math.inf else None

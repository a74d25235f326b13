"""One upstream: its record in the list, its load, and whether it wants requests."""

import math
from dataclasses import dataclass

import structlog

# Time constant by which a reported load decays.
REPORT_DECAY_S = 1.0
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
    """

    name: str
    service: str
    host: str
    port: int
    failure_domain: str = ""
    ready: bool = True
    slots: int = 1
    started_ms: int = 0

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
    request_limit : float
        Requests a second that it takes from all entries together; infinity if it
        names no limit.
    paused_until : float
        Time until which it wants no requests from this entry, in seconds on the
        monotonic clock.
    """

    __slots__ = (
        "_other_requests",
        "_reported_at",
        "in_flight",
        "leaving",
        "listing",
        "paused_until",
        "request_limit",
    )

    def __init__(self, listing: Listing) -> None:
        self.listing = listing
        self.in_flight = 0
        self.leaving = not listing.ready
        self.paused_until = -math.inf
        self.request_limit = math.inf
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

    def leave(self) -> None:
        """Record that it has said that it is leaving."""
        if not self.leaving:
            self.leaving = True
            _log.info("upstream leaving", upstream=self.name)

    def set_request_limit(self, limit: float) -> None:
        """Record the limit that an answer names.

        Parameters
        ----------
        limit : float
            Requests a second from all entries together; infinity if the answer names
            no limit.
        """
        if limit != self.request_limit:
            _log.info(
                "upstream names a limit",
                upstream=self.name,
                per_s=_log_value(limit),
                before=_log_value(self.request_limit),
            )
        self.request_limit = limit

    def pause(self, now: float, duration_s: float) -> None:
        """Record that it wants no requests from this entry for a time.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        duration_s : float
            Length of that time, in seconds.
        """
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

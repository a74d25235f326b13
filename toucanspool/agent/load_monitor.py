"""Reading of an upstream's load and reporting of it to entries."""

import gevent
import structlog

from toucanspool.agent.upstream_client import (
    UpstreamBroken,
    UpstreamClient,
    UpstreamUnreachable,
)
from toucanspool.protected.clock import Clock
from toucanspool.wire.gen.messages.ttypes import Report

_log = structlog.get_logger()


class LoadMonitor:
    """Build load reports from an engine's figures or a service's call count.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    client : UpstreamClient
        Client of the upstream, used to read its load.
    clock : Clock
        Source of monotonic time, for the age of a report.
    reports_load : bool
        Whether the upstream reports its load, as engines do. Otherwise the agent
        reports its own count of calls in progress.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_load",
        "_read_at",
        "_reports_load",
        "_seq",
        "_upstream",
    )

    def __init__(
        self, upstream: str, client: UpstreamClient, clock: Clock, *, reports_load: bool
    ) -> None:
        self._upstream = upstream
        self._client = client
        self._clock = clock
        self._reports_load = reports_load
        self._load = {"running": 0, "waiting": 0, "step_ms": 0.0}
        self._read_at = clock.now()
        self._seq = 0

    def read(self) -> None:
        """Read the load once; after a failure the previous one is kept with its age."""
        if not self._reports_load:
            return
        try:
            with gevent.Timeout(1.0):
                self._load = self._client.load()
        except (UpstreamBroken, UpstreamUnreachable, gevent.Timeout) as exc:
            _log.debug("load not read", upstream=self._upstream, error=repr(exc))
            return
        self._read_at = self._clock.now()

    def report(self, *, calls: int, state: str, revision: int) -> Report:
        """Return the load report for entries.

        Parameters
        ----------
        calls : int
            Number of calls in progress at this agent.
        state : {"serve", "standby", "drain"}
            Whether the upstream takes calls, is held in reserve or is draining.
        revision : int
            Revision of the configuration that the agent has applied.

        Returns
        -------
        Report
        """
        self._seq += 1
        age_s = self._clock.now() - self._read_at if self._reports_load else 0.0
        running = int(self._load["running"]) if self._reports_load else calls
        return Report(
            upstream=self._upstream,
            seq=self._seq,
            running=running,
            waiting=int(self._load["waiting"]),
            step_ms=float(self._load["step_ms"]),
            state=state,
            revision=revision,
            age_ms=int(age_s * 1000),
            prefixes=[],
        )

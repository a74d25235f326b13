"""The load of an upstream, read beside it and told to entries."""

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


class LoadWatch:
    """Keep the newest load report of an engine, or count a service's calls.

    Parameters
    ----------
    upstream : str
        The upstream's name.
    client : UpstreamClient
        Where load is read.
    clock : Clock
        Time.
    reports : bool
        Whether the upstream reports load.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_load",
        "_read_at",
        "_reports",
        "_seq",
        "_upstream",
    )

    def __init__(
        self, upstream: str, client: UpstreamClient, clock: Clock, *, reports: bool
    ) -> None:
        self._upstream = upstream
        self._client = client
        self._clock = clock
        self._reports = reports
        self._load = {"running": 0, "waiting": 0, "step_ms": 0.0}
        self._read_at = clock.now()
        self._seq = 0

    def read(self) -> None:
        """Read the load once; a failure keeps the last one, which ages."""
        if not self._reports:
            return
        try:
            with gevent.Timeout(1.0):
                self._load = self._client.load()
        except (UpstreamBroken, UpstreamUnreachable, gevent.Timeout) as exc:
            _log.debug("no load report", upstream=self._upstream, error=repr(exc))
            return
        self._read_at = self._clock.now()

    def report(self, *, calls: int, state: str, revision: int) -> Report:
        """Return what entries are told.

        Parameters
        ----------
        calls : int
            Calls in progress at this agent.
        state : {"serve", "standby", "drain"}
            What the upstream does.
        revision : int
            The agent's revision of the configuration.

        Returns
        -------
        Report
        """
        self._seq += 1
        age_s = self._clock.now() - self._read_at if self._reports else 0.0
        running = int(self._load["running"]) if self._reports else calls
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

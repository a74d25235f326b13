"""Probes of the other entries, and of upstreams that are ejected."""

import time

import gevent
import structlog

from toucanspool.backing.http_client import CallLost, CallRefused
from toucanspool.gateway.core import GatewayCore
from toucanspool.membership.entries import Entries, EntryRecord
from toucanspool.platform.json_calls import JsonCalls
from toucanspool.retries.ejection import Result

TIMEOUT_S = 0.8
READINESS_PATH = "/readyz"
OK = 200

_log = structlog.get_logger()


class Probes:
    """Probe what may be away.

    Parameters
    ----------
    entries : Entries
        The other entries.
    core : GatewayCore
        Knows the upstreams.
    """

    __slots__ = ("_core", "_entries")

    def __init__(self, entries: Entries, core: GatewayCore) -> None:
        self._entries = entries
        self._core = core

    def run(self) -> None:
        """Send a probe to each, without waiting for answers."""
        for entry in self._entries.peers:
            gevent.spawn(self._probe_entry, entry)
        for name in self._core.ejector.due(time.monotonic()):
            gevent.spawn(self._probe_upstream, name)

    def _probe_entry(self, entry: EntryRecord) -> None:
        host, _, port = entry.probe.rpartition(":")
        ready = _answers(host, int(port), READINESS_PATH)
        self._entries.probed(entry.name, ready=ready)

    def _probe_upstream(self, name: str) -> None:
        upstream = self._core.upstreams.find(name)
        if upstream is None or self._core.routes is None:
            return
        listing = upstream.listing
        path = self._core.routes.service(listing.service).health_path
        good = _answers(listing.host, listing.port, path)
        result = Result.OK if good else Result.FAILED
        if self._core.ejector.probed(name, result, time.monotonic()):
            _log.info("upstream returned", upstream=name)


def _answers(host: str, port: int, path: str) -> bool:
    try:
        status, _ = JsonCalls(host, port, timeout_s=TIMEOUT_S).call("GET", path)
    except (CallRefused, CallLost) as exc:
        _log.debug("probe failed", host=host, port=port, error=repr(exc))
        return False
    return status == OK

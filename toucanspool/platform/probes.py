"""Probes of the other entries, and of upstreams that are ejected."""

import random
import time
from typing import Any

import gevent
import structlog

from toucanspool.backing.http_client import CallLost, CallRefused
from toucanspool.gateway.core import GatewayCore
from toucanspool.membership.entries import Entries, EntryRecord
from toucanspool.platform.json_calls import JsonCalls
from toucanspool.platform.pages import PEERS_PATH
from toucanspool.retries.ejection import Result

TIMEOUT_S = 0.8
# Entries probed at a time, besides suspects: with many entries, each is still probed as
# often by some of them, who tell the others.
MOST_ENTRIES = 8
OK, NO_ANSWER = 200, 0

_log = structlog.get_logger()


class Probes:
    """Probe what may be away.

    Parameters
    ----------
    entries : Entries
        The other entries.
    core : GatewayCore
        Knows the upstreams.
    rng : random.Random
        Draws the entries to probe.
    """

    __slots__ = ("_core", "_entries", "_rng")

    def __init__(self, entries: Entries, core: GatewayCore, rng: random.Random) -> None:
        self._entries = entries
        self._core = core
        self._rng = rng

    def run(self) -> None:
        """Send a probe to each, without waiting for answers."""
        for entry in self._entries.probe_targets(MOST_ENTRIES, self._rng):
            gevent.spawn(self._probe_entry, entry)
        for name in self._core.ejector.due_probes(time.monotonic()):
            gevent.spawn(self._probe_upstream, name)

    def _probe_entry(self, entry: EntryRecord) -> None:
        host, _, port = entry.probe.rpartition(":")
        status, told = _ask(host, int(port), PEERS_PATH)
        told = told if isinstance(told, dict) else {}
        self._entries.record_probe(
            entry.name,
            ready=status == OK,
            streams=told.get("carried"),
            lost=told.get("lost") or (),
        )

    def _probe_upstream(self, name: str) -> None:
        upstream = self._core.upstreams.find(name)
        if upstream is None or self._core.routes is None:
            return
        listing = upstream.listing
        path = self._core.routes.service(listing.service).health_path
        status, _ = _ask(listing.host, listing.port, path)
        result = Result.OK if status == OK else Result.FAILED
        if self._core.ejector.record_probe(name, result, time.monotonic()):
            _log.info("upstream returned", upstream=name)


def _ask(host: str, port: int, path: str) -> tuple[int, Any]:
    try:
        return JsonCalls(host, port, timeout_s=TIMEOUT_S).call("GET", path)
    except (CallRefused, CallLost) as exc:
        _log.debug("probe failed", host=host, port=port, error=repr(exc))
        return NO_ANSWER, None

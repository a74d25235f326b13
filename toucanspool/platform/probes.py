"""Probes of the other entries and of ejected upstreams."""

import random
import time
from urllib.parse import urlencode

import gevent
import structlog

from toucanspool.backing.checked_values import address
from toucanspool.backing.http_client import CallLost, CallRefused
from toucanspool.gateway.core import GatewayCore
from toucanspool.membership.entries import Entries
from toucanspool.membership.entry_record import EntryRecord
from toucanspool.platform.headers import MISDIRECTED_REQUEST, parse_cold_s
from toucanspool.platform.pages import PEERS_PATH, PROBER_PARAMETER
from toucanspool.platform.peer_status import decode_peer_status
from toucanspool.platform.unpooled_client import JsonResponse, UnpooledClient
from toucanspool.retries.ejection import AttemptResult

TIMEOUT_S = 0.8
# Entries tell of the limits of all upstreams, some 60 bytes each.
MAX_BODY_BYTES = 1024 * 1024
# Entries probed per round besides suspected ones. With many entries, each is still
# probed as often by some of the others, which share their results.
MAX_ENTRIES_PER_ROUND = 8
OK, NO_RESPONSE = 200, 0

_log = structlog.get_logger()


class Prober:
    """Send probes to other entries and to ejected upstreams.

    Parameters
    ----------
    entries : Entries
        Selects entries to probe and records the results.
    core : GatewayCore
        Upstreams, their health, and the routes with their health paths.
    rng : random.Random
        Random source for the order of entries.
    """

    __slots__ = ("_core", "_entries", "_rng")

    def __init__(self, entries: Entries, core: GatewayCore, rng: random.Random) -> None:
        self._entries = entries
        self._core = core
        self._rng = rng

    def run(self) -> None:
        """Start all probes that are due, without waiting for responses."""
        for entry in self._entries.probe_targets(MAX_ENTRIES_PER_ROUND, self._rng):
            gevent.spawn(self._probe_entry, entry)
        for name in self._core.ejector.due_probes(time.monotonic()):
            gevent.spawn(self._probe_upstream, name)

    def _probe_entry(self, entry: EntryRecord) -> None:
        asked_at = time.monotonic()
        path = PEERS_PATH
        if not self._entries.leaving:
            path += "?" + urlencode({PROBER_PARAMETER: self._entries.own_name})
        response = JsonResponse(NO_RESPONSE, {}, None)
        try:
            response = _send_probe(*address(entry.probe), path)
        except (TypeError, ValueError) as exc:
            _log.warning("entry not probed", entry=entry.name, error=str(exc))
        peer = decode_peer_status(response.body, told_by=entry.name)
        self._entries.record_probe(
            entry.name,
            ready=response.status == OK,
            now=time.monotonic(),
            streams=peer.streams,
            loads=peer.loads,
            count=peer.count,
            lost=peer.lost,
        )
        self._core.limit_sharing.adopt(peer.limits, entry.name, asked_at)

    def _probe_upstream(self, name: str) -> None:
        upstream = self._core.upstreams.find(name)
        if upstream is None or self._core.routes is None:
            return
        if upstream.listing.failure_domain in self._core.upstreams.evacuations:
            return
        now = time.monotonic()
        if upstream.wait_s(now) > 0.0:
            return
        # Health checks are requests too.
        upstream.count_request(now)
        listing = upstream.listing
        path = self._core.routes.service(listing.service).health_path
        response = _send_probe(listing.host, listing.port, path)
        result = AttemptResult.OK if response.status == OK else AttemptResult.FAILED
        cold_s = parse_cold_s(response.headers)
        if cold_s is not None and response.status != MISDIRECTED_REQUEST:
            cold_starts = self._core.upstreams.cold_starts
            cold_starts.read_health(upstream, cold_s, time.monotonic())
        if self._core.ejector.record_probe(name, result, time.monotonic()):
            _log.info("upstream returned", upstream=name)


def _send_probe(host: str, port: int, path: str) -> JsonResponse:
    try:
        client = UnpooledClient(
            host, port, timeout_s=TIMEOUT_S, max_body_bytes=MAX_BODY_BYTES
        )
        return client.call("GET", path)
    except (CallRefused, CallLost) as exc:
        _log.debug("probe failed", host=host, port=port, error=repr(exc))
        return JsonResponse(NO_RESPONSE, {}, None)

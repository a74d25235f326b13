"""The gateway role: serves callers and pages, and follows the platform's store."""

import time
from contextlib import ExitStack
from typing import Any

import gevent
import structlog

from toucanspool.gateway.caller_server import CallerServer
from toucanspool.gateway.core import GatewayCore
from toucanspool.gateway.crash_watch import Crash
from toucanspool.gateway.draining import drain
from toucanspool.groups.rank_record import PREFIX as RANK_PREFIX
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.membership.entries import Entries
from toucanspool.membership.entry_record import (
    ENTRY_PREFIX,
    EntryRecord,
    select_entries,
)
from toucanspool.platform import configuration, listings, pages
from toucanspool.platform.entry_rows import EntryRows
from toucanspool.platform.evacuations import EvacuationRows
from toucanspool.platform.frontend import Frontend
from toucanspool.platform.headers import PlatformDialect
from toucanspool.platform.probes import Prober
from toucanspool.platform.rank_rows import RankRows
from toucanspool.platform.registration import Registration
from toucanspool.platform.store import OWN_ROWS_PAUSE_S, RowStoreClient, table_of
from toucanspool.platform.subscriptions import Subscriptions
from toucanspool.platform.upstream_rows import UpstreamRows
from toucanspool.recovery.feed import Changes
from toucanspool.retries.crash_exchange import CrashExchange
from toucanspool.settings.settings import Address, Settings
from toucanspool.telemetry.call_metrics import CallMetrics
from toucanspool.wire.bounded_server import BoundedServer
from toucanspool.wire.client_limits import ClientLimits
from toucanspool.wire.http_server import HttpServer
from toucanspool.wire.request_limits import RequestLimits

LIMITS_INTERVAL_S = 0.1
PROBE_INTERVAL_S = 1.0
LOAD_LOG_INTERVAL_S = 1.0
# Versions in quick succession are read together, well within the time that the
# platform allows for applying one.
ROUTES_PAUSE_S = 0.5
# Time in which a client of a page may read nothing before it is disconnected.
PAGE_STALL_S = 2.0
# Callers cache addresses for up to three times the TTL.
ADDRESS_TTL_FACTOR = 3.0

_log = structlog.get_logger()


class GatewayRole:
    """Serve callers according to the platform's routes.

    Parameters
    ----------
    cfg : Settings
        Settings of the process.
    """

    __slots__ = (
        "_cfg",
        "_client_limits",
        "_closing",
        "_core",
        "_crash_exchange",
        "_entries",
        "_evacuations",
        "_metrics",
        "_own_record",
        "_registration",
        "_server",
        "_store",
        "_subscriptions",
        "_upstream_rows",
    )

    def __init__(self, cfg: Settings) -> None:
        gateway = cfg.gateway
        self._cfg = cfg
        self._own_record = EntryRecord(
            cfg.instance,
            _format_address(gateway.callers),
            _format_address(gateway.readiness),
            cfg.region if cfg.zones else "",
        )
        self._entries = Entries(self._own_record)
        self._metrics = CallMetrics()
        self._closing = ExitStack()

    def start(self, kernel: Kernel) -> None:
        """Start the servers and follow the store; see `Service`."""
        cfg = self._cfg.gateway
        rng = kernel.find("rng").named("gateway")
        store = cfg.store
        self._store = RowStoreClient(store.address.host, store.address.port)
        self._registration = Registration(self._store, self._own_record)
        self._core = GatewayCore(
            self._entries,
            PlatformDialect(),
            cfg.retries,
            failure_domain=self._cfg.failure_domain,
            rng=rng,
            metrics=self._metrics,
            max_reply_bytes=cfg.max_reply_bytes,
            on_crash=self._report_crash,
            cold_starts=cfg.cold_starts,
        )
        self._set_regions()
        self._core.set_hedging(cfg.hedging)
        self._crash_exchange = CrashExchange(
            self._store, self._cfg.instance, self._core.quarantine
        )
        self._closing.callback(self._crash_exchange.stop)
        self._subscriptions = Subscriptions(
            self._store, wait_s=store.feed_wait_s, rng=rng
        )
        self._closing.callback(self._subscriptions.stop)
        self._evacuations = EvacuationRows(
            self._core.upstreams.evacuations, lambda: self._store.era
        )
        self._subscriptions.follow(
            configuration.TABLE,
            self._replace_operator_rows,
            self._update_operator_rows,
            pause_s=ROUTES_PAUSE_S,
        )
        self._upstream_rows = upstream_rows = UpstreamRows(self._core)
        self._subscriptions.follow(
            listings.TABLE,
            upstream_rows.replace,
            upstream_rows.update,
            pause_s=store.list_interval_s,
            on_regained=lambda: self._core.upstreams.store_regained(time.monotonic()),
        )
        entry_rows = EntryRows(self._entries, self._registration, self._crash_exchange)
        rank_rows = RankRows(self._core.upstreams.set_slowdowns)
        for prefix, rows in (ENTRY_PREFIX, entry_rows), (RANK_PREFIX, rank_rows):
            self._subscriptions.follow(
                table_of(prefix), rows.replace, rows.update, pause_s=OWN_ROWS_PAUSE_S
            )
        frontend = Frontend(
            self._core.dispatcher, lambda: self._core.routes, rng, self._metrics
        )
        self._client_limits: ClientLimits = kernel.find("clients")
        limits = self._client_limits
        limits.configure(self._cfg.limits.resolve(), max_held_bytes=cfg.max_held_bytes)
        self._metrics.watch_clients(limits)
        self._server = CallerServer(
            cfg.callers.host,
            cfg.callers.port,
            frontend,
            limits=RequestLimits(),
            client_limits=limits,
            caller_stall_s=cfg.caller_stall_s,
            on_slow_reader=self._metrics.record_slow_reader,
        )
        self._start_server(self._server)
        readiness = pages.readiness_page(
            lambda: self.ready,
            self._peer_status,
            lambda name: self._entries.reports.record_prober(name, time.monotonic()),
        )
        self._serve_page(cfg.readiness, readiness)
        addresses = pages.directory_page(
            self._ready_addresses, lambda: self._cfg.gateway.address_ttl_s
        )
        self._serve_page(cfg.directory, addresses)
        if cfg.metrics is not None:
            self._serve_page(cfg.metrics, pages.metrics_page(self._metrics.render))
        for name, interval_s, func in (
            ("limits", LIMITS_INTERVAL_S, self._core.tick),
            ("probes", PROBE_INTERVAL_S, Prober(self._entries, self._core, rng).run),
            ("report", LOAD_LOG_INTERVAL_S, self._log_load),
        ):
            ticker = Ticker(name, interval_s, func, rng=rng)
            ticker.start()
            self._closing.callback(ticker.stop)
        self._closing.callback(self._registration.stop)

    def reload(self, cfg: Settings) -> None:
        """Apply new settings; changed addresses need a restart."""
        self._cfg = cfg
        self._core.set_retry_budget(cfg.gateway.retries)
        self._set_regions()
        self._core.set_cold_starts(cfg.gateway.cold_starts)
        self._client_limits.configure(
            cfg.limits.resolve(), max_held_bytes=cfg.gateway.max_held_bytes
        )
        self._server.set_stall(cfg.gateway.caller_stall_s)
        self._core.set_hedging(cfg.gateway.hedging)

    def stop(self) -> None:
        """Deregister, drain calls within the grace period, and close; see `Service`."""
        cfg = self._cfg
        self._entries.leaving = True
        gevent.spawn(self._registration.withdraw)
        # Callers with cached addresses still send requests.
        drain(
            self._server,
            self._core.dispatcher,
            address_life_s=ADDRESS_TTL_FACTOR * cfg.gateway.address_ttl_s,
            grace_s=cfg.drain.grace_s,
        )
        self._closing.close()

    @property
    def ready(self) -> bool:
        """Return whether this entry is ready for calls."""
        return (
            self._core.routes is not None
            and self._upstream_rows.known
            and not self._entries.leaving
        )

    def _serve_page(self, address: Address, page: pages.Page) -> None:
        server = BoundedServer(
            address.host,
            address.port,
            page,
            client_limits=self._client_limits,
            stall_s=PAGE_STALL_S,
        )
        self._start_server(server)

    def _start_server(self, server: HttpServer) -> None:
        server.start()
        self._closing.callback(server.stop, timeout=0)

    def _peer_status(self) -> dict[str, Any]:
        sharing = self._core.limit_sharing
        return {
            "carried": self._core.mean_streams(),
            "loads": sharing.loads(),
            "limits": sharing.report(),
            "count": self._entries.count(time.monotonic()),
            "lost": self._entries.lost,
        }

    def _set_regions(self) -> None:
        cfg = self._cfg
        if cfg.zones:
            self._core.regions.replace({cfg.failure_domain: cfg.region} | cfg.zones)
        else:
            # Without a table there is one region.
            self._core.regions.replace({}, elsewhere=cfg.region)

    def _ready_addresses(self, host: str, region: str) -> list[str]:
        live = self._entries.live
        if not self.ready:
            live = [entry for entry in live if entry != self._own_record]
        routes = self._core.routes
        regions = routes.host_regions(host) if routes else None
        return [entry.address for entry in select_entries(live, regions, region)]

    def _replace_operator_rows(self, changes: Changes) -> None:
        # Evacuations come first: with the routes, this entry becomes ready.
        self._evacuations.replace(changes, time.monotonic())
        self._set_routes(changes)

    def _update_operator_rows(self, changes: Changes) -> None:
        self._evacuations.update(changes, time.monotonic())
        self._set_routes(changes)

    def _set_routes(self, changes: Changes) -> None:
        routes = configuration.find_routes(changes)
        if routes is not None:
            self._core.set_routes(routes)
            self._server.limits = routes.limits

    def _report_crash(self, crash: Crash) -> None:
        self._crash_exchange.report(crash.id, crash.calls)

    def _log_load(self) -> None:
        ages = self._subscriptions.ages()
        for table, age_s in ages.items():
            self._metrics.store_age.labels(table).set(age_s)
        _log.info(
            "load",
            running=self._core.dispatcher.running,
            limits=self._core.limits(),
            entries=len(self._entries.live),
            upstreams=len(self._core.upstreams),
            ejected=sorted(self._core.ejector.ejected),
            evacuated=list(self._core.upstreams.evacuations),
            store_ages_s={table: round(age_s, 1) for table, age_s in ages.items()},
        )


def _format_address(address: Address) -> str:
    return f"{address.host}:{address.port}"

"""The gateway role on the platform: its pages, its feeds, and its part in both."""

import random
import time
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any

import gevent
import structlog

from toucanspool.backing.table import TableError, Write
from toucanspool.gateway.caller_server import CallerServer
from toucanspool.gateway.core import GatewayCore
from toucanspool.groups.rank_record import PREFIX as RANK_PREFIX
from toucanspool.groups.rank_record import RankRecord, decode_rank
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.membership.entries import ENTRY_PREFIX, Entries, EntryRecord
from toucanspool.platform import configuration, pages, runners
from toucanspool.platform.frontend import Frontend
from toucanspool.platform.headers import PlatformDialect
from toucanspool.platform.probes import Probes
from toucanspool.platform.store import OWN_PAUSE_S, RowStore, table_of
from toucanspool.recovery.feed import Changes, FeedFollower
from toucanspool.routing.routes import RequestLimits
from toucanspool.settings.settings import Address, Settings
from toucanspool.telemetry.call_metrics import CallMetrics
from toucanspool.wire.http_server import HttpServer

TICK_S = 0.1
PROBE_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 1.0
LIST_RETRY_S = 0.5
# Versions that come in quick succession are read together, well within the time that
# the platform gives to apply one.
ROUTES_PAUSE_S = 0.5
# Callers keep an answer up to three times as long as told.
KEEP_FACTOR = 3.0
# Left for the last answers before the process is killed.
END_SLACK_S = 0.6

Take = Callable[[Changes], None]

_log = structlog.get_logger()


class GatewayRole:
    """Serve callers by route on the platform.

    Parameters
    ----------
    cfg : Settings
        The process's settings.
    """

    __slots__ = (
        "_cfg",
        "_closing",
        "_core",
        "_entries",
        "_metrics",
        "_own",
        "_ranks",
        "_server",
        "_store",
        "_upstreams_known",
    )

    def __init__(self, cfg: Settings) -> None:
        gateway = cfg.gateway
        self._cfg = cfg
        self._own = EntryRecord(
            cfg.instance, _text(gateway.callers), _text(gateway.readiness)
        )
        self._entries = Entries(self._own)
        self._metrics = CallMetrics()
        self._closing = ExitStack()
        self._ranks: dict[str, RankRecord] = {}
        self._upstreams_known = False

    def start(self, kernel: Kernel) -> None:
        """Open the pages and follow the store; see `Service`."""
        cfg = self._cfg.gateway
        rng = kernel.find("rng").named("gateway")
        store = cfg.store
        self._store = RowStore(
            store.address.host, store.address.port, feed_wait_s=store.feed_wait_s
        )
        self._core = GatewayCore(
            self._entries,
            PlatformDialect(),
            cfg.retries,
            failure_domain=self._cfg.failure_domain,
            rng=rng,
            metrics=self._metrics,
        )
        self._follow(
            configuration.TABLE,
            self._routes,
            self._routes,
            rng=rng,
            pause_s=ROUTES_PAUSE_S,
        )
        self._follow(
            runners.TABLE,
            self._all_upstreams,
            self._changed_upstreams,
            rng=rng,
            pause_s=store.list_interval_s,
        )
        for prefix, on_snapshot, on_changes in (
            (ENTRY_PREFIX, self._all_entries, self._changed_entries),
            (RANK_PREFIX, self._all_ranks, self._changed_ranks),
        ):
            self._follow(
                table_of(prefix),
                on_snapshot,
                on_changes,
                rng=rng,
                pause_s=OWN_PAUSE_S,
            )
        frontend = Frontend(
            self._core.dispatcher, lambda: self._core.routes, rng, self._metrics
        )
        self._server = CallerServer(
            cfg.callers.host, cfg.callers.port, frontend, limits=RequestLimits()
        )
        self._serve(self._server)
        readiness = pages.readiness_page(lambda: self.ready, self._to_peers)
        self._page(cfg.readiness, readiness)
        addresses = pages.directory_page(
            self._addresses, lambda: self._cfg.gateway.address_ttl_s
        )
        self._page(cfg.directory, addresses)
        if cfg.metrics is not None:
            self._page(cfg.metrics, pages.metrics_page(self._metrics.page))
        for name, interval_s, func in (
            ("limits", TICK_S, self._core.tick),
            ("probes", PROBE_INTERVAL_S, Probes(self._entries, self._core, rng).run),
            ("report", REPORT_INTERVAL_S, self._report),
        ):
            ticker = Ticker(name, interval_s, func, rng=rng)
            ticker.start()
            self._closing.callback(ticker.stop)
        listing = gevent.spawn(self._list_self)
        self._closing.callback(listing.kill)

    def reload(self, cfg: Settings) -> None:
        """Take new bounds and times; addresses hold until the next start."""
        self._cfg = cfg
        self._core.set_retry_budget(cfg.gateway.retries)

    def stop(self) -> None:
        """Leave without cutting off a call; see `Service`."""
        started = time.monotonic()
        end = started + self._cfg.drain.grace_s - END_SLACK_S
        self._entries.leaving = True
        gevent.spawn(self._unlist_self)
        # Callers that hold an earlier answer still come.
        keep_s = min(
            KEEP_FACTOR * self._cfg.gateway.address_ttl_s,
            self._cfg.drain.grace_s / 2,
        )
        gevent.sleep(keep_s)
        self._core.dispatcher.draining = True
        while self._core.dispatcher.running and time.monotonic() < end:
            gevent.sleep(0.02)
        _log.info(
            "drained",
            running=self._core.dispatcher.running,
            took_s=round(time.monotonic() - started, 2),
        )
        self._closing.close()

    @property
    def ready(self) -> bool:
        """Return whether callers may come."""
        return (
            self._core.routes is not None
            and self._upstreams_known
            and not self._entries.leaving
        )

    def _follow(
        self,
        table: str,
        on_snapshot: Take,
        on_changes: Take,
        *,
        rng: random.Random,
        pause_s: float = 0.0,
    ) -> None:
        follower = FeedFollower(
            self._store,
            table,
            on_snapshot,
            on_changes,
            wait_s=self._cfg.gateway.store.feed_wait_s,
            pause_s=pause_s,
            rng=rng,
        )
        follower.start()
        self._closing.callback(follower.stop)

    def _page(self, address: Address, page: pages.Page) -> None:
        self._serve(HttpServer(address.host, address.port, page))

    def _serve(self, server: HttpServer) -> None:
        server.start()
        self._closing.callback(server.stop, timeout=0)

    def _to_peers(self) -> dict[str, Any]:
        return {"carried": self._core.carried(), "lost": self._entries.lost}

    def _addresses(self) -> list[str]:
        live = self._entries.live
        if not self.ready:
            live = [entry for entry in live if entry != self._own]
        return [entry.address for entry in live]

    def _routes(self, changes: Changes) -> None:
        routes = configuration.routes_in(changes)
        if routes is not None:
            self._core.set_routes(routes)
            self._server.limits = routes.limits

    def _all_upstreams(self, changes: Changes) -> None:
        listings = [runners.decode_listing(row) for row in changes.rows]
        known = [listing for listing in listings if listing is not None]
        self._core.upstreams.replace(known, changes.version)
        self._core.upstreams_changed()
        self._upstreams_known = True

    def _changed_upstreams(self, changes: Changes) -> None:
        changed = {row.key: runners.decode_listing(row) for row in changes.rows}
        changed.update(dict.fromkeys(changes.deleted))
        self._core.upstreams.change(changed, changes.version)
        self._core.upstreams_changed()

    def _all_entries(self, changes: Changes) -> None:
        self._entries.replace(changes.rows)

    def _changed_entries(self, changes: Changes) -> None:
        for row in changes.rows:
            self._entries.put(row)
        for key in changes.deleted:
            self._entries.drop(key)

    def _all_ranks(self, changes: Changes) -> None:
        self._ranks.clear()
        self._changed_ranks(changes)

    def _changed_ranks(self, changes: Changes) -> None:
        for key in changes.deleted:
            self._ranks.pop(key, None)
        for row in changes.rows:
            if record := decode_rank(row):
                self._ranks[row.key] = record
        paces = {record.upstream: record.pace for record in self._ranks.values()}
        self._core.upstreams.set_slowdowns(paces)

    def _list_self(self) -> None:
        write = Write(ENTRY_PREFIX + self._own.name, self._own.encode())
        while not self._written(write):
            gevent.sleep(LIST_RETRY_S)

    def _unlist_self(self) -> None:
        self._written(Write(ENTRY_PREFIX + self._own.name, None))

    def _written(self, write: Write) -> bool:
        try:
            self._store.commit([], [write])
        except TableError as exc:
            _log.warning("own record not written", error=repr(exc))
            return False
        return True

    def _report(self) -> None:
        _log.info(
            "load",
            running=self._core.dispatcher.running,
            limits=self._core.limits(),
            entries=len(self._entries.live),
            upstreams=len(self._core.upstreams),
            ejected=sorted(self._core.ejector.ejected),
        )


def _text(address: Address) -> str:
    return f"{address.host}:{address.port}"

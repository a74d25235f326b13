"""The rank agent role on the platform: beside an engine, which it reaches for free."""

from contextlib import ExitStack

import gevent

from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.rank_calls import RequestReceiver
from toucanspool.groups.rank_member import WATCH_INTERVAL_S, RankMember
from toucanspool.groups.rank_record import PREFIX
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.platform import configuration, runners
from toucanspool.platform.engine import PlatformEngine
from toucanspool.platform.runners import decode_listing
from toucanspool.platform.store import RowStore, table_of
from toucanspool.recovery.feed import Changes, FeedFollower
from toucanspool.routing.routes import EngineModel, RouteTable
from toucanspool.routing.upstreams import Listing
from toucanspool.settings.settings import Settings
from toucanspool.wire.listener import Listener

# The engines' model, all that is read of the configuration, hardly ever changes.
ROUTES_PAUSE_S = 10.0
# A coordinator finds a rank agent that came back within this time.
RANKS_PAUSE_S = 0.5
MBIT = 1e6


class RankRole:
    """Guard one rank, and stand for the coordinator of its group.

    Parameters
    ----------
    cfg : Settings
        The process's settings.
    """

    __slots__ = ("_cfg", "_closing", "_member", "_routes", "_runner")

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._closing = ExitStack()
        self._routes: RouteTable | None = None

    def start(self, kernel: Kernel) -> None:
        """Take asks and follow the store; see `Service`."""
        cfg = self._cfg.rank_agent
        rng = kernel.find("rng").named("rank")
        address = cfg.store.address
        store = RowStore(address.host, address.port, feed_wait_s=cfg.store.feed_wait_s)
        engine = PlatformEngine(cfg.engine.host, cfg.engine.port)
        self._closing.callback(engine.close)
        keeper = FencedEngine(engine)
        self._member = RankMember(
            self._cfg.instance,
            self._cfg.host,
            self._cfg.port,
            engine=engine,
            find_listing=lambda: self._find_listing(store, engine),
            connect=_connect,
            fenced_engine=keeper,
            table=store,
            engine_model=self._engine_model,
            link_bits_per_s=cfg.link_mbit_per_s * MBIT,
            rank_feed=lambda member: FeedFollower(
                store,
                table_of(PREFIX),
                lambda changes: member.replace(list(changes.rows)),
                lambda changes: _change_ranks(member, changes),
                wait_s=cfg.store.feed_wait_s,
                pause_s=RANKS_PAUSE_S,
                rng=rng,
            ),
        )
        self._closing.callback(self._member.close)
        listener = Listener(
            self._cfg.host, self._cfg.port, lambda: RequestReceiver(keeper.answer)
        )
        listener.start()
        self._closing.callback(listener.stop)
        routes = FeedFollower(
            store,
            configuration.TABLE,
            self._take_routes,
            self._take_routes,
            wait_s=cfg.store.feed_wait_s,
            pause_s=ROUTES_PAUSE_S,
            rng=rng,
        )
        routes.start()
        self._closing.callback(routes.stop)
        ticker = Ticker("rank watch", WATCH_INTERVAL_S, self._member.watch, rng=rng)
        ticker.start()
        self._closing.callback(ticker.stop)
        self._runner = gevent.spawn(self._member.run)

    def stop(self) -> None:
        """End a switch under way, then close all; see `Service`."""
        self._member.stop()
        self._runner.join(timeout=self._cfg.drain.grace_s / 2)
        self._runner.kill()
        self._closing.close()

    def _engine_model(self) -> EngineModel | None:
        if self._routes is None:
            return None
        return self._routes.service(self._cfg.rank_agent.service).engine

    def _find_listing(self, store: RowStore, engine: PlatformEngine) -> Listing | None:
        if self._routes is None:
            return None
        service = self._routes.service(self._cfg.rank_agent.service)
        row = store.row(runners.TABLE, engine.name(service.health_path))
        return decode_listing(row) if row else None

    def _take_routes(self, changes: Changes) -> None:
        self._routes = configuration.routes_in(changes) or self._routes


def _change_ranks(member: RankMember, changes: Changes) -> None:
    for row in changes.rows:
        member.put(row)
    for key in changes.deleted:
        member.drop(key)


def _connect(address: str) -> PlatformEngine:
    host, _, port = address.rpartition(":")
    return PlatformEngine(host, int(port))

"""The rank agent role: controls the engine on its machine without network cost."""

from contextlib import ExitStack

import gevent

from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.rank_calls import RequestReceiver
from toucanspool.groups.rank_member import WATCH_INTERVAL_S, RankMember
from toucanspool.groups.rank_record import PREFIX
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.platform import configuration
from toucanspool.platform.engine import PlatformEngine
from toucanspool.platform.store import RowStoreClient, table_of
from toucanspool.recovery.feed import Changes, FeedFollower
from toucanspool.routing.routes import EngineModel, RouteTable
from toucanspool.settings.settings import Settings
from toucanspool.wire.listener import Listener

# A coordinator detects a restarted rank agent within this time.
RANKS_PAUSE_S = 0.5
BITS_PER_MBIT = 1e6


class RankRole:
    """Manage one rank, and act as its group's coordinator when elected.

    Parameters
    ----------
    cfg : Settings
        Settings of the process.
    """

    __slots__ = ("_cfg", "_closing", "_member", "_routes", "_member_task")

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._closing = ExitStack()
        self._routes: RouteTable | None = None

    def start(self, kernel: Kernel) -> None:
        """Start answering the coordinator and following the store; see `Service`."""
        cfg = self._cfg.rank_agent
        rng = kernel.find("rng").named("rank")
        address = cfg.store.address
        store = RowStoreClient(address.host, address.port)
        engine = PlatformEngine(cfg.engine.host, cfg.engine.port)
        self._closing.callback(engine.close)
        fenced_engine = FencedEngine(engine)
        self._member = RankMember(
            self._cfg.instance,
            self._cfg.host,
            self._cfg.port,
            engine=engine,
            engine_address=f"{cfg.engine.host}:{cfg.engine.port}",
            find_upstream=lambda: self._find_upstream(store, engine),
            connect=_connect,
            fenced_engine=fenced_engine,
            table=store,
            engine_model=self._engine_model,
            link_bits_per_s=cfg.link_mbit_per_s * BITS_PER_MBIT,
            rank_feed=lambda member: FeedFollower(
                store,
                table_of(PREFIX),
                lambda changes: member.replace(list(changes.rows)),
                lambda changes: _update_ranks(member, changes),
                wait_s=cfg.store.feed_wait_s,
                pause_s=RANKS_PAUSE_S,
                rng=rng,
            ),
        )
        self._closing.callback(self._member.close)
        listener = Listener(
            self._cfg.host,
            self._cfg.port,
            lambda: RequestReceiver(fenced_engine.answer),
        )
        listener.start(kernel.find("clients"))
        self._closing.callback(listener.stop)
        ticker = Ticker("rank watch", WATCH_INTERVAL_S, self._member.watch, rng=rng)
        ticker.start()
        self._closing.callback(ticker.stop)
        self._member_task = gevent.spawn(self._member.run)

    def stop(self) -> None:
        """Finish a map switch in progress, then close; see `Service`."""
        self._member.stop()
        self._member_task.join(timeout=self._cfg.drain.grace_s / 2)
        self._member_task.kill()
        self._closing.close()

    def _engine_model(self) -> EngineModel | None:
        if self._routes is None:
            return None
        return self._routes.service(self._cfg.rank_agent.service).engine

    def _find_upstream(
        self, store: RowStoreClient, engine: PlatformEngine
    ) -> str | None:
        # The configuration is read once: only the health path and the engine model are
        # used, which stay. Following it would take the link from the expert counts.
        if self._routes is None:
            self._routes = configuration.find_routes(
                store.snapshot(configuration.TABLE)
            )
        if self._routes is None:
            return None
        service = self._routes.service(self._cfg.rank_agent.service)
        return engine.name(service.health_path)


def _update_ranks(member: RankMember, changes: Changes) -> None:
    for row in changes.rows:
        member.put(row)
    for key in changes.deleted:
        member.drop(key)


def _connect(address: str) -> PlatformEngine:
    host, _, port = address.rpartition(":")
    return PlatformEngine(host, int(port))

"""The ranks of a lock-step group that an agent stands beside."""

import time
from contextlib import ExitStack

import gevent
import structlog

from toucanspool.backing.http_client import JsonClient
from toucanspool.groups.engine import EngineError
from toucanspool.groups.http_engine import HttpEngine
from toucanspool.groups.rank_agent import RankAgent
from toucanspool.groups.record import RecordStore
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.settings.settings import Address, Ranks
from toucanspool.wire.connection import Connection, ConnectionLost
from toucanspool.wire.gen.messages.ttypes import (
    Frame,
    Order,
    OrderReply,
    OrderResult,
    RankLoad,
)

WORK_TIMEOUT_S = 1.0
WORK_INTERVAL_S = 1.0
COORDINATOR_TTL_S = 5.0

_log = structlog.get_logger()


class RanksService:
    """Carry out a coordinator's orders and tell it of the ranks' work.

    Parameters
    ----------
    cfg : Ranks
        The group and its ranks here.
    address : Address
        The process that holds the ranks.
    """

    __slots__ = ("_address", "_agents", "_cfg", "_closing", "_coordinators", "_engines")

    def __init__(self, cfg: Ranks, address: Address) -> None:
        self._cfg = cfg
        self._address = address
        self._agents: dict[int, RankAgent] = {}
        self._engines: dict[int, HttpEngine] = {}
        self._coordinators: dict[Connection, float] = {}
        self._closing = ExitStack()

    def start(self, kernel: Kernel) -> None:
        """Read the fencing token back and begin; see `Service`."""
        table = kernel.find("platform").table
        # An order given up could be carried out later, past a newer one.
        orders = self._client(None)
        questions = self._client(WORK_TIMEOUT_S)
        fences = RecordStore(table, self._cfg.group)
        for rank in self._cfg.ranks:
            self._engines[rank] = HttpEngine(questions, rank)
            agent = RankAgent(engine=HttpEngine(orders, rank), fence_source=fences)
            agent.read_recorded_fence()
            self._agents[rank] = agent
        rng = kernel.find("rng").named("ranks")
        ticker = Ticker("ranks", WORK_INTERVAL_S, self._tell_work, rng=rng)
        ticker.start()
        self._closing.callback(ticker.stop)

    def stop(self) -> None:
        """End telling; see `Service`."""
        self._closing.close()

    def received(self, conn: Connection, frame: Frame) -> None:
        """Take an order.

        Parameters
        ----------
        conn : Connection
            The coordinator's connection.
        frame : Frame
            The message; one that is no order is passed over.
        """
        if frame.order is not None:
            self._coordinators[conn] = time.monotonic()
            gevent.spawn(self._answer, conn, frame.order)

    def _client(self, timeout_s: float | None) -> JsonClient:
        host, port = self._address.host, self._address.port
        client = JsonClient(host, port, timeout_s=timeout_s)
        self._closing.callback(client.close)
        return client

    def _answer(self, conn: Connection, order: Order) -> None:
        reply = self._carry_out(order)
        try:
            conn.send(Frame(order_reply=reply))
        except ConnectionLost:
            _log.info("coordinator left", group=order.group)

    def _carry_out(self, order: Order) -> OrderReply:
        agent = self._agents.get(order.rank)
        if agent is None or order.group != self._cfg.group:
            return OrderReply(
                call=order.call,
                result=OrderResult.UNREACHABLE,
                rank=order.rank,
                order_fence=order.fence,
                detail="this agent has no such rank",
            )
        return agent.handle(order)

    def _tell_work(self) -> None:
        oldest = time.monotonic() - COORDINATOR_TTL_S
        self._coordinators = {
            conn: at
            for conn, at in self._coordinators.items()
            if at >= oldest and not conn.closed
        }
        if not self._coordinators:
            return
        for rank, engine in self._engines.items():
            try:
                self._tell_one(rank, engine)
            except (EngineError, ConnectionLost) as exc:
                _log.debug("work not told", rank=rank, error=str(exc))

    def _tell_one(self, rank: int, engine: HttpEngine) -> None:
        work = engine.work()
        load = RankLoad(
            group=self._cfg.group,
            rank=rank,
            version=work["version"],
            steps=work["steps"],
            busy_s=work["busy_s"],
            layers=len(work["tokens"]),
            tokens=[count for layer in work["tokens"] for count in layer],
            age_ms=0,
        )
        for conn in self._coordinators:
            conn.send(Frame(rank_load=load))

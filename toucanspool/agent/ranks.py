"""The ranks of a lock-step group that an agent runs beside."""

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

LOAD_TIMEOUT_S = 1.0
LOAD_REPORT_INTERVAL_S = 1.0
COORDINATOR_TTL_S = 5.0

_log = structlog.get_logger()


class RanksService:
    """Execute a coordinator's orders and report the ranks' load to it.

    Parameters
    ----------
    cfg : Ranks
        The group, and those of its ranks that this agent serves.
    address : Address
        HTTP address of the process that runs the ranks.
    """

    __slots__ = (
        "_address",
        "_agents",
        "_cfg",
        "_exit_stack",
        "_coordinators",
        "_engines",
    )

    def __init__(self, cfg: Ranks, address: Address) -> None:
        self._cfg = cfg
        self._address = address
        self._agents: dict[int, RankAgent] = {}
        self._engines: dict[int, HttpEngine] = {}
        self._coordinators: dict[Connection, float] = {}
        self._exit_stack = ExitStack()

    def start(self, kernel: Kernel) -> None:
        """Read the recorded fencing token and start reporting; see `Service`."""
        table = kernel.find("platform").table
        # No timeout: the engine could still execute an order that timed out here, after
        # a newer order.
        order_client = self._make_client(None)
        load_client = self._make_client(LOAD_TIMEOUT_S)
        fence_source = RecordStore(table, self._cfg.group)
        for rank in self._cfg.ranks:
            self._engines[rank] = HttpEngine(load_client, rank)
            agent = RankAgent(
                engine=HttpEngine(order_client, rank), fence_source=fence_source
            )
            agent.read_recorded_fence()
            self._agents[rank] = agent
        rng = kernel.find("rng").named("ranks")
        ticker = Ticker("ranks", LOAD_REPORT_INTERVAL_S, self._report_loads, rng=rng)
        ticker.start()
        self._exit_stack.callback(ticker.stop)

    def stop(self) -> None:
        """Stop reporting; see `Service`."""
        self._exit_stack.close()

    def received(self, conn: Connection, frame: Frame) -> None:
        """Execute an order in its own greenlet.

        Parameters
        ----------
        conn : Connection
            Connection to the coordinator, which receives the reply.
        frame : Frame
            Received message; ignored if it is not an order.
        """
        if frame.order is not None:
            self._coordinators[conn] = time.monotonic()
            gevent.spawn(self._reply, conn, frame.order)

    def _make_client(self, timeout_s: float | None) -> JsonClient:
        host, port = self._address.host, self._address.port
        client = JsonClient(host, port, timeout_s=timeout_s)
        self._exit_stack.callback(client.close)
        return client

    def _reply(self, conn: Connection, order: Order) -> None:
        reply = self._execute(order)
        try:
            conn.send(Frame(order_reply=reply))
        except ConnectionLost:
            _log.info("coordinator disconnected", group=order.group)

    def _execute(self, order: Order) -> OrderReply:
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

    def _report_loads(self) -> None:
        oldest = time.monotonic() - COORDINATOR_TTL_S
        self._coordinators = {
            conn: ordered_at
            for conn, ordered_at in self._coordinators.items()
            if ordered_at >= oldest and not conn.closed
        }
        if not self._coordinators:
            return
        for rank, engine in self._engines.items():
            try:
                self._report_load(rank, engine)
            except (EngineError, ConnectionLost) as exc:
                _log.debug("rank load not reported", rank=rank, error=str(exc))

    def _report_load(self, rank: int, engine: HttpEngine) -> None:
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

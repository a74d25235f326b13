"""Connections from the coordinator to the agents of a group; an `OrderTransport`."""

import time
from collections.abc import Callable, Iterable

import numpy as np
from gevent import Timeout
from gevent.event import AsyncResult

from toucanspool.backing.instances import Instance
from toucanspool.config.exchange import ConfigExchange
from toucanspool.entry.link import Link
from toucanspool.groups.load import RankReport
from toucanspool.groups.orders import RankUnreachable
from toucanspool.wire.connection import Connection, ConnectionLost
from toucanspool.wire.gen.messages.ttypes import Frame, Order, OrderReply, Report

ORDER_TIMEOUT_S = 1.0
GROUP_LABEL = "group"
RANKS_LABEL = "ranks"


class RankLinks:
    """Send orders to rank agents, and receive their replies and load reports.

    Parameters
    ----------
    group : str
        Name of the group.
    exchange : ConfigExchange
        Handles configuration messages.
    on_report : callable
        Called with each `RankReport`.
    """

    __slots__ = ("_exchange", "_group", "_links", "_on_report", "_ranks", "_pending")

    def __init__(
        self,
        group: str,
        exchange: ConfigExchange,
        on_report: Callable[[RankReport], None],
    ) -> None:
        self._group = group
        self._exchange = exchange
        self._on_report = on_report
        self._links: dict[tuple[str, int], Link] = {}
        self._ranks: dict[int, Link] = {}
        self._pending: dict[tuple[int, int, int], AsyncResult] = {}

    def update(self, instances: Iterable[Instance]) -> None:
        """Update the links to the current instances.

        Parameters
        ----------
        instances : iterable of Instance
            All instances. Those with this group's label run agents of its ranks.
        """
        ranks: dict[int, Link] = {}
        used: dict[tuple[str, int], Link] = {}
        for instance in instances:
            if instance.labels.get(GROUP_LABEL) != self._group:
                continue
            address = (instance.host, instance.port)
            link = self._links.get(address) or Link(
                *address, self, self._exchange.hello
            )
            used[address] = link
            for rank in instance.labels.get(RANKS_LABEL, "").split(","):
                ranks[int(rank)] = link
        for address, link in self._links.items():
            if address not in used:
                link.close()
        self._links = used
        self._ranks = ranks

    def send(self, rank: int, order: Order) -> OrderReply:
        """Send an order and wait for its reply; see `OrderTransport`."""
        link = self._ranks.get(rank)
        if link is None:
            raise RankUnreachable(rank)
        key = (rank, order.fence, order.call)
        result = self._pending.setdefault(key, AsyncResult())
        try:
            link.connect().send(Frame(order=order))
            return result.get(timeout=ORDER_TIMEOUT_S)
        except ConnectionLost as exc:
            raise RankUnreachable(rank) from exc
        except Timeout as exc:
            # The connection may be silent, so the next order opens a new one.
            link.close()
            raise RankUnreachable(rank) from exc
        finally:
            if self._pending.get(key) is result:
                del self._pending[key]

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()

    def on_report(self, report: Report) -> None:
        """Ignore the report; rank agents send `RankLoad` instead. See `LinkHandler`."""

    def on_message(self, conn: Connection, frame: Frame) -> None:
        """Handle an order reply, a load report or a configuration message."""
        if frame.order_reply is not None:
            self._handle_reply(frame.order_reply)
        elif frame.rank_load is not None:
            self._handle_load(frame)
        else:
            self._exchange.handle(conn, frame)

    def _handle_reply(self, reply: OrderReply) -> None:
        # Call numbers restart with each fencing token, so the key includes both.
        key = (reply.rank, reply.order_fence, reply.call)
        result = self._pending.get(key)
        if result is not None:
            result.set(reply)

    def _handle_load(self, frame: Frame) -> None:
        load = frame.rank_load
        tokens = np.array(load.tokens, dtype=np.int64).reshape(load.layers, -1)
        self._on_report(
            RankReport(
                rank=load.rank,
                version=load.version,
                at=time.monotonic() - load.age_ms / 1000.0,
                steps=load.steps,
                busy_s=load.busy_s,
                tokens=tokens,
            )
        )

"""The coordinator's way to the ranks' agents; implements `OrderTransport`."""

import time
from collections.abc import Callable, Iterable

import numpy as np
from gevent import Timeout
from gevent.event import AsyncResult

from toucanspool.backing.instances import Instance
from toucanspool.config.exchange import Exchange
from toucanspool.entry.link import Link
from toucanspool.groups.load import RankReport
from toucanspool.groups.orders import RankUnreachable
from toucanspool.wire.connection import Connection, ConnectionLost
from toucanspool.wire.gen.messages.ttypes import Frame, Order, OrderReply, Report

ORDER_TIMEOUT_S = 1.0
GROUP_LABEL = "group"
RANKS_LABEL = "ranks"


class RankLinks:
    """Send orders over links and take replies and reports of work.

    Parameters
    ----------
    group : str
        The group's name.
    exchange : Exchange
        Takes what is said of configuration.
    on_work : callable
        Takes each `RankReport`.
    """

    __slots__ = ("_exchange", "_group", "_links", "_on_work", "_ranks", "_waiting")

    def __init__(
        self, group: str, exchange: Exchange, on_work: Callable[[RankReport], None]
    ) -> None:
        self._group = group
        self._exchange = exchange
        self._on_work = on_work
        self._links: dict[tuple[str, int], Link] = {}
        self._ranks: dict[int, Link] = {}
        self._waiting: dict[tuple[int, int, int], AsyncResult] = {}

    def update(self, instances: Iterable[Instance]) -> None:
        """Take the platform's list.

        Parameters
        ----------
        instances : iterable of Instance
            All instances; those with this group's label hold its ranks.
        """
        ranks: dict[int, Link] = {}
        used: dict[tuple[str, int], Link] = {}
        for instance in instances:
            if instance.labels.get(GROUP_LABEL) != self._group:
                continue
            place = (instance.host, instance.port)
            link = self._links.get(place) or Link(*place, self, self._exchange.hello)
            used[place] = link
            for rank in instance.labels.get(RANKS_LABEL, "").split(","):
                ranks[int(rank)] = link
        for place, link in self._links.items():
            if place not in used:
                link.close()
        self._links = used
        self._ranks = ranks

    def send(self, rank: int, order: Order) -> OrderReply:
        """Send an order and wait for its reply; see `OrderTransport`."""
        link = self._ranks.get(rank)
        if link is None:
            raise RankUnreachable(rank)
        key = (rank, order.fence, order.call)
        result = self._waiting.setdefault(key, AsyncResult())
        try:
            link.connect().send(Frame(order=order))
            return result.get(timeout=ORDER_TIMEOUT_S)
        except (ConnectionLost, Timeout) as exc:
            raise RankUnreachable(rank) from exc
        finally:
            if self._waiting.get(key) is result:
                del self._waiting[key]

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()

    def on_report(self, report: Report) -> None:
        """Do nothing: ranks' agents report work instead; see `LinkHandler`."""

    def on_message(self, conn: Connection, frame: Frame) -> None:
        """Take a reply, a report of work, or a message of configuration."""
        if frame.order_reply is not None:
            self._replied(frame.order_reply)
        elif frame.rank_load is not None:
            self._worked(frame)
        else:
            self._exchange.received(conn, frame)

    def _replied(self, reply: OrderReply) -> None:
        # Calls are numbered anew under each fencing token: both must fit.
        key = (reply.rank, reply.order_fence, reply.call)
        result = self._waiting.get(key)
        if result is not None:
            result.set(reply)

    def _worked(self, frame: Frame) -> None:
        load = frame.rank_load
        tokens = np.array(load.tokens, dtype=np.int64).reshape(load.layers, -1)
        self._on_work(
            RankReport(
                rank=load.rank,
                version=load.version,
                at=time.monotonic() - load.age_ms / 1000.0,
                steps=load.steps,
                busy_s=load.busy_s,
                tokens=tokens,
            )
        )

"""Orders and replies as messages on connections between coordinator and agents."""

from collections.abc import Callable

import gevent
from gevent.event import AsyncResult
from gevent.lock import RLock

from toucanspool.groups.orders import RankUnreachable
from toucanspool.groups.rank_agent import OrderHandler
from toucanspool.wire.connection import Connection, ConnectionLost, connect
from toucanspool.wire.gen.messages.ttypes import Frame, Order, OrderReply

CONNECT_TIMEOUT_S = 0.5
REPLY_TIMEOUT_S = 2.0

Address = tuple[str, int]


class OrderLink:
    """Send orders to one agent and match the replies to them by number.

    Attributes
    ----------
    conn : Connection or None
        The connection; None before `open` and after it is lost.
    """

    __slots__ = ("_waiting", "conn")

    def __init__(self) -> None:
        self.conn: Connection | None = None
        self._waiting: dict[int, AsyncResult] = {}

    def ask(self, order: Order, timeout_s: float) -> OrderReply | None:
        """Send an order and wait for its reply.

        Parameters
        ----------
        order : Order
            The order; its number is used once on this link.
        timeout_s : float
            The longest wait, in seconds.

        Returns
        -------
        OrderReply or None
            None where none came.
        """
        if self.conn is None:
            return None
        waiting = self._waiting[order.call] = AsyncResult()
        try:
            self.conn.send(Frame(order=order))
            return waiting.get(timeout=timeout_s)
        except (ConnectionLost, gevent.Timeout):
            return None
        finally:
            self._waiting.pop(order.call, None)

    def received(self, conn: Connection, frame: Frame) -> None:
        """Take a reply; see `Receiver`."""
        reply = frame.order_reply
        waiting = self._waiting.get(reply.call) if reply is not None else None
        if waiting is not None:
            waiting.set(reply)

    def lost(self, conn: Connection) -> None:
        """Give up the orders without a reply; see `Receiver`."""
        self.conn = None
        for waiting in self._waiting.values():
            waiting.set(None)


class OrderLinks:
    """Send orders to the agents of a group; implements `orders.Orders`.

    Parameters
    ----------
    address_of : callable
        Returns host and port of a rank's agent, or None while there is none.
    reply_timeout_s : float, default=2.0
        The longest wait for a reply, in seconds.
    """

    __slots__ = ("_address_of", "_links", "_locks", "_reply_timeout_s")

    def __init__(
        self,
        address_of: Callable[[int], Address | None],
        *,
        reply_timeout_s: float = REPLY_TIMEOUT_S,
    ) -> None:
        self._address_of = address_of
        self._reply_timeout_s = reply_timeout_s
        self._links: dict[int, tuple[Address, OrderLink]] = {}
        self._locks: dict[int, RLock] = {}

    def send(self, rank: int, order: Order) -> OrderReply:
        """Send an order and wait for its reply; see `Orders`."""
        with self._locks.setdefault(rank, RLock()):
            link = self._link(rank)
        reply = link.ask(order, self._reply_timeout_s)
        if reply is None:
            raise RankUnreachable(rank)
        return reply

    def close(self) -> None:
        """Close all connections."""
        for rank in list(self._links):
            self._drop(rank)

    def _link(self, rank: int) -> OrderLink:
        """Return the link to a rank's agent, a new one where it moved or was lost."""
        address = self._address_of(rank)
        if address is None:
            raise RankUnreachable(rank)
        known, link = self._links.get(rank, (None, None))
        if link is not None and known == address and link.conn is not None:
            return link
        self._drop(rank)
        link = OrderLink()
        try:
            link.conn = connect(*address, link, timeout_s=CONNECT_TIMEOUT_S)
        except ConnectionLost as exc:
            raise RankUnreachable(rank) from exc
        self._links[rank] = (address, link)
        return link

    def _drop(self, rank: int) -> None:
        _, link = self._links.pop(rank, (None, None))
        if link is not None and link.conn is not None:
            link.conn.close()


def answer_order(conn: Connection, order: Order, handler: OrderHandler) -> None:
    """Carry out an order that came on a connection, and send the reply.

    To be called in a greenlet of its own: an order may wait for the engine.

    Parameters
    ----------
    conn : Connection
        Where the order came from.
    order : Order
        The order.
    handler : OrderHandler
        Carries it out.
    """
    reply = handler.handle(order)
    try:
        conn.send(Frame(order_reply=reply))
    except ConnectionLost:
        return

"""Delivery of a coordinator's orders to the rank agents, and of their replies."""

from dataclasses import dataclass
from typing import Protocol

from gevent.pool import Group
from gevent.queue import Empty, Queue

from toucanspool.wire.gen.messages.ttypes import Order, OrderReply


class RankUnreachable(Exception):
    """Report an order without a reply.

    The agent may still execute the order, now or later.

    Parameters
    ----------
    rank : int
        Index of the rank within its group.
    """

    def __init__(self, rank: int) -> None:
        super().__init__(f"no answer from the agent of rank {rank}")
        self.rank = rank


class OrderTransport(Protocol):
    """Send orders to the agents of one group's ranks."""

    def send(self, rank: int, order: Order) -> OrderReply:
        """Send an order and wait for its reply.

        Parameters
        ----------
        rank : int
            The rank that the order is for.
        order : Order
            The order to send.

        Returns
        -------
        OrderReply

        Raises
        ------
        RankUnreachable
            No reply was received.
        """
        ...


@dataclass(slots=True, frozen=True)
class AnsweredOrder:
    """Pair an order with the reply to it.

    Parameters
    ----------
    order : Order
        The order as sent.
    reply : OrderReply
        The agent's reply.
    """

    order: Order
    reply: OrderReply


class OrderSender(Protocol):
    """Send orders without blocking, and queue the replies."""

    def post(self, order: Order) -> None:
        """Send an order to its rank without waiting for the reply.

        Parameters
        ----------
        order : Order
            The order to send.
        """
        ...

    def collect(self, timeout_s: float) -> list[AnsweredOrder]:
        """Return all queued replies; block until there is at least one.

        Parameters
        ----------
        timeout_s : float
            Maximum time to block, in seconds.

        Returns
        -------
        list of AnsweredOrder
            Empty on a timeout.
        """
        ...


class GreenletOrderSender:
    """Send each order in its own greenlet; implements `OrderSender`.

    Parameters
    ----------
    transport : OrderTransport
        Sends one order and waits for its reply.
    """

    __slots__ = ("_answered", "_greenlets", "_transport")

    def __init__(self, transport: OrderTransport) -> None:
        self._transport = transport
        self._answered: Queue[AnsweredOrder] = Queue()
        self._greenlets = Group()

    def __enter__(self) -> "GreenletOrderSender":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def post(self, order: Order) -> None:
        """Send an order to its rank; see `OrderSender`."""
        self._greenlets.spawn(self._send, order)

    def collect(self, timeout_s: float) -> list[AnsweredOrder]:
        """Return all queued replies; see `OrderSender`."""
        try:
            answered = [self._answered.get(timeout=timeout_s)]
        except Empty:
            return []
        while not self._answered.empty():
            answered.append(self._answered.get_nowait())
        return answered

    def close(self) -> None:
        """Cancel the orders in flight."""
        self._greenlets.kill()

    def _send(self, order: Order) -> None:
        try:
            reply = self._transport.send(order.rank, order)
        except RankUnreachable:
            return
        self._answered.put(AnsweredOrder(order, reply))

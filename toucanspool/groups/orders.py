"""How a coordinator's orders reach the agents of the ranks."""

from dataclasses import dataclass
from typing import Protocol

from gevent.pool import Group
from gevent.queue import Empty, Queue

from toucanspool.wire.gen.messages.ttypes import Order, OrderReply


class RankUnreachable(Exception):
    """Report an order without an answer; it may be carried out, now or later.

    Parameters
    ----------
    rank : int
        The rank.
    """

    def __init__(self, rank: int) -> None:
        super().__init__(f"no answer from the agent of rank {rank}")
        self.rank = rank


class Orders(Protocol):
    """Send orders to the agents of one group's ranks."""

    def send(self, rank: int, order: Order) -> OrderReply:
        """Send an order and wait for its reply.

        Parameters
        ----------
        rank : int
            The rank.
        order : Order
            The order.

        Returns
        -------
        OrderReply

        Raises
        ------
        RankUnreachable
            No reply came.
        """
        ...


@dataclass(slots=True, frozen=True)
class Answer:
    """Hold an order and the reply to it.

    Parameters
    ----------
    order : Order
        The order.
    reply : OrderReply
        The reply.
    """

    order: Order
    reply: OrderReply


class Courier(Protocol):
    """Send orders without waiting, and hand over replies as they come."""

    def post(self, order: Order) -> None:
        """Send an order to its rank.

        Parameters
        ----------
        order : Order
            The order.
        """
        ...

    def collect(self, timeout_s: float) -> list[Answer]:
        """Return the replies that have come; wait for the first.

        Parameters
        ----------
        timeout_s : float
            The longest wait, in seconds.

        Returns
        -------
        list of Answer
        """
        ...


class GreenletCourier:
    """Send each order in a greenlet of its own; implements `Courier`.

    Parameters
    ----------
    orders : Orders
        The transport.
    """

    __slots__ = ("_answers", "_greenlets", "_orders")

    def __init__(self, orders: Orders) -> None:
        self._orders = orders
        self._answers: Queue[Answer] = Queue()
        self._greenlets = Group()

    def __enter__(self) -> "GreenletCourier":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def post(self, order: Order) -> None:
        """Send an order to its rank; see `Courier`."""
        self._greenlets.spawn(self._send, order)

    def collect(self, timeout_s: float) -> list[Answer]:
        """Return the replies that have come; see `Courier`."""
        try:
            answers = [self._answers.get(timeout=timeout_s)]
        except Empty:
            return []
        while not self._answers.empty():
            answers.append(self._answers.get_nowait())
        return answers

    def close(self) -> None:
        """Give up the orders under way."""
        self._greenlets.kill()

    def _send(self, order: Order) -> None:
        try:
            reply = self._orders.send(order.rank, order)
        except RankUnreachable:
            return
        self._answers.put(Answer(order, reply))

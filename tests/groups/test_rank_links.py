"""Links from a coordinator to the rank agents of its group."""

import pytest

from toucanspool.backing.instances import Instance
from toucanspool.groups import rank_links
from toucanspool.groups.orders import RankUnreachable
from toucanspool.groups.rank_links import GROUP_LABEL, RANKS_LABEL, RankLinks
from toucanspool.wire.gen.messages.ttypes import Frame, Hello, Order, OrderReply
from toucanspool.wire.listener import Listener


class Agent:
    """Answer orders on all connections but the first, which stays open and silent."""

    def __init__(self) -> None:
        self.connections = 0

    def connect(self) -> "AgentConnection":
        """Return the receiver of a new connection."""
        self.connections += 1
        return AgentConnection(silent=self.connections == 1)


class AgentConnection:
    """Answer orders unless silent."""

    def __init__(self, *, silent: bool) -> None:
        self._silent = silent

    def received(self, conn, frame) -> None:
        """Answer an order."""
        order = frame.order
        if order is not None and not self._silent:
            reply = OrderReply(
                call=order.call, rank=order.rank, order_fence=order.fence
            )
            conn.send(Frame(order_reply=reply))

    def lost(self, conn) -> None:
        """Do nothing."""


class NoExchange:
    """Exchange no configuration."""

    def hello(self) -> Hello:
        """Return the first message of a connection."""
        return Hello(instance="e")

    def handle(self, conn, frame) -> None:
        """Do nothing."""


def test_an_order_after_a_silent_connection_goes_out_on_a_new_one(monkeypatch):
    monkeypatch.setattr(rank_links, "ORDER_TIMEOUT_S", 0.1)
    agent = Agent()
    listener = Listener("127.0.0.1", 0, agent.connect)
    listener.start()
    links = RankLinks("g", NoExchange(), lambda report: None)
    labels = {GROUP_LABEL: "g", RANKS_LABEL: "0"}
    instance = Instance(
        name="a",
        role="agent",
        failure_domain="one",
        region="r",
        host="127.0.0.1",
        port=listener.port,
        labels=labels,
    )
    links.update([instance])
    with pytest.raises(RankUnreachable):
        links.send(0, Order(call=1, rank=0, fence=1))
    assert links.send(0, Order(call=2, rank=0, fence=1)).call == 2
    links.close()
    listener.stop()

"""Peers that send frames slowly keep no memory that the frames of others need."""

import struct

import gevent
from gevent import socket
from gevent.event import Event

from toucanspool.wire.client_limits import ClientLimits
from toucanspool.wire.codec import encode
from toucanspool.wire.connection import Connection
from toucanspool.wire.gen.messages.ttypes import Frame, RankAsk
from toucanspool.wire.listener import Listener

MB = 1 << 20
BUDGET_BYTES = 4 * MB


class Received:
    """Tell that a frame was received; implements `Receiver`."""

    def __init__(self) -> None:
        self.event = Event()

    def received(self, conn: Connection, frame: Frame) -> None:
        """Note the frame."""
        self.event.set()

    def lost(self, conn: Connection) -> None:
        """Do nothing."""


def test_a_long_frame_is_received_beside_slow_ones_that_fill_the_budget():
    received, limits = Received(), ClientLimits()
    limits.frames.max_bytes = BUDGET_BYTES
    listener = Listener("127.0.0.1", 0, lambda: received)
    listener.start(limits)
    socks = [socket.create_connection(("127.0.0.1", listener.port)) for _ in range(3)]
    for sock in socks[:2]:
        sock.sendall(struct.pack("!i", 3 * MB) + b"x" * (BUDGET_BYTES // 2 - 64 * 1024))
    with gevent.Timeout(5.0):
        while limits.frames.held_bytes < BUDGET_BYTES - MB // 2:
            gevent.sleep(0.01)
    gevent.sleep(0.5)
    data = encode(Frame(rank_ask=RankAsk(call=1, experts=b"x" * MB)))
    socks[2].sendall(struct.pack("!i", len(data)) + data)
    arrived = received.event.wait(timeout=5.0)
    listener.stop()
    for sock in socks:
        sock.close()
    assert arrived

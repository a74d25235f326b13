"""A loopback TCP proxy that can delay, refuse, reset or silence its connections."""

from contextlib import suppress
from enum import Enum

import gevent
from gevent import socket
from gevent.server import StreamServer

BLOCK_BYTES = 65536
SLOW_DELAY_S = 0.08


class LinkMode(Enum):
    """Say how the proxy treats connections."""

    GOOD = "good"
    SLOW = "slow"
    REFUSED = "refused"
    NO_ANSWERS = "answers are swallowed"
    SILENT = "both ways are swallowed"


class Proxy:
    """Forward connections to a port; a context manager.

    Parameters
    ----------
    port : int
        The port to forward to.

    Attributes
    ----------
    mode : LinkMode
        How connections are treated, including open ones.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._sockets: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._forward)
        self._server.start()
        self.port = self._server.server_port
        self.mode = LinkMode.GOOD

    def __enter__(self) -> "Proxy":
        return self

    def __exit__(self, *exc: object) -> None:
        self._server.stop(timeout=0)
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for sock in list(self._sockets):
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0" * 2)
                sock.close()
        self._sockets.clear()

    def _forward(self, client: socket.socket, address: tuple[str, int]) -> None:
        if self.mode is LinkMode.REFUSED:
            client.close()
            return
        try:
            server = socket.create_connection(("127.0.0.1", self._port), timeout=2.0)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        self._sockets |= {client, server}
        answer_task = gevent.spawn(self._pump, server, client, is_answer=True)
        self._pump(client, server, is_answer=False)
        answer_task.join(timeout=30)
        self._sockets -= {client, server}

    def _pump(
        self, source: socket.socket, sink: socket.socket, *, is_answer: bool
    ) -> None:
        # A connection that has lost bytes delivers nothing further.
        discards = False
        with suppress(OSError):
            while data := source.recv(BLOCK_BYTES):
                if self.mode is LinkMode.SLOW:
                    gevent.sleep(SLOW_DELAY_S)
                discards |= self.mode is LinkMode.SILENT
                discards |= self.mode is LinkMode.NO_ANSWERS and is_answer
                if not discards:
                    sink.sendall(data)
        if discards:
            return
        with suppress(OSError):
            sink.shutdown(socket.SHUT_WR)

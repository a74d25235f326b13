"""A loopback proxy whose connections can be delayed, reset, cut one way or silenced."""

from contextlib import suppress
from enum import Enum

import gevent
from gevent import socket
from gevent.server import StreamServer

BLOCK_BYTES = 65536
DELAY_S = 0.08


class Link(Enum):
    """Name what the proxy does with connections."""

    GOOD = "good"
    SLOW = "slow"
    REFUSED = "refused"
    NO_ANSWERS = "answers are swallowed"
    SILENT = "both ways are swallowed"


class Proxy:
    """Carry connections to a port; a context manager.

    Parameters
    ----------
    port : int
        The port at the other end.

    Attributes
    ----------
    link : Link
        What is done with connections, those open as well.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._socks: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._carry)
        self._server.start()
        self.port = self._server.server_port
        self.link = Link.GOOD

    def __enter__(self) -> "Proxy":
        return self

    def __exit__(self, *exc: object) -> None:
        self._server.stop(timeout=0)
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for sock in list(self._socks):
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0" * 2)
                sock.close()
        self._socks.clear()

    def _carry(self, near: socket.socket, address: tuple[str, int]) -> None:
        if self.link is Link.REFUSED:
            near.close()
            return
        try:
            far = socket.create_connection(("127.0.0.1", self._port), timeout=2.0)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        self._socks |= {near, far}
        back = gevent.spawn(self._pump, far, near, answers=True)
        self._pump(near, far, answers=False)
        back.join(timeout=30)
        self._socks -= {near, far}

    def _pump(
        self, source: socket.socket, sink: socket.socket, *, answers: bool
    ) -> None:
        with suppress(OSError):
            while data := source.recv(BLOCK_BYTES):
                if self.link is Link.SLOW:
                    gevent.sleep(DELAY_S)
                swallowed = self.link is Link.SILENT
                swallowed |= self.link is Link.NO_ANSWERS and answers
                if not swallowed:
                    sink.sendall(data)
        with suppress(OSError):
            sink.shutdown(socket.SHUT_WR)

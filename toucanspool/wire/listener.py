"""A TCP server whose connections carry frames."""

from collections.abc import Callable

from gevent import socket
from gevent.server import StreamServer

from toucanspool.wire.connection import Connection, Receiver


class Listener:
    """Accept connections and keep them until they close.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 picks a free one.
    receiver_factory : callable
        Returns the `Receiver` of a new connection.
    """

    __slots__ = ("_conns", "_receiver_factory", "_server")

    def __init__(
        self, host: str, port: int, receiver_factory: Callable[[], Receiver]
    ) -> None:
        self._conns: set[Connection] = set()
        self._receiver_factory = receiver_factory
        self._server = StreamServer((host, port), self._accept)

    @property
    def port(self) -> int:
        """The TCP port that the server listens on."""
        return self._server.server_port

    @property
    def connections(self) -> list[Connection]:
        """The open connections."""
        self._conns = {conn for conn in self._conns if not conn.closed}
        return list(self._conns)

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections and close the open ones."""
        self._server.close()
        for conn in self.connections:
            conn.close()

    def _accept(self, sock: socket.socket, address: tuple[str, int]) -> None:
        self._conns = {conn for conn in self._conns if not conn.closed}
        conn = Connection(sock, self._receiver_factory())
        self._conns.add(conn)
        conn.wait()

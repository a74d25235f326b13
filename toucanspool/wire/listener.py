"""A listening socket whose connections carry frames."""

from collections.abc import Callable

from gevent import socket
from gevent.server import StreamServer

from toucanspool.wire.connection import Connection, Receiver


class Listener:
    """Accept connections and own them.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        Port; 0 picks a free one.
    receiver : callable
        Returns who takes what arrives on a new connection.
    """

    __slots__ = ("_conns", "_receiver", "_server")

    def __init__(self, host: str, port: int, receiver: Callable[[], Receiver]) -> None:
        self._conns: set[Connection] = set()
        self._receiver = receiver
        self._server = StreamServer((host, port), self._accept)

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return self._server.server_port

    @property
    def connections(self) -> list[Connection]:
        """The connections that are open."""
        self._conns = {conn for conn in self._conns if not conn.closed}
        return list(self._conns)

    def start(self) -> None:
        """Begin accepting."""
        self._server.start()

    def stop(self) -> None:
        """Refuse new connections and close those open."""
        self._server.close()
        for conn in self.connections:
            conn.close()

    def _accept(self, sock: socket.socket, address: tuple[str, int]) -> None:
        self._conns = {conn for conn in self._conns if not conn.closed}
        conn = Connection(sock, self._receiver())
        self._conns.add(conn)
        conn.wait()

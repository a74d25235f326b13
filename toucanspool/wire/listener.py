"""A TCP server whose connections carry frames."""

from collections.abc import Callable
from contextlib import ExitStack

from gevent import socket

from toucanspool.wire.client_limits import ClientLimits
from toucanspool.wire.connection import Connection, Receiver
from toucanspool.wire.gated_server import MAX_WAIT_S, GatedServer
from toucanspool.wire.socket_buffers import BuffersExhausted


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
        self._server = GatedServer((host, port), self._accept)
        self._server.client_limits = ClientLimits()

    @property
    def port(self) -> int:
        """The TCP port that the server listens on."""
        return self._server.server_port

    @property
    def connections(self) -> list[Connection]:
        """The open connections."""
        self._conns = {conn for conn in self._conns if not conn.closed}
        return list(self._conns)

    def start(self, limits: ClientLimits | None = None) -> None:
        """Start accepting connections.

        Parameters
        ----------
        limits : ClientLimits, optional
            Bounds on them; none by default.
        """
        self._server.client_limits = limits or self._server.client_limits
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections and close the open ones."""
        self._server.close()
        for conn in self.connections:
            conn.close()

    def _accept(self, sock: socket.socket, address: tuple[str, int]) -> None:
        limits = self._server.client_limits
        with ExitStack() as closing:
            closing.callback(sock.close)
            if not self._server.wait_for_place():
                return
            try:
                buffers = limits.buffers.wait(
                    sock,
                    MAX_WAIT_S,
                    make_room=limits.connections.evict_any,
                    given_up=lambda: False,
                )
            except BuffersExhausted:
                return
            closing.callback(buffers.close)
            self._conns = {conn for conn in self._conns if not conn.closed}
            conn = Connection(sock, self._receiver_factory(), limits)
            closing.callback(conn.close)
            if limits.connections.add(conn):
                closing.callback(limits.connections.remove, conn)
                self._conns.add(conn)
                conn.wait()

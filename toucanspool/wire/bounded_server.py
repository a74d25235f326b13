"""An HTTP server whose clients can make the process hold and spend only so much."""

from collections.abc import Callable
from typing import Any

from gevent import socket

from toucanspool.wire.bounded_handler import BoundedHandler
from toucanspool.wire.client_limits import ClientLimits
from toucanspool.wire.gated_server import GatedServer
from toucanspool.wire.http_server import HttpServer
from toucanspool.wire.request_limits import RequestLimits


class BoundedServer(GatedServer, HttpServer):
    """Serve a WSGI application within bounds on its clients.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 picks a free one.
    app : callable
        The WSGI application.
    limits : RequestLimits, optional
        Limits on requests; may be replaced while the server runs.
    client_limits : ClientLimits, optional
        Bounds that all servers of the process share; by default there are none.
    stall_s : float, optional
        Time in which a client may read nothing before it is disconnected, in seconds;
        as for idle connections by default.
    on_slow_reader : callable, optional
        Called for each client that is disconnected for that.
    """

    handler_class = BoundedHandler

    def __init__(
        self,
        host: str,
        port: int,
        app: Any,
        *,
        limits: RequestLimits | None = None,
        client_limits: ClientLimits | None = None,
        stall_s: float | None = None,
        on_slow_reader: Callable[[], None] = lambda: None,
    ) -> None:
        self.limits = limits or RequestLimits()
        super().__init__(host, port, app, idle_timeout_s=self.limits.idle_timeout_s)
        self.client_limits = client_limits or ClientLimits()
        self.set_stall(stall_s)
        self.on_slow_reader = on_slow_reader

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection as soon as it has a place; overrides `HttpServer`."""
        if self.wait_for_place():
            super().handle(sock, address)
        else:
            sock.close()

    def finish_accepting(self) -> None:
        """Accept the connections that wait, and stop; overrides `HttpServer`."""
        GatedServer.finish_accepting(self)
        HttpServer.finish_accepting(self)

    def set_stall(self, stall_s: float | None) -> None:
        """Set the time in which a client may read nothing; None for the default."""
        self.stall_s = stall_s or self.limits.idle_timeout_s

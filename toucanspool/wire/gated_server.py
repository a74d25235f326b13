"""A TCP server that accepts connections only while there is a place for them."""

import time

import gevent
from gevent import socket
from gevent.server import StreamServer

from toucanspool.wire.client_limits import ClientLimits

# What the kernel may receive from a client until buffers are reserved for it.
LISTENER_RECEIVE_BYTES = 8 * 1024
# Longest wait of an accepted connection for its place.
MAX_WAIT_S = 3.0
POLL_INTERVAL_S = 0.01


class GatedServer(StreamServer):
    """Accept connections only while there is a place for them.

    Others wait in the kernel's queue. Those that were accepted and refused would come
    again at once, and take the time that the process needs for the others.

    Attributes
    ----------
    client_limits : ClientLimits
        Bounds on the connections, shared by all servers of the process; may be
        replaced before the server starts.
    """

    # Connections that are accepted beyond the bound before the first is served.
    max_accept = 8
    client_limits: ClientLimits
    _accepting_paused = False
    _accepting_finished = False
    _without_place = 0

    def init_socket(self) -> None:
        """Open the port; overrides the gevent server."""
        super().init_socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, LISTENER_RECEIVE_BYTES
        )

    def wait_for_place(self) -> bool:
        """Return whether a connection that was accepted has a place now."""
        connections = self.client_limits.connections
        if connections.full and not self._accepting_paused:
            self._accepting_paused = True
            self.stop_accepting()
            gevent.spawn(self._resume_accepting)
        until = time.monotonic() + MAX_WAIT_S
        self._without_place += 1
        try:
            while connections.full:
                if time.monotonic() > until:
                    return False
                gevent.sleep(POLL_INTERVAL_S)
        finally:
            self._without_place -= 1
        return True

    def finish_accepting(self) -> None:
        """Accept no more connections, now and from now on."""
        self._accepting_finished = True
        self.stop_accepting()

    def _resume_accepting(self) -> None:
        while self._without_place or self.client_limits.connections.full:
            gevent.sleep(POLL_INTERVAL_S)
        self._accepting_paused = False
        if not self.closed and not self._accepting_finished:
            self.start_accepting()

"""What a connection takes for a request before it is read: buffers, and its turn."""

import time
from collections.abc import Callable

from gevent import socket

from toucanspool.wire.client_limits import ClientLimits
from toucanspool.wire.socket_buffers import BufferPart, BuffersExhausted

# Interval at which a client whose request waits is seen to be gone.
POLL_INTERVAL_S = 0.25


class RequestTurn:
    """Take buffers and turns for the requests of one connection; must be closed.

    Parameters
    ----------
    limits : ClientLimits
        Bounds that all connections share.
    sock : gevent.socket.socket
        The connection.
    given_up : callable
        Returns whether the connection has ended.
    evict : callable
        Ends the connection.
    """

    __slots__ = ("_buffers", "_evict", "_given_up", "_is_ahead", "_limits", "_sock")

    def __init__(
        self,
        limits: ClientLimits,
        sock: socket.socket,
        given_up: Callable[[], bool],
        evict: Callable[[], None],
    ) -> None:
        self._limits = limits
        self._sock = sock
        self._given_up = given_up
        self._evict = evict
        self._buffers: BufferPart | None = None
        self._is_ahead = False

    def reserve_buffers(self, timeout_s: float) -> bool:
        """Return whether the connection has buffers for a request in time.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        bool
        """
        if self._buffers is not None and not self._buffers.closed:
            self._buffers.resume()
            return True
        try:
            self._buffers = self._limits.buffers.wait(
                self._sock,
                timeout_s,
                make_room=self._limits.connections.evict_slow,
                given_up=self._given_up,
            )
        except BuffersExhausted:
            return False
        return not self._given_up()

    def wait_ahead(self, timeout_s: float) -> bool:
        """Return whether a request that was sent ahead may be read in time.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        bool
        """
        until = time.monotonic() + timeout_s
        while not self._given_up() and time.monotonic() < until:
            if self._limits.ahead.acquire(timeout=POLL_INTERVAL_S):
                self._is_ahead = True
                return True
        return False

    def end_request(self) -> None:
        """Let others have what the request took, once its reply has been read."""
        if self._is_ahead:
            self._is_ahead = False
            self._limits.ahead.release()
        if self._buffers is not None:
            self._buffers.settle(self._evict)

    def close(self) -> None:
        """Release everything; may be called repeatedly."""
        if self._is_ahead:
            self._is_ahead = False
            self._limits.ahead.release()
        if self._buffers is not None:
            self._buffers.close()

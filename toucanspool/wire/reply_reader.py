"""Reading from a connection, and how long ago it was last seen open."""

import time

import gevent
from gevent import socket

READ_BLOCK_BYTES = 16 * 1024
# Bytes after which other greenlets get a turn, even if more can be read.
BURST_BYTES = 512 * 1024
# Interval at which a silent connection is seen to be open.
OPEN_CHECK_INTERVAL_S = 0.2


class Silent(Exception):
    """Report that an upstream timed out; it may have run the request."""


class ReplyReader:
    """Read the bytes of a reply.

    Parameters
    ----------
    sock : gevent.socket.socket
        The connection.
    """

    __slots__ = ("_burst_bytes", "_open_at", "_sock")

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._burst_bytes = 0
        self._open_at = time.monotonic()

    @property
    def max_close_age_s(self) -> float:
        """Return the longest time for which the connection may be closed, in seconds.

        It is large if this process stood still, and reads now what came meanwhile.
        """
        return time.monotonic() - self._open_at

    def read(self, until: float) -> bytes:
        """Return the next bytes; none if the peer has closed the connection.

        Bytes that have arrived are returned even if the time limit has passed: this
        process may have stood still, and the peer is not to blame for that.

        Parameters
        ----------
        until : float
            Time limit, in seconds on the monotonic clock.

        Returns
        -------
        bytes

        Raises
        ------
        Silent
            The time limit has passed.
        OSError
            The connection broke.
        """
        began_at = time.monotonic()
        while True:
            now = time.monotonic()
            try:
                data = self._sock._sock.recv(READ_BLOCK_BYTES)
            except BlockingIOError:
                self._open_at = now
                if now >= until:
                    break
                self._wait(min(until - now, OPEN_CHECK_INTERVAL_S))
                continue
            self._share_time(len(data))
            return data
        raise Silent(f"no data received for {now - began_at:.1f} s")

    def _wait(self, seconds: float) -> None:
        with gevent.Timeout(seconds, False):
            socket.wait_read(self._sock.fileno())

    def _share_time(self, n_bytes: int) -> None:
        self._burst_bytes += n_bytes
        if self._burst_bytes > BURST_BYTES:
            self._burst_bytes = 0
            gevent.sleep(0)

"""Sending to callers, who are disconnected if they read too slowly."""

import time

from gevent import socket

# Slower callers are taken for ones that don't read. A reply of 8 MiB takes two minutes.
MIN_BYTES_PER_S = 64 * 1024
# Enough for 5 MB/s at a round-trip time of 50 ms. With the kernel's own choice of some
# MB, a connection holds that much more before its caller is seen to read slowly.
SEND_BUFFER_BYTES = 256 * 1024


class SlowReader(TimeoutError):
    """Report a caller that reads too slowly.

    Parameters
    ----------
    unsent_bytes : int
        Bytes that could not be sent.
    """

    def __init__(self, unsent_bytes: int) -> None:
        super().__init__(f"{unsent_bytes} bytes could not be sent in time")
        self.unsent_bytes = unsent_bytes


def send_all(sock: socket.socket, data: bytes, stall_s: float) -> None:
    """Send data to a caller that keeps reading.

    Parameters
    ----------
    sock : gevent.socket.socket
        The caller's connection.
    data : bytes
        The data.
    stall_s : float
        Longest time in which the caller may read nothing, in seconds. All data must be
        read at `MIN_BYTES_PER_S` on average, with this time in addition.

    Raises
    ------
    SlowReader
        The caller is slower.
    OSError
        The connection broke.
    """
    unsent = memoryview(data)
    until = time.monotonic() + stall_s + len(unsent) / MIN_BYTES_PER_S
    before_s = sock.gettimeout()
    try:
        while unsent:
            sock.settimeout(max(0.001, min(stall_s, until - time.monotonic())))
            unsent = unsent[sock.send(unsent) :]
            if unsent and time.monotonic() > until:
                raise SlowReader(len(unsent))
    except TimeoutError as exc:
        raise SlowReader(len(unsent)) from exc
    finally:
        sock.settimeout(before_s)

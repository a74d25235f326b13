"""Sending to callers, who are disconnected if they read too slowly."""

import contextlib
import time
from collections.abc import Callable

from gevent import socket

# Slower callers are taken for ones that don't read. A reply of 8 MiB takes two minutes.
MIN_BYTES_PER_S = 64 * 1024


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


def send_all(
    sock: socket.socket,
    data: bytes,
    stall_s: float,
    *,
    on_sent: Callable[[int], None] = lambda _: None,
) -> None:
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
    on_sent : callable, optional
        Called with the number of bytes sent each time that the caller has to read
        before all is sent.

    Raises
    ------
    SlowReader
        The caller is slower.
    OSError
        The connection broke.
    """
    unsent = memoryview(data)
    sent = 0
    with contextlib.suppress(BlockingIOError):
        sent = sock._sock.send(unsent)
    unsent = unsent[sent:]
    if not unsent:
        return
    on_sent(sent)
    until = time.monotonic() + stall_s + len(unsent) / MIN_BYTES_PER_S
    before_s = sock.gettimeout()
    try:
        while unsent:
            sock.settimeout(max(0.001, min(stall_s, until - time.monotonic())))
            sent = sock.send(unsent)
            unsent = unsent[sent:]
            on_sent(sent)
            if unsent and time.monotonic() > until:
                raise SlowReader(len(unsent))
    except TimeoutError as exc:
        raise SlowReader(len(unsent)) from exc
    finally:
        sock.settimeout(before_s)

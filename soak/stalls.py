"""Notes when the soak's own process stands still for want of a processor."""

import time

import gevent

from soak.oracle import Oracle

STALL_CHECK_S = 0.05
# A busy event loop is late by a few hundredths of a second. A longer delay means that
# the process got no processor time.
STALL_S = 0.2


def record_stalls(oracle: Oracle) -> None:
    """Record the stalls of this process until killed."""
    while True:
        before = time.monotonic()
        gevent.sleep(STALL_CHECK_S)
        late_s = time.monotonic() - before - STALL_CHECK_S
        if late_s > STALL_S:
            oracle.stalls.append((time.monotonic(), late_s))

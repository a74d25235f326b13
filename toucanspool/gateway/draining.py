"""The end of a gateway's service to callers."""

import time

import gevent
import structlog

from toucanspool.gateway.call_dispatcher import CallDispatcher
from toucanspool.gateway.caller_server import CallerServer

POLL_INTERVAL_S = 0.02
# Calls that begin in this part of the grace period have most of it to end.
OPEN_SHARE = 0.25
# Callers expect that a call sent 3 s after the signal, or later, isn't cut off. The
# difference covers its way here.
MAX_OPEN_S = 2.5
# Calls that end in time are served in this part of it.
ADMISSION_SHARE = 0.5
# Time left to close everything before the process is killed.
SHUTDOWN_RESERVE_S = 0.6
# Connections accepted last have sent their request by then.
FIRST_BYTES_S = 0.2
# Time to write the refusals of requests that have not arrived completely.
REFUSAL_S = 0.1

_log = structlog.get_logger()


def drain(
    server: CallerServer,
    dispatcher: CallDispatcher,
    *,
    address_life_s: float,
    grace_s: float,
) -> None:
    """Serve until no caller can still rely on this entry, or the time is over.

    Calls are served first, and refused as not run later; those that may outlast this
    process are refused sooner. All replies ask callers to close their connections. The
    port stays open as long as callers may use the address. Then the connections that
    wait in the accept queue are served. At the end, requests that have not arrived
    completely are refused, calls whose reply has not begun are given up, and kept
    connections are closed.

    Parameters
    ----------
    server : CallerServer
        Serves the callers.
    dispatcher : CallDispatcher
        Runs their calls.
    address_life_s : float
        Time for which callers may use this entry's address, in seconds.
    grace_s : float
        Time until the process is killed, in seconds; this function returns
        `SHUTDOWN_RESERVE_S` before.
    """
    started = time.monotonic()
    time_s = grace_s - SHUTDOWN_RESERVE_S - REFUSAL_S
    end = started + time_s
    server.closing = True
    open_s = min(OPEN_SHARE * grace_s, MAX_OPEN_S)
    dispatcher.graceful_stop.begin(started, open_s=open_s, time_s=time_s)
    gevent.sleep(min(address_life_s, ADMISSION_SHARE * grace_s, max(0.0, time_s)))
    dispatcher.draining = True
    unused_at = min(started + address_life_s, end - FIRST_BYTES_S)
    _wait_until_idle(server, unused_at, end - FIRST_BYTES_S)
    server.finish_accepting()
    _wait_until_idle(server, time.monotonic() + FIRST_BYTES_S, end)
    server.refuse_unread()
    dispatcher.graceful_stop.end_unanswered()
    server.close_idle(REFUSAL_S)
    _log.info(
        "drained",
        running=dispatcher.running,
        open_requests=len(server.open_requests),
        took_s=round(time.monotonic() - started, 2),
    )


def _wait_until_idle(server: CallerServer, earliest: float, latest: float) -> None:
    """Wait until there are no open requests, between two times."""
    while (now := time.monotonic()) < latest and (
        now < earliest or server.open_requests
    ):
        gevent.sleep(POLL_INTERVAL_S)

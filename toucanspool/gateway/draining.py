"""The end of a gateway's service to callers."""

import time

import gevent
import structlog

from toucanspool.gateway.call_dispatcher import CallDispatcher
from toucanspool.gateway.caller_server import CallerServer

POLL_INTERVAL_S = 0.02
# Connections accepted last have sent their request by then.
FIRST_BYTES_S = 0.2
# Time to write the refusals of requests that have not arrived completely.
REFUSAL_S = 0.1

_log = structlog.get_logger()


def drain(
    server: CallerServer,
    dispatcher: CallDispatcher,
    *,
    admit_s: float,
    address_life_s: float,
    time_s: float,
) -> None:
    """Serve until no caller can still rely on this entry, or the time is over.

    Calls are served first, and refused as not run later. All replies ask callers to
    close their connections. The port stays open as long as callers may use the address.
    Then the connections that wait in the accept queue are served, and requests that
    have not arrived completely by the end are refused.

    Parameters
    ----------
    server : CallerServer
        Serves the callers.
    dispatcher : CallDispatcher
        Runs their calls.
    admit_s : float
        Time for which calls are still served, in seconds.
    address_life_s : float
        Time for which callers may use this entry's address, in seconds.
    time_s : float
        Time until this function must return, in seconds.
    """
    started = time.monotonic()
    end = started + time_s - REFUSAL_S
    server.closing = True
    gevent.sleep(min(admit_s, time_s))
    dispatcher.draining = True
    unused_at = min(started + address_life_s, end - FIRST_BYTES_S)
    _wait_until_idle(server, unused_at, end - FIRST_BYTES_S)
    server.finish_accepting()
    _wait_until_idle(server, time.monotonic() + FIRST_BYTES_S, end)
    server.refuse_unread()
    _wait_until_idle(server, 0.0, end + REFUSAL_S)
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

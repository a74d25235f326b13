"""The platform's list of runners, decoded into listings of upstreams."""

from typing import Any

import orjson
import structlog

from toucanspool.backing.table import Row
from toucanspool.routing.upstreams import Listing

TABLE = "servers"
READY = "ready"
STATES = frozenset({READY, "draining"})

_log = structlog.get_logger()


def decode_listing(row: Row) -> Listing | None:
    """Return what a row says of a runner.

    Parameters
    ----------
    row : Row
        The row; its key is the runner's id.

    Returns
    -------
    Listing or None
        None where the row names no runner that can be used.
    """
    try:
        return _listing(row.key, orjson.loads(row.value))
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        _log.warning("unreadable listing", upstream=row.key, error=repr(exc))
        return None


def _listing(name: str, data: dict[str, Any]) -> Listing:
    host, _, port = data["address"].rpartition(":")
    state, service = data["state"], data["service"]
    if state not in STATES or not isinstance(service, str) or not host:
        raise ValueError(f"state {state!r}, service {service!r}")
    started_ms = data.get("born", 0)
    slots = data.get("slots", 1)
    if not isinstance(slots, int) or not isinstance(started_ms, int):
        raise TypeError("slots or the time of start is no whole number")
    return Listing(
        name=name,
        service=service,
        host=host,
        port=int(port),
        failure_domain=str(data.get("zone", "")),
        ready=state == READY,
        slots=slots,
        started_ms=started_ms,
    )

"""Decoder for the rows of the platform's upstream list."""

import ipaddress
from typing import Any

import orjson
import structlog

from toucanspool.backing.checked_values import (
    DECODING_ERRORS,
    address,
    brief,
    integer,
    optional_text,
    text,
    visible_text,
)
from toucanspool.backing.table import Row
from toucanspool.routing.upstream import Listing

TABLE = "servers"
READY = "ready"
STATES = frozenset({READY, "draining"})
MS_PER_S = 1000.0
# An upstream that stays cold for longer than a day is of no use.
MAX_COLD_MS = 86_400_000.0

_log = structlog.get_logger()


def decode_listing(row: Row) -> Listing | None:
    """Decode a row of the upstream list.

    Parameters
    ----------
    row : Row
        The row; its key is the name of the upstream.

    Returns
    -------
    Listing or None
        None if the row is invalid; this is logged.
    """
    try:
        return _decode_fields(row.key, orjson.loads(row.value))
    except DECODING_ERRORS as exc:
        _log.warning("unreadable listing", upstream=row.key, error=repr(exc))
        return None


def _decode_fields(name: str, data: dict[str, Any]) -> Listing:
    host, port = address(data["address"])
    # Names would be looked up by a few threads that all new connections share, without
    # a time limit.
    ipaddress.ip_address(host)
    state = data["state"]
    if state not in STATES:
        raise ValueError(f"invalid state {brief(state)}")
    return Listing(
        name=visible_text(name),
        service=text(data["service"]),
        host=host,
        port=port,
        failure_domain=optional_text(data.get("zone", "")),
        ready=state == READY,
        slots=integer(data.get("slots", 1)),
        started_ms=integer(data.get("born", 0)),
        cold_remaining_s=_decode_cold(name, data.get("coldRemainingMs")),
    )


def _decode_cold(name: str, cold_ms: Any) -> float | None:
    """Return the seconds that an upstream stays cold; None if unknown or unreadable."""
    if cold_ms is None:
        return None
    is_number = isinstance(cold_ms, int | float) and not isinstance(cold_ms, bool)
    if not is_number or not 0.0 <= cold_ms < MAX_COLD_MS:
        # The upstream itself is in order.
        _log.warning("unreadable cold time", upstream=name, value=brief(cold_ms))
        return None
    return cold_ms / MS_PER_S

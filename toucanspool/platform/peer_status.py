"""Decoder for what other entries answer to probes."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

import structlog

from toucanspool.backing.checked_values import (
    DECODING_ERRORS,
    integer,
    list_of,
    numbers,
    text,
)

# More than the entries of any deployment.
MAX_ENTRIES = 10_000

Value = TypeVar("Value")

_log = structlog.get_logger()


@dataclass(slots=True, frozen=True, kw_only=True)
class PeerStatus:
    """Hold the status of another entry; see `Entries.record_probe`.

    Parameters
    ----------
    streams, loads : mapping of str to float, optional
        Mean numbers of streams and calls a second, by service; None if not reported.
    count : int, default=0
        Number of live entries that it knows.
    lost : sequence of str, optional
        Names of entries that it lost.
    limits : sequence, optional
        What upstreams have named to it; see `LimitSharing.adopt`.
    """

    streams: Mapping[str, float] | None = None
    loads: Mapping[str, float] | None = None
    count: int = 0
    lost: Sequence[str] = ()
    limits: Sequence[Any] = field(default=())


def decode_peer_status(body: Any, *, told_by: str = "") -> PeerStatus:
    """Decode the answer of another entry; fields that can't be read are left out.

    Parameters
    ----------
    body : object
        Decoded JSON; None without an answer.
    told_by : str, default=""
        Name of the entry, for the log.

    Returns
    -------
    PeerStatus
    """
    if not isinstance(body, dict):
        return PeerStatus()

    def read(name: str, decode: Callable[[Any], Value], default: Value) -> Value:
        if body.get(name) is None:
            return default
        try:
            return decode(body[name])
        except DECODING_ERRORS as exc:
            _log.warning(
                "unreadable peer status", told_by=told_by, field=name, error=str(exc)
            )
            return default

    return PeerStatus(
        streams=read("carried", numbers, None),
        loads=read("loads", numbers, None),
        count=read("count", lambda count: integer(count, 0, MAX_ENTRIES), 0),
        lost=read("lost", lambda names: tuple(text(n) for n in list_of(names)), ()),
        limits=read("limits", list_of, ()),
    )

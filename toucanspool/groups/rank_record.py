"""The row with which a rank agent registers itself in the table."""

from dataclasses import dataclass
from typing import Any

import orjson

from toucanspool.backing.checked_values import (
    MAX_PORT,
    address,
    host_text,
    integer,
    number,
    text,
)
from toucanspool.backing.json_row import read_own_json
from toucanspool.backing.table import Row

PREFIX = "rank/"
# Slowdown factors beyond these are mistakes.
MIN_PACE, MAX_PACE = 0.01, 1000.0


@dataclass(slots=True, frozen=True)
class RankRecord:
    """Hold the registration of a rank agent.

    Parameters
    ----------
    name : str
        Name of the agent's instance.
    host : str
        IP address of the agent.
    port : int
        Port of the agent.
    group : str
        Name of the lock-step group.
    rank : int
        The rank of the agent's engine.
    upstream : str
        Name of the engine as an upstream.
    engine : str
        Address of the engine, as ``HOST:PORT``.
    pace : float
        Slowdown factor: the time that work takes relative to the normal time.
    """

    name: str
    host: str
    port: int
    group: str
    rank: int
    upstream: str
    engine: str
    pace: float

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return orjson.dumps(self)


def decode_rank(row: Row) -> RankRecord | None:
    """Decode the record in a row; return None and log an error if it is invalid.

    Parameters
    ----------
    row : Row
        The row.

    Returns
    -------
    RankRecord or None
    """
    return read_own_json(
        row, PREFIX, _decode_fields, error_event="unreadable rank record"
    )


def _decode_fields(data: Any) -> RankRecord:
    address(data["engine"])
    return RankRecord(
        name=text(data["name"]),
        host=host_text(data["host"]),
        port=integer(data["port"], 1, MAX_PORT),
        group=text(data["group"]),
        rank=integer(data["rank"]),
        upstream=text(data["upstream"]),
        engine=data["engine"],
        pace=number(data["pace"], MIN_PACE, MAX_PACE),
    )

"""What a rank agent lists of itself in the table."""

from dataclasses import dataclass

import orjson

from toucanspool.backing.json_row import read_json
from toucanspool.backing.table import Row

PREFIX = "rank/"


@dataclass(slots=True, frozen=True)
class RankRecord:
    """Hold what a rank agent lists of itself.

    Parameters
    ----------
    name : str
        Its instance.
    host : str
        IP number.
    port : int
        Port.
    group : str
        The group of its engine.
    rank : int
        Its engine's rank.
    upstream : str
        Name of its engine among upstreams.
    engine : str
        Where its engine takes calls of others, as ``HOST:PORT``.
    pace : float
        How many times as long as usual its engine's work takes.
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
    """Return the record in a row, or None where it can't be read.

    Parameters
    ----------
    row : Row
        The row.

    Returns
    -------
    RankRecord or None
    """
    return read_json(
        row, lambda data: RankRecord(**data), error_event="unreadable rank record"
    )

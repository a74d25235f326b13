"""The record that an entry publishes in the table."""

from dataclasses import dataclass

import orjson

from toucanspool.backing.json_row import read_json
from toucanspool.backing.table import Row


@dataclass(slots=True, frozen=True)
class EntryRecord:
    """Hold the record that an entry publishes in the table.

    Parameters
    ----------
    name : str
        Name of the entry's instance.
    address : str
        Host and port that callers connect to.
    probe : str
        Host and port of its readiness page.
    """

    name: str
    address: str
    probe: str

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return orjson.dumps(self)


def decode_entry(row: Row) -> EntryRecord | None:
    """Return the record in a row, or None if it can't be read.

    Parameters
    ----------
    row : Row
        Row of an entry.

    Returns
    -------
    EntryRecord or None
    """
    return read_json(
        row,
        lambda data: EntryRecord(data["name"], data["address"], data["probe"]),
        error_event="unreadable entry",
    )

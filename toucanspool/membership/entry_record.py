"""The record that an entry publishes in the table, and the choice among records."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import asdict, dataclass
from typing import Any

import orjson

from toucanspool.backing.checked_values import address, text
from toucanspool.backing.json_row import read_own_json
from toucanspool.backing.table import Row

ENTRY_PREFIX = "entry/"


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
    region : str, default=""
        Region of the entry; empty if it is not known.
    """

    name: str
    address: str
    probe: str
    region: str = ""

    def encode(self) -> bytes:
        """Return the record as JSON."""
        fields = asdict(self)
        if not self.region:
            del fields["region"]
        return orjson.dumps(fields)


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
    return read_own_json(
        row, ENTRY_PREFIX, _decode_fields, error_event="unreadable entry"
    )


def _decode_fields(data: Mapping[str, Any]) -> EntryRecord:
    region = data.get("region")
    address(data["address"])
    return EntryRecord(
        text(data["name"]),
        data["address"],
        text(data["probe"]),
        region if isinstance(region, str) else "",
    )


def select_entries(
    entries: Sequence[EntryRecord], regions: Collection[str] | None, own_region: str
) -> list[EntryRecord]:
    """Return the entries to name to a caller, by the regions of the host's routes.

    Parameters
    ----------
    entries : sequence of EntryRecord
        Entries to select from.
    regions : collection of str or None
        Regions in which calls of the host may run; None for no restriction.
    own_region : str
        Region of the caller; empty if it is not known. Entries in it are named as
        well, since only upstreams are bound to regions.

    Returns
    -------
    list of EntryRecord
        All entries if none qualifies.
    """
    if regions is None:
        return list(entries)
    named = {*regions, own_region} - {""}
    return [e for e in entries if e.region in named] or list(entries)

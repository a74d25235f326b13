"""Records of entries with and without a region, and their choice by region."""

import orjson
import pytest

from toucanspool.backing.table import Row
from toucanspool.membership.entry_record import (
    ENTRY_PREFIX,
    EntryRecord,
    decode_entry,
    select_entries,
)

NORTH = EntryRecord("e1", "10.0.0.1:80", "p", "north")
SOUTH = EntryRecord("e2", "10.0.0.2:80", "p", "south")
OLD = EntryRecord("e3", "10.0.0.3:80", "p")
ENTRIES = [NORTH, SOUTH, OLD]


@pytest.mark.parametrize("record", [NORTH, OLD])
def test_a_record_is_read_as_it_was_written(record):
    assert decode_entry(Row(ENTRY_PREFIX + record.name, record.encode(), 1)) == record


@pytest.mark.parametrize("region", [None, 7, ["north"]])
def test_an_entry_with_an_invalid_region_is_listed_without_one(region):
    value = {**orjson.loads(NORTH.encode()), "region": region}
    record = decode_entry(Row(ENTRY_PREFIX + "e1", orjson.dumps(value), 1))
    assert record == EntryRecord("e1", "10.0.0.1:80", "p")


@pytest.mark.parametrize(
    "address",
    ["nowhere", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:1e3", "a b:80", "\u0663:80"],
)
def test_an_entry_with_an_address_that_no_caller_can_use_is_not_listed(address):
    """Guards against callers that are told an address that is none."""
    value = {**orjson.loads(NORTH.encode()), "address": address}
    assert decode_entry(Row(ENTRY_PREFIX + "e1", orjson.dumps(value), 1)) is None


def test_a_record_without_a_region_is_written_as_before():
    assert orjson.loads(OLD.encode()) == {
        "name": "e3",
        "address": "10.0.0.3:80",
        "probe": "p",
    }


@pytest.mark.parametrize(
    ("regions", "own_region", "selected"),
    [
        (None, "north", ENTRIES),
        ({"south"}, "", [SOUTH]),
        ({"south"}, "north", [NORTH, SOUTH]),
        ({"south"}, "west", [SOUTH]),
        # Where none qualifies, all are named.
        ({"west"}, "", ENTRIES),
        ({"west"}, "east", ENTRIES),
    ],
)
def test_entries_are_selected_by_the_regions_of_a_host_and_of_the_caller(
    regions, own_region, selected
):
    assert select_entries(ENTRIES, regions, own_region) == selected

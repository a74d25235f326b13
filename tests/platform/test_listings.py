"""Decoding of rows of the platform's upstream list."""

import orjson
import pytest

from toucanspool.backing.table import Row
from toucanspool.platform.listings import decode_listing

FIELDS = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "auckland",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "sequence": 4,
    "born": 1700000000000,
}


def listing(**changes: object):
    fields = {k: v for k, v in {**FIELDS, **changes}.items() if v is not None}
    return decode_listing(Row("i-1", orjson.dumps(fields), 3))


def test_a_listing():
    found = listing()
    assert (found.name, found.address, found.slots) == ("i-1", "10.0.0.9:8080", 6)
    assert (found.ready, found.failure_domain) == (True, "auckland")
    assert found.started_ms == 1700000000000


def test_a_draining_upstream_is_not_ready():
    assert not listing(state="draining").ready


@pytest.mark.parametrize(
    "changes",
    [
        {"address": None},
        {"address": 5},
        {"address": "nowhere"},
        {"address": "10.0.0.9:http"},
        {"state": "asleep"},
        {"state": None},
        {"service": ["s"]},
        {"slots": "six"},
        {"born": "long ago"},
    ],
)
def test_a_row_with_invalid_fields_is_no_listing(changes):
    assert listing(**changes) is None


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[1]", b"7"])
def test_a_row_that_is_no_json_object_is_no_listing(value):
    assert decode_listing(Row("i-1", value, 3)) is None


def test_a_listing_says_how_long_its_upstream_stays_cold():
    assert listing().cold_remaining_s is None
    assert listing(coldRemainingMs=0).cold_remaining_s == 0.0
    assert listing(coldRemainingMs=2500.5).cold_remaining_s == 2.5005


@pytest.mark.parametrize("value", ["soon", -1, True, [3], 1e30, {}])
def test_a_cold_time_that_cannot_be_read_leaves_the_upstream_listed(value):
    found = listing(coldRemainingMs=value)
    assert found.ready
    assert found.cold_remaining_s is None

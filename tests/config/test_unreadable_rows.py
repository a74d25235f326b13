"""Odd rows in the configuration's tables are like an outage for its readers.

Guards against a poll, a change or a start that ends with an unexpected error.
"""

import pytest

from standins.memory import MemoryTable
from tests.platform.odd_values import UNREADABLE, VALUES, odd_rows
from toucanspool.backing.table import TableUnavailable, Write
from toucanspool.config.reader import ConfigReader
from toucanspool.config.rows import REVISION_DIGITS, REVISION_KEY, change_key

CHANGE = {
    "revision": 1,
    "change_id": "c",
    "operator": "ana",
    "at": 1.0,
    "sentence": "s",
    "puts": [{"kind": "team", "name": "t", "labels": {"share": "1"}}],
    "removals": [{"kind": "team", "name": "u"}],
}
RECORD = {"revision": 1, "operator": "o", "record": CHANGE["puts"][0]}


def reader_of(**rows: bytes) -> ConfigReader:
    table = MemoryTable()
    table.commit([], [Write(key, value) for key, value in rows.items()])
    return ConfigReader(table, pause=lambda: None)


def test_an_odd_revision_is_read_or_an_outage():
    for value in [*UNREADABLE, *VALUES, b"\xd9\xa3", b"-1", b"1" * 30]:
        try:
            revision = reader_of(**{REVISION_KEY: value}).revision()
        except TableUnavailable:
            continue
        assert 0 <= revision < 10**REVISION_DIGITS, value


def test_an_odd_change_is_read_or_an_outage():
    for row in odd_rows(CHANGE):
        reader = reader_of(**{change_key(1): row.value, REVISION_KEY: b"1"})
        for read in (reader.load, reader.history, lambda r=reader: r.change(1)):
            try:
                read()
            except TableUnavailable:
                continue


def test_an_odd_record_is_read_or_an_outage():
    for row in odd_rows(RECORD):
        reader = reader_of(**{"config/record/team/t": row.value})
        try:
            reader.load()
        except TableUnavailable:
            continue


@pytest.mark.parametrize("value", [b"x", b"[" * 3000, b'{"revision":1}'])
def test_the_outage_names_the_row(value):
    with pytest.raises(TableUnavailable, match=change_key(1)):
        reader_of(**{change_key(1): value}).change(1)

"""Registration of a gateway, in a store that fails or comes back from an older copy."""

import gevent

from standins.memory import MemoryTable
from toucanspool.backing.table import Write
from toucanspool.membership.entry_record import ENTRY_PREFIX, EntryRecord
from toucanspool.platform.registration import Registration

KEY = ENTRY_PREFIX + "e1"


def registered() -> tuple[MemoryTable, Registration]:
    table = MemoryTable()
    registration = Registration(table, EntryRecord("e1", "10.0.0.1:1", "10.0.0.1:2"))
    registration.check([])
    gevent.sleep(0.01)
    return table, registration


def test_a_record_is_written():
    table, _ = registered()
    assert table.get([KEY])


def test_a_record_that_is_missing_from_all_records_is_written_again():
    table, registration = registered()
    table.commit([], [Write(KEY, None)])
    registration.check(table.scan(ENTRY_PREFIX))
    gevent.sleep(0.01)
    assert table.get([KEY])


def test_a_record_that_is_listed_is_not_written_again():
    table, registration = registered()
    commits = table.commits
    registration.check(table.scan(ENTRY_PREFIX))
    gevent.sleep(0.01)
    assert table.commits == commits


def test_a_withdrawn_record_stays_deleted():
    table, registration = registered()
    registration.withdraw()
    registration.check(table.scan(ENTRY_PREFIX))
    gevent.sleep(0.01)
    assert not table.get([KEY])


def test_a_late_deletion_by_an_earlier_process_is_undone():
    table, registration = registered()
    table.commit([], [Write(KEY, None)])
    registration.check_deleted([KEY])
    gevent.sleep(0.01)
    assert table.get([KEY])

"""Registration of a gateway, in a store that fails or comes back from an older copy."""

import gevent

from standins.memory import MemoryTable
from toucanspool.backing.table import TableUnavailable, Write
from toucanspool.membership import own_row
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


class RefusingTable(MemoryTable):
    """Refuse or delay the next commits."""

    def __init__(self) -> None:
        super().__init__()
        self.refusals = 0
        self.delay_s = 0.0

    def commit(self, checks, writes):
        """Fail, or commit after the delay; see `Table`."""
        if self.refusals:
            self.refusals -= 1
            raise TableUnavailable("refused")
        delay_s, self.delay_s = self.delay_s, 0.0
        gevent.sleep(delay_s)
        return super().commit(checks, writes)


def test_a_record_is_withdrawn_though_the_store_refuses_at_first(monkeypatch):
    """Guards against entries that left and are used by restarted ones."""
    monkeypatch.setattr(own_row, "RETRY_S", 0.01)
    table = RefusingTable()
    registration = Registration(table, EntryRecord("e1", "10.0.0.1:1", "10.0.0.1:2"))
    registration.check([])
    gevent.sleep(0.01)
    table.refusals = 2
    registration.withdraw()
    assert not table.get([KEY])


def test_a_write_that_is_under_way_does_not_undo_the_withdrawal():
    """Guards against a record that is written after it was deleted."""
    table = RefusingTable()
    registration = Registration(table, EntryRecord("e1", "10.0.0.1:1", "10.0.0.1:2"))
    table.delay_s = 0.05
    # The store carries a commit out even if the process has given it up.
    commit = table.commit
    table.commit = lambda *args: gevent.spawn(commit, *args).get()
    registration.check([])
    gevent.sleep(0.01)
    registration.withdraw()
    gevent.sleep(0.1)
    assert not table.get([KEY])

"""Entries find causes of crashes together, and know them after a restart."""

import time

import gevent

from standins.memory import MemoryTable
from toucanspool.backing.table import Write
from toucanspool.retries.crash_evidence import EVIDENCE_S, CrashId
from toucanspool.retries.crash_exchange import CrashExchange
from toucanspool.retries.crash_reports import REPORT_PREFIX
from toucanspool.retries.quarantine import CRASHES_TO_BLOCK, Quarantine

FIRST, DEADLY = "first", "deadly"


class Entry:
    """Hold the exchange of one entry and what it has found."""

    def __init__(self, table: MemoryTable, name: str) -> None:
        self.table = table
        self.quarantine = Quarantine()
        self.exchange = CrashExchange(table, name, self.quarantine)
        self.read()

    def crash(self, number: int) -> None:
        """Report a crash that this entry saw."""
        prompts = ((FIRST, f"s{number}", DEADLY), (FIRST, f"b{number}"))
        self.exchange.report(CrashId(f"u{number}", 1), prompts)
        gevent.sleep(0.01)

    def read(self) -> None:
        """Read all reports."""
        self.exchange.replace(self.table.scan(REPORT_PREFIX))


def test_entries_that_saw_one_crash_each_block_the_common_part():
    table = MemoryTable()
    entries = [Entry(table, f"e{number}") for number in range(CRASHES_TO_BLOCK)]
    for number, entry in enumerate(entries):
        entry.crash(number)
    for entry in entries:
        entry.read()
        assert set(entry.quarantine.blocked) == {DEADLY}


def test_a_restarted_entry_knows_what_was_blocked():
    table = MemoryTable()
    entry = Entry(table, "e0")
    entry.quarantine.record_call((FIRST, DEADLY))
    for _ in range(9):
        entry.quarantine.record_call((FIRST,))
    for number in range(CRASHES_TO_BLOCK):
        entry.crash(number)
    again = Entry(table, "e0")
    assert set(again.quarantine.blocked) == {DEADLY}
    assert set(Entry(table, "e1").quarantine.blocked) == {DEADLY}


def test_what_is_sound_at_another_entry_is_not_blocked():
    table = MemoryTable()
    busy, quiet = Entry(table, "busy"), Entry(table, "quiet")
    for _ in range(9):
        quiet.quarantine.record_call((DEADLY,))
    for number in range(CRASHES_TO_BLOCK):
        busy.quarantine.record_sound((FIRST,), time.monotonic())
        busy.crash(number)
        quiet.read()
    assert set(quiet.quarantine.blocked) == {DEADLY}


def test_a_report_that_the_store_has_lost_is_written_again():
    table = MemoryTable()
    entry = Entry(table, "e0")
    entry.crash(0)
    table.commit([], [Write(REPORT_PREFIX + "e0", None)])
    entry.read()
    gevent.sleep(0.01)
    assert table.get([REPORT_PREFIX + "e0"])


def test_reports_of_old_crashes_do_not_count(monkeypatch):
    table = MemoryTable()
    entry = Entry(table, "e0")
    for number in range(CRASHES_TO_BLOCK - 1):
        entry.crash(number)
    later = time.time() + EVIDENCE_S
    monkeypatch.setattr(time, "time", lambda: later)
    other = Entry(table, "e1")
    other.crash(CRASHES_TO_BLOCK)
    assert not other.quarantine.blocked


def test_a_part_that_was_unblocked_is_no_longer_reported():
    table = MemoryTable()
    entry = Entry(table, "e0")
    for number in range(CRASHES_TO_BLOCK):
        entry.crash(number)
    entry.quarantine.record_sound((FIRST, DEADLY), time.monotonic())
    entry.crash(CRASHES_TO_BLOCK)
    assert not Entry(table, "e0").quarantine.blocked


def test_a_report_of_long_prompts_fits_a_row():
    table = MemoryTable()
    entry = Entry(table, "e0")
    for number in range(20):
        entry.exchange.report(CrashId(f"u{number}", 1), (("x" * 9000, f"s{number}"),))
    gevent.sleep(0.01)
    assert len(table.get([REPORT_PREFIX + "e0"])[REPORT_PREFIX + "e0"].value) < 65536


def test_an_unreadable_report_is_ignored():
    table = MemoryTable()
    table.commit([], [Write(REPORT_PREFIX + "e9", b'{"crashes": 3}')])
    assert not Entry(table, "e0").quarantine.blocked

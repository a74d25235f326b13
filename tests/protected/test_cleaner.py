"""Old rows are removed and started ones stay, whatever the wall clocks show."""

from dataclasses import replace

import pytest

from standins.memory import MemoryObjects, MemoryTable
from toucanspool.backing.table import TableUncertain, Write
from toucanspool.protected.cleaner import ClaimCleaner, CleanupResult
from toucanspool.protected.row import (
    ABANDONED,
    DONE,
    FREE,
    STARTED,
    BufferedResponse,
    ClaimRow,
    StoredResponse,
    decode_row,
    encode_row,
    inline_response,
    row_key,
)
from toucanspool.protected.watermarks import WATERMARK_INTERVAL_S, VersionsNotGlobal

RESPONSE = inline_response(BufferedResponse(200, {}, b"ok"))
KEY = row_key("team", "k")
RETENTION_INTERVALS = 3


class Harness:
    """Provide a table, and cleaners in virtual time."""

    def __init__(self):
        self.time = 0.0
        self.table = MemoryTable()
        self.objects = MemoryObjects()

    def cleaner(self):
        """Return a new cleaner."""
        return ClaimCleaner(
            self.table,
            self.objects,
            now=lambda: self.time,
            retention_s=RETENTION_INTERVALS * WATERMARK_INTERVAL_S,
        )

    def put(self, state, response=None):
        """Write the key's row."""
        row = ClaimRow(state, "c", "a", "h", "agent", response)
        self.table.commit([], [Write(KEY, encode_row(row))])

    def run_intervals(self, cleaner, intervals, live=("agent",)):
        """Step a cleaner once in each of some watermark intervals."""
        for _ in range(intervals):
            self.time += WATERMARK_INTERVAL_S
            cleaner.step(live)

    def state(self):
        """Return the state of the key's row."""
        row = self.table.get([KEY]).get(KEY)
        return decode_row(row.value).state if row else None


@pytest.fixture
def harness():
    return Harness()


@pytest.mark.parametrize(
    ("state", "intervals"), [(DONE, RETENTION_INTERVALS), (FREE, 2)]
)
def test_old_row_is_removed_after_its_age_and_no_sooner(harness, state, intervals):
    cleaner = harness.cleaner()
    harness.put(state, RESPONSE if state == DONE else None)
    cleaner.step(["agent"])
    harness.run_intervals(cleaner, intervals - 1)
    assert harness.state() == state
    harness.run_intervals(cleaner, 1)
    assert harness.state() is None


@pytest.mark.parametrize("state", [STARTED, ABANDONED])
def test_unfinished_claim_is_never_removed(harness, state):
    harness.put(state)
    harness.run_intervals(harness.cleaner(), 10 * RETENTION_INTERVALS, live=())
    assert harness.state() == ABANDONED


def test_claim_of_a_listed_agent_stays_started(harness):
    harness.put(STARTED)
    harness.run_intervals(harness.cleaner(), 10, live=["agent"])
    assert harness.state() == STARTED


def test_new_cleaners_never_shorten_the_retention(harness):
    harness.put(DONE, RESPONSE)
    for _ in range(50):
        cleaner = harness.cleaner()
        cleaner.step([])
        harness.time += 0.9 * WATERMARK_INTERVAL_S
        cleaner.step([])
    assert harness.state() == DONE


def test_row_changed_after_the_scan_stays(harness, monkeypatch):
    harness.put(STARTED)
    cleaner = harness.cleaner()
    harness.run_intervals(cleaner, 2)
    scan = harness.table.scan

    def scan_then_finish(*args, **kwargs):
        found = scan(*args, **kwargs)
        harness.put(DONE, RESPONSE)
        return found

    monkeypatch.setattr(harness.table, "scan", scan_then_finish)
    assert cleaner.step(()) == CleanupResult()
    assert harness.state() == DONE


def test_object_of_a_removed_row_is_emptied(harness):
    harness.objects.put("answer/c", b"z" * 100)
    harness.put(DONE, StoredResponse(200, {}, "object", "answer/c", 100))
    harness.run_intervals(harness.cleaner(), RETENTION_INTERVALS + 2)
    assert harness.objects.get("answer/c") == b""


class RowCountingTable(MemoryTable):
    """Count versions per row instead of per commit."""

    def _apply(self, write):
        before = self._rows.get(write.key)
        super()._apply(write)
        if write.value is not None:
            version = before.version + 1 if before else 1
            self._rows[write.key] = replace(self._rows[write.key], version=version)


def test_table_that_counts_versions_per_row_is_never_cleaned(harness):
    harness.table = RowCountingTable()
    harness.put(DONE, RESPONSE)
    cleaner = harness.cleaner()
    with pytest.raises(VersionsNotGlobal):
        harness.run_intervals(cleaner, 10 * RETENTION_INTERVALS)
    for _ in range(2 * RETENTION_INTERVALS):
        with pytest.raises(VersionsNotGlobal):
            harness.run_intervals(cleaner, 1)
    assert harness.state() == DONE


def test_lost_reply_to_a_watermark_writes_no_second_one(harness):
    harness.put(DONE, RESPONSE)
    cleaner = harness.cleaner()
    for _ in range(20):
        harness.table.faults.set(lose_answers=1)
        with pytest.raises(TableUncertain):
            harness.run_intervals(cleaner, 1)
        cleaner.step([])
        if harness.state() is None:
            break
    assert harness.time > RETENTION_INTERVALS * WATERMARK_INTERVAL_S


def test_step_goes_on_where_the_last_one_stopped(harness, monkeypatch):
    monkeypatch.setattr("toucanspool.protected.cleaner.PAGE_ROWS", 2)
    monkeypatch.setattr("toucanspool.protected.cleaner.PAGES_PER_STEP", 2)
    started = encode_row(ClaimRow(STARTED, "c", instance="agent"))
    keys = [row_key("team", f"{i}") for i in range(7)]
    harness.table.commit([], [Write(key, started) for key in keys])
    cleaner = harness.cleaner()
    for _ in range(2):
        harness.time += WATERMARK_INTERVAL_S
        cleaner._watermarks.refresh()
    assert [cleaner.step(()).abandoned for _ in range(3)] == [4, 3, 0]

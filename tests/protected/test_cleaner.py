"""Old rows go, started ones stay, whatever the clocks say."""

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
from toucanspool.protected.watermarks import TICK_S, VersionsNotGlobal

ANSWER = inline_response(BufferedResponse(200, {}, b"ok"))
KEY = row_key("team", "k")
RETENTION_TICKS = 3


class Bench:
    """A table, and cleaners in virtual time."""

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
            retention_s=RETENTION_TICKS * TICK_S,
        )

    def put(self, state, answer=None):
        """Write the key's row."""
        row = ClaimRow(state, "c", "a", "h", "agent", answer)
        self.table.commit([], [Write(KEY, encode_row(row))])

    def pass_ticks(self, cleaner, ticks, live=("agent",)):
        """Let a cleaner work for some ticks."""
        for _ in range(ticks):
            self.time += TICK_S
            cleaner.step(live)

    def state(self):
        """Return the state of the key's row."""
        row = self.table.get([KEY]).get(KEY)
        return decode_row(row.value).state if row else None


@pytest.fixture
def bench():
    return Bench()


@pytest.mark.parametrize(("state", "ticks"), [(DONE, RETENTION_TICKS), (FREE, 2)])
def test_old_row_is_removed_after_its_ticks_and_no_sooner(bench, state, ticks):
    cleaner = bench.cleaner()
    bench.put(state, ANSWER if state == DONE else None)
    cleaner.step(["agent"])
    bench.pass_ticks(cleaner, ticks - 1)
    assert bench.state() == state
    bench.pass_ticks(cleaner, 1)
    assert bench.state() is None


@pytest.mark.parametrize("state", [STARTED, ABANDONED])
def test_unfinished_claim_is_never_removed(bench, state):
    bench.put(state)
    bench.pass_ticks(bench.cleaner(), 10 * RETENTION_TICKS, live=())
    assert bench.state() == ABANDONED


def test_claim_of_a_listed_agent_stays_started(bench):
    bench.put(STARTED)
    bench.pass_ticks(bench.cleaner(), 10, live=["agent"])
    assert bench.state() == STARTED


def test_new_cleaners_never_shorten_the_retention(bench):
    bench.put(DONE, ANSWER)
    for _ in range(50):
        cleaner = bench.cleaner()
        cleaner.step([])
        bench.time += 0.9 * TICK_S
        cleaner.step([])
    assert bench.state() == DONE


def test_row_rewritten_meanwhile_stays(bench, monkeypatch):
    bench.put(STARTED)
    cleaner = bench.cleaner()
    bench.pass_ticks(cleaner, 2)
    scan = bench.table.scan

    def scan_then_finish(*args, **kwargs):
        found = scan(*args, **kwargs)
        bench.put(DONE, ANSWER)
        return found

    monkeypatch.setattr(bench.table, "scan", scan_then_finish)
    assert cleaner.step(()) == CleanupResult()
    assert bench.state() == DONE


def test_object_of_a_removed_row_is_blanked(bench):
    bench.objects.put("answer/c", b"z" * 100)
    bench.put(DONE, StoredResponse(200, {}, "object", "answer/c", 100))
    bench.pass_ticks(bench.cleaner(), RETENTION_TICKS + 2)
    assert bench.objects.get("answer/c") == b""


class RowCountingTable(MemoryTable):
    """Count versions by row in place of by commit."""

    def _apply(self, write):
        before = self._rows.get(write.key)
        super()._apply(write)
        if write.value is not None:
            version = before.version + 1 if before else 1
            self._rows[write.key] = replace(self._rows[write.key], version=version)


def test_table_that_counts_versions_by_row_is_never_cleaned(bench):
    bench.table = RowCountingTable()
    bench.put(DONE, ANSWER)
    cleaner = bench.cleaner()
    with pytest.raises(VersionsNotGlobal):
        bench.pass_ticks(cleaner, 10 * RETENTION_TICKS)
    for _ in range(2 * RETENTION_TICKS):
        with pytest.raises(VersionsNotGlobal):
            bench.pass_ticks(cleaner, 1)
    assert bench.state() == DONE


def test_lost_answer_of_a_mark_is_no_second_mark(bench):
    bench.put(DONE, ANSWER)
    cleaner = bench.cleaner()
    for _ in range(20):
        bench.table.faults.set(lose_answers=1)
        with pytest.raises(TableUncertain):
            bench.pass_ticks(cleaner, 1)
        cleaner.step([])
        if bench.state() is None:
            break
    assert bench.time > RETENTION_TICKS * TICK_S


def test_step_goes_on_where_the_last_one_stopped(bench, monkeypatch):
    monkeypatch.setattr("toucanspool.protected.cleaner.PAGE_ROWS", 2)
    monkeypatch.setattr("toucanspool.protected.cleaner.PAGES_PER_STEP", 2)
    started = encode_row(ClaimRow(STARTED, "c", instance="agent"))
    keys = [row_key("team", f"{i}") for i in range(7)]
    bench.table.commit([], [Write(key, started) for key in keys])
    cleaner = bench.cleaner()
    for _ in range(2):
        bench.time += TICK_S
        cleaner._marks.refresh()
    assert [cleaner.step(()).abandoned for _ in range(3)] == [4, 3, 0]

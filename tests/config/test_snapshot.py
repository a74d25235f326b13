"""Loading from a snapshot, and pruning only rows that are no longer needed."""

import pytest

from standins.memory import MemoryObjects
from tests.config.scripted import Oracle, ScriptedTable, Violation
from toucanspool.config.failures import StaleBase
from toucanspool.config.follower import Follower
from toucanspool.config.proposal import Proposal
from toucanspool.config.records import Removal, Upstream
from toucanspool.config.snapshot import (
    SNAPSHOT_NAME,
    SnapshotReader,
    encode_view,
)
from toucanspool.config.snapshot_keeper import SnapshotKeeper
from toucanspool.config.store import ConfigStore

KEPT_CHANGES = 3


@pytest.fixture
def table():
    return ScriptedTable(Oracle())


@pytest.fixture
def objects():
    return MemoryObjects()


@pytest.fixture
def reader(table, objects):
    return SnapshotReader(table, objects)


@pytest.fixture
def keeper(table, objects):
    return SnapshotKeeper(table, objects, every=2, kept=KEPT_CHANGES)


def apply(table, proposal, *, kept=KEPT_CHANGES):
    table.oracle.bases[proposal.change_id] = proposal.base
    return ConfigStore(table, sleep=lambda _: None, kept=kept).apply(proposal)


def put(table, count, name="u"):
    for _ in range(count):
        n = len(table.oracle.accepted)
        apply(table, Proposal(f"c{n}", "ana", n, (Upstream(name, {"n": f"{n}"}),)))


def prune_all(keeper, revision):
    while keeper.prune(revision):
        pass


def test_snapshot_and_the_changes_after_it_are_loaded(table, objects, reader):
    put(table, 3)
    objects.put(SNAPSHOT_NAME, encode_view(reader.load()))
    put(table, 2)
    reads_before = table.reads
    view = reader.load()
    assert (view.revision, table.reads - reads_before) == (5, 1)
    table.oracle.check_view(view)


@pytest.mark.parametrize("data", [None, b"", b"torn"])
def test_without_a_usable_snapshot_the_rows_are_read(table, objects, reader, data):
    put(table, 3)
    if data is not None:
        objects.put(SNAPSHOT_NAME, data)
    table.oracle.check_view(reader.load())
    assert reader.load().revision == 3


def test_snapshot_older_than_the_kept_changes_is_passed_over(
    table, objects, reader, keeper
):
    put(table, 1)
    objects.put(SNAPSHOT_NAME, encode_view(reader.load()))
    put(table, 9)
    prune_all(keeper, 10)
    view = reader.load()
    assert view.revision == 10
    table.oracle.check_view(view)


def test_follower_behind_the_kept_changes_loads_the_whole(table, reader, keeper):
    put(table, 1)
    follower = Follower(reader)
    follower.poll()
    put(table, 9)
    prune_all(keeper, 10)
    assert follower.poll() == 10
    table.oracle.check_view(follower.view)


def test_snapshot_is_written_when_due(table, reader, keeper):
    put(table, 1)
    assert keeper.write_if_due(reader.load())
    put(table, 1)
    assert not keeper.write_if_due(reader.load())
    put(table, 1)
    assert keeper.write_if_due(reader.load())


def late_put_after_pruned_removal(table, keeper, kept):
    put(table, 1)
    removals = (Removal("upstream", "u"),)
    apply(table, Proposal("gone", "ana", 1, removals=removals))
    put(table, 9, "v")
    prune_all(keeper, 11)
    apply(table, Proposal("late", "ben", 1, (Upstream("u"),)), kept=kept)


def test_late_put_after_a_pruned_removal_is_refused(table, keeper):
    with pytest.raises(StaleBase):
        late_put_after_pruned_removal(table, keeper, KEPT_CHANGES)


def test_oracle_catches_a_late_put_that_is_let_through(table, keeper):
    with pytest.raises(Violation):
        late_put_after_pruned_removal(table, keeper, 10**9)


@pytest.mark.parametrize("step", range(1, 9))
@pytest.mark.parametrize("count", [1, 4])
def test_load_is_whole_while_operators_change_rows(
    table, reader, step, count, monkeypatch
):
    monkeypatch.setattr("toucanspool.config.reader.PAGE_ROWS", 2)
    put(table, 3, "a")
    put(table, 1, "d")
    put(table, 1, "e")
    put(table, 1, "b")

    def change(table):
        table.script = {}
        put(table, count, "a")
        put(table, count, "c")

    table.calls, table.script = 0, {step: change}
    table.oracle.check_view(reader.load())


def test_oracle_catches_a_load_without_the_changes_since(table, reader, monkeypatch):
    monkeypatch.setattr(SnapshotReader, "catch_up", lambda self, view, revision: None)
    with pytest.raises(Violation):
        test_load_is_whole_while_operators_change_rows(table, reader, 3, 1, monkeypatch)

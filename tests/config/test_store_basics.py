"""Changes are serialized, made once, and refused if their base is outdated."""

import pytest

from standins.memory import MemoryTable
from toucanspool.config.failures import (
    ApplyUnavailable,
    BadProposal,
    ChangeIdReused,
    RecordConflict,
)
from toucanspool.config.proposal import Proposal
from toucanspool.config.records import Removal, Team, Upstream, encode
from toucanspool.config.store import ConfigStore
from toucanspool.config.view import key_hash


def make_store(table):
    return ConfigStore(table, clock=lambda: 1.0, sleep=lambda _: None)


def label_proposal(value, change_id, base, operator="ana", name="guide-3"):
    puts = (Upstream(name, {"pool": value}),)
    return Proposal(change_id, operator, base, puts)


def test_change_is_in_force_after_loading():
    store = make_store(MemoryTable())
    applied = store.apply(label_proposal("a", "c1", 0))
    view = store.load()
    assert (applied.change.revision, view.revision) == (1, 1)
    assert view.get("upstream", "guide-3").labels == {"pool": "a"}
    assert [encode(c) for c in store.changes_after(0)] == [encode(applied.change)]


def test_two_operators_on_different_records_both_win():
    store = make_store(MemoryTable())
    store.apply(label_proposal("a", "c1", 0, "ana", "guide-1"))
    store.apply(label_proposal("b", "c2", 0, "ben", "guide-2"))
    assert store.load().revision == 2
    assert [c.operator for c in store.history()] == ["ben", "ana"]


def test_loser_on_one_record_is_told_in_a_sentence():
    store = make_store(MemoryTable())
    store.apply(label_proposal("a", "c1", 0, "ana"))
    with pytest.raises(RecordConflict) as caught:
        store.apply(label_proposal("b", "c2", 0, "ben"))
    assert "ana changed upstream guide-3 at revision 1" in caught.value.sentence


def test_removal_conflicts_with_a_late_put():
    store = make_store(MemoryTable())
    store.apply(label_proposal("a", "c1", 0))
    removal = (Removal("upstream", "guide-3"),)
    store.apply(Proposal("c2", "ana", 1, removals=removal))
    with pytest.raises(RecordConflict, match="ana removed upstream guide-3"):
        store.apply(label_proposal("b", "c3", 1, "ben"))
    assert store.load().records("upstream") == []


def test_repeat_returns_the_first_result():
    store = make_store(MemoryTable())
    first = store.apply(label_proposal("a", "c1", 0))
    store.apply(label_proposal("b", "c2", 1, "ben"))
    again = store.apply(label_proposal("a", "c1", 0))
    assert again.repeated and again.change == first.change
    assert store.load().get("upstream", "guide-3").labels == {"pool": "b"}


def test_change_id_of_another_change_is_refused():
    store = make_store(MemoryTable())
    store.apply(label_proposal("a", "c1", 0))
    with pytest.raises(ChangeIdReused):
        store.apply(label_proposal("b", "c1", 1))


@pytest.mark.parametrize(
    "proposal",
    [
        Proposal("c1", "ana", 0),
        Proposal("", "ana", 0, (Upstream("a"),)),
        Proposal("c1", "ana", 5, (Upstream("a"),)),
        Proposal("c1", "ana", 0, (Upstream("a"), Upstream("a"))),
        Proposal("c1", "ana", 0, removals=(Removal("team", "a"),)),
        Proposal(
            "c1",
            "ana",
            0,
            (
                Team("a", key_hashes=(key_hash("k"),)),
                Team("b", key_hashes=(key_hash("k"),)),
            ),
        ),
    ],
)
def test_bad_proposal_changes_nothing(proposal):
    table = MemoryTable()
    with pytest.raises(BadProposal):
        make_store(table).apply(proposal)
    assert table.commits == 0


def test_key_of_another_team_is_refused():
    store = make_store(MemoryTable())
    keys = (key_hash("k"),)
    store.apply(Proposal("c1", "ana", 0, (Team("a", key_hashes=keys),)))
    with pytest.raises(BadProposal, match="belongs to a already"):
        store.apply(Proposal("c2", "ana", 1, (Team("b", key_hashes=keys),)))


def test_table_down_changes_nothing():
    table = MemoryTable()
    table.faults.set(down=True)
    with pytest.raises(ApplyUnavailable):
        make_store(table).apply(label_proposal("a", "c1", 0))


def test_dry_run_tells_and_changes_nothing():
    table = MemoryTable()
    description = make_store(table).dry_run(label_proposal("a", "c1", 0))
    assert description.sentence == "Ana put label pool=a on upstream guide-3."
    assert table.commits == 0


def test_lost_answer_is_read_back():
    table = MemoryTable()
    table.faults.set(lose_answers=1)
    applied = make_store(table).apply(label_proposal("a", "c1", 0))
    assert (applied.change.revision, table.commits) == (1, 1)

"""A follower's revision never decreases, and it serves its changes to peers."""

import pytest

from standins.memory import MemoryTable
from toucanspool.backing.table import TableUnavailable
from toucanspool.config.follower import Follower, NoConfiguration
from toucanspool.config.proposal import Proposal
from toucanspool.config.records import BadRecord, Upstream, encode
from toucanspool.config.store import ConfigStore


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def store(table):
    return ConfigStore(table, clock=lambda: 1.0, sleep=lambda _: None)


def apply_changes(store, count):
    for n in range(count):
        puts = (Upstream("u", {"n": str(n + 1)}),)
        store.apply(Proposal(f"c{n}", "ana", n, puts))
    return [encode(c) for c in store.changes_after(0)]


def label_value(follower):
    return follower.view.get("upstream", "u").labels["n"]


def test_without_configuration_it_says_so(store):
    follower = Follower(store)
    with pytest.raises(NoConfiguration):
        _ = follower.view
    follower.poll()
    with pytest.raises(NoConfiguration):
        _ = follower.view


def test_poll_reaches_the_newest(store):
    apply_changes(store, 3)
    assert Follower(store).poll() == 3


def test_older_and_repeated_offers_change_nothing(store):
    changes = apply_changes(store, 3)
    follower = Follower(store)
    follower.poll()
    assert follower.offer([changes[1], changes[0], changes[2]])
    assert label_value(follower) == "3"


def test_offers_out_of_order_wait_for_the_missing_one(store):
    first = apply_changes(store, 1)
    follower = Follower(store)
    follower.poll()
    store.apply(Proposal("d1", "ana", 1, (Upstream("u", {"n": "2"}),)))
    store.apply(Proposal("d2", "ana", 2, (Upstream("u", {"n": "3"}),)))
    newer = [encode(c) for c in store.changes_after(1)]
    assert not follower.offer([newer[1], *first])
    assert follower.revision == 1 and follower.has_gap
    assert follower.offer([newer[0]])
    assert label_value(follower) == "3"


def test_change_spreads_from_a_peer_while_the_table_is_down(store, table):
    apply_changes(store, 1)
    current, outdated, empty = Follower(store), Follower(store), Follower(store)
    current.poll()
    outdated.poll()
    store.apply(Proposal("d1", "ana", 1, (Upstream("u", {"n": "2"}),)))
    current.poll()
    table.faults.set(down=True)
    with pytest.raises(TableUnavailable):
        outdated.poll()
    outdated.pull(current)
    empty.pull(current)
    assert (label_value(outdated), label_value(empty)) == ("2", "2")


def test_peer_with_few_recent_changes_gives_the_whole(store):
    apply_changes(store, 1)
    current, outdated = Follower(store, recent=1), Follower(store)
    outdated.poll()
    for n in (1, 2, 3):
        store.apply(Proposal(f"d{n}", "ana", n, (Upstream("u", {"n": f"{n + 1}"}),)))
    current.poll()
    assert outdated.pull(current) == 4


def test_damaged_offer_is_refused_whole(store):
    changes = apply_changes(store, 1)
    follower = Follower(store)
    with pytest.raises(BadRecord):
        follower.offer([*changes, b"{}"])
    assert follower.revision == 0

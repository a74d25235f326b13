"""Entries that callers may use, by their rows and by probes."""

import random

import pytest

from toucanspool.backing.table import Row
from toucanspool.membership.entries import MISSED_PROBE_THRESHOLD, Entries
from toucanspool.membership.entry_record import ENTRY_PREFIX, EntryRecord

OWN = EntryRecord("e1", "10.0.0.1:80", "10.0.0.1:81")


def row(name: str, address: str = "10.0.0.9:80") -> Row:
    return Row(ENTRY_PREFIX + name, EntryRecord(name, address, "p").encode(), 1)


def names(entries: Entries) -> list[str]:
    return [entry.name for entry in entries.live]


def test_listed_entries_are_told_by_name():
    entries = Entries(OWN)
    entries.replace([row("e3"), row("e2")])
    assert names(entries) == ["e1", "e2", "e3"]
    assert entries.position == 0.0


def test_an_entry_that_misses_probes_is_left_out_until_it_answers():
    entries = Entries(OWN)
    entries.replace([row("e2")])
    for _ in range(MISSED_PROBE_THRESHOLD):
        entries.record_probe("e2", ready=False, now=0.0)
    assert names(entries) == ["e1"]
    entries.record_probe("e2", ready=True, now=0.0)
    assert names(entries) == ["e1", "e2"]


def test_one_missed_probe_is_not_enough():
    entries = Entries(OWN)
    entries.replace([row("e2")])
    entries.record_probe("e2", ready=False, now=0.0)
    assert names(entries) == ["e1", "e2"]


def test_an_entry_that_leaves_is_dropped_at_once():
    entries = Entries(OWN)
    entries.replace([row("e2")])
    entries.drop(ENTRY_PREFIX + "e2")
    assert names(entries) == ["e1"]


def test_this_entry_names_the_others_while_it_leaves():
    entries = Entries(OWN)
    entries.replace([row("e2")])
    entries.leaving = True
    assert names(entries) == ["e2"]


def test_a_row_that_can_not_be_read_lists_nobody():
    entries = Entries(OWN)
    entries.replace(
        [Row(ENTRY_PREFIX + "e2", b"\xff", 1), Row(ENTRY_PREFIX + "e3", b"{}", 1)]
    )
    assert names(entries) == ["e1"]


def test_another_row_of_an_old_start_of_this_entry_does_not_count():
    entries = Entries(OWN)
    entries.replace([row("e1", "10.9.9.9:1")])
    assert entries.live == [OWN]


def test_others_that_live_say_what_they_carry():
    entries = Entries(OWN)
    entries.replace([row("e2"), row("e3")])
    entries.record_probe("e2", ready=True, now=0.0, streams={"s": 4.0})
    entries.record_probe("e3", ready=True, now=0.0, streams={"s": 6.0, "t": 1.0})
    assert sorted(entries.peer_streams("s", 0.0)) == [4.0, 6.0]
    entries.drop(ENTRY_PREFIX + "e3")
    assert entries.peer_streams("t", 0.0) == []


def test_many_entries_are_probed_in_turn_and_suspects_always():
    entries = Entries(OWN)
    entries.replace([row(f"e{n}") for n in range(2, 40)])
    entries.record_probe("e7", ready=False, now=0.0)
    rng = random.Random(1)
    rounds = [entries.probe_targets(8, rng) for _ in range(20)]
    assert {len(probed) for probed in rounds} == {9}
    in_turn = [{entry.name for entry in probed} for probed in rounds[:6]]
    assert len(set().union(*in_turn)) == 38
    assert all("e7" in {entry.name for entry in probed} for probed in rounds)
    assert len({entry.name for probed in rounds for entry in probed}) == 38


def test_few_entries_are_all_probed():
    entries = Entries(OWN)
    entries.replace([row("e2"), row("e3")])
    assert len(entries.probe_targets(8, random.Random(1))) == 2


class Fleet:
    """Simulate entries that probe each other once a second.

    Attributes
    ----------
    entries : list of Entries
        State of each entry.
    """

    def __init__(self, count: int) -> None:
        rows = [row(f"e{n:03}") for n in range(count)]
        self._rng = random.Random(1)
        self.entries = []
        for n in range(count):
            prober = Entries(EntryRecord(f"e{n:03}", "a:1", "p"))
            prober.replace(rows)
            self.entries.append(prober)

    def probe_round(self, off: int) -> None:
        """Run prober second of probes while the entry `off` is down."""
        for n, prober in enumerate(self.entries):
            for entry in prober.probe_targets(8, self._rng) if n != off else ():
                other = int(entry.name[1:])
                lost = self.entries[other].lost if other != off else []
                prober.record_probe(entry.name, ready=other != off, now=0.0, lost=lost)


# The platform allows 5 s on small sites and 7 s on large ones; a probe takes 0.8 s.
@pytest.mark.parametrize(("count", "seconds"), [(6, 2), (34, 5), (43, 5), (370, 6)])
def test_an_entry_that_is_off_is_soon_named_by_nobody(count, seconds):
    fleet = Fleet(count)
    for _ in range(seconds):
        fleet.probe_round(off=3)
    assert all(
        "e003" not in names(prober) for n, prober in enumerate(fleet.entries) if n != 3
    )


def test_an_entry_that_others_lost_is_probed_before_it_is_dropped():
    entries = Entries(OWN)
    entries.replace([row("e2"), row("e3")])
    entries.record_probe("e2", ready=True, now=0.0, lost=["e3", "e1", "unknown"])
    assert names(entries) == ["e1", "e2", "e3"]
    assert "e3" in {entry.name for entry in entries.probe_targets(0, random.Random(1))}
    entries.record_probe("e3", ready=True, now=0.0)
    assert entries.probe_targets(0, random.Random(1)) == []


def test_a_burst_at_all_of_many_entries_shows_within_three_seconds():
    rng = random.Random(1)
    entries = Entries(OWN)
    entries.replace([row(f"e{number}") for number in range(2, 100)])
    for second in range(30):
        streams = 2.0 if second < 27 else 6.0
        for peer in entries.probe_targets(8, rng):
            report = {"s": streams}
            entries.record_probe(
                peer.name, ready=True, now=float(second), streams=report
            )
    reported = entries.peer_streams("s", 29.0)
    assert len(reported) >= 8
    assert sum(reported) / len(reported) > 5.0


@pytest.mark.parametrize("name", ["e1", "e2", "e9"])
def test_a_record_under_the_key_of_another_entry_lists_nobody(name):
    """Guards against an entry that is replaced by another's row, or stays for ever."""
    entries = Entries(OWN)
    entries.replace([row("e2")])
    odd = Row(ENTRY_PREFIX + "odd", row(name, "10.0.0.8:80").value, 2)
    entries.put(odd)
    assert [(e.name, e.address) for e in entries.peers] == [("e2", "10.0.0.9:80")]
    assert not entries.own_listed
    entries.replace([odd, row("e2")])
    assert names(entries) == ["e1", "e2"]

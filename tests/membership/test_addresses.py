"""Assigned entries are stable, cover failure domains and are never leaving."""

from dataclasses import replace

import pytest
import xxhash
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanspool.backing.instances import (
    ROLE_AGENT,
    ROLE_ENTRY,
    STATE_LEAVING,
    Instance,
)
from toucanspool.limits.share import parse_share
from toucanspool.membership.addresses import pick_entries, team_entry_count

TEAM = "members"
CASES = settings(derandomize=True, deadline=None, max_examples=150)


def _entry(number, domains):
    domain = f"domain-{number % domains}"
    return Instance(f"entry-{number}", ROLE_ENTRY, domain, "one", "10.0.0.1", 1, 2)


LISTED = [_entry(number, 3) for number in range(18)]


@st.composite
def _lists(draw):
    domains = draw(st.integers(1, 5))
    numbers = draw(st.sets(st.integers(0, 40), min_size=1, max_size=20))
    return [_entry(number, domains) for number in sorted(numbers)]


def _by_modulo(team, instances, count):
    """Pick by a hash modulo the number of entries, which moves most teams."""
    listed = list(instances)
    start = xxhash.xxh64_intdigest(team.encode()) % len(listed)
    return (listed + listed)[start : start + count]


def _stable(pick, count):
    """Return whether the loss of any entry changes only that entry's address."""
    before = {entry.name for entry in pick(TEAM, LISTED, count)}
    for lost in LISTED:
        left = [entry for entry in LISTED if entry != lost]
        after = {entry.name for entry in pick(TEAM, left, count)}
        if before - after != before & {lost.name}:
            return False
    return True


def _covers(picked, listed, count):
    wanted = min(count, len({entry.failure_domain for entry in listed}))
    return len({entry.failure_domain for entry in picked}) == wanted


@CASES
@given(_lists(), st.integers(1, 6))
def test_answers_cover_as_many_failure_domains_as_they_can(listed, count):
    assert _covers(pick_entries(TEAM, listed, count), listed, count)


def test_the_oracle_sees_an_answer_in_one_failure_domain():
    assert not _covers(LISTED[0:7:3], LISTED, 3)


@CASES
@given(_lists(), st.integers(1, 6), st.data())
def test_a_leaving_entry_is_never_picked(listed, count, data):
    leaving = data.draw(st.sampled_from(listed))
    states = [replace(e, state=STATE_LEAVING) if e == leaving else e for e in listed]
    picked = pick_entries(TEAM, states, count)
    assert leaving.name not in {entry.name for entry in picked}
    assert len(picked) == min(count, len(listed) - 1)


@pytest.mark.parametrize("count", [1, 3, 6, 12])
def test_one_going_changes_one_address_of_its_teams_only(count):
    assert _stable(pick_entries, count)


def test_the_oracle_sees_addresses_that_move_without_need():
    assert not _stable(_by_modulo, 3)


def test_teams_have_different_entries():
    first = {pick_entries(f"team-{n}", LISTED, 3)[0].name for n in range(200)}
    assert len(first) == len(LISTED)


def test_the_order_of_the_list_does_not_matter():
    assert pick_entries(TEAM, LISTED, 3) == pick_entries(TEAM, LISTED[::-1], 3)


def test_agents_are_not_addresses():
    agent = Instance("agent-1", ROLE_AGENT, "one", "one", "10.0.0.1", 1)
    assert pick_entries(TEAM, [agent], 3) == []


@pytest.mark.parametrize(
    ("share", "count"), [(0.1, 3), (1.0, 3), (2.0, 6), (2.1, 7), (1e6, 512)]
)
def test_entries_are_in_proportion_to_the_share(share, count):
    assert team_entry_count(share, 3) == count


@pytest.mark.parametrize(
    ("label", "share"),
    [(None, 1), ("", 1), ("x", 1), ("nan", 1), ("-2", 1), ("0", 1), ("2.5", 2.5)],
)
def test_share_of_a_label(label, share):
    assert parse_share(label) == share


def test_a_larger_share_keeps_the_entries_of_a_smaller_one():
    assert pick_entries(TEAM, LISTED, 9)[:3] == pick_entries(TEAM, LISTED, 3)

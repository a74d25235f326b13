"""Agents get changes from two failure domains, and leaving entries get none."""

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from toucanspool.backing.instances import (
    ROLE_AGENT,
    ROLE_ENTRY,
    STATE_LEAVING,
    Instance,
)
from toucanspool.membership.gossip import FANOUT, GossipTargets, assigned_agents

AGENTS = [f"agent-{n}" for n in range(12)]
CASES = settings(derandomize=True, deadline=None, max_examples=100)


@st.composite
def _entries(draw):
    domains = draw(st.integers(1, 4))
    numbers = draw(st.sets(st.integers(0, 30), min_size=1, max_size=15))
    return {f"entry-{n}": f"domain-{n % domains}" for n in sorted(numbers)}


def _tellers(entries, assign=assigned_agents):
    lists = {name: set(assign(name, entries, AGENTS)) for name in entries}
    return {a: {e for e, told in lists.items() if a in told} for a in AGENTS}


def _first_two(name, entries, agents):
    """Assign every agent to the first two entries, in any failure domain."""
    return list(agents) if name in sorted(entries)[:2] else []


def _covered(entries, tellers):
    wanted = min(2, len(set(entries.values())))
    domains = [[entries[e] for e in names] for names in tellers.values()]
    return all(len(found) == len(set(found)) == wanted for found in domains)


@CASES
@given(_entries())
def test_each_agent_is_told_from_two_failure_domains_where_there_are_two(entries):
    assert _covered(entries, _tellers(entries))


def test_the_oracle_sees_both_tellers_in_one_failure_domain():
    entries = {"entry-1": "a", "entry-2": "a", "entry-3": "b"}
    assert not _covered(entries, _tellers(entries, assign=_first_two))


@CASES
@given(_entries(), st.data())
def test_when_an_entry_goes_an_agent_changes_at_most_that_teller(entries, data):
    gone = data.draw(st.sampled_from(sorted(entries)))
    before = _tellers(entries)
    after = _tellers({n: d for n, d in entries.items() if n != gone})
    for agent, names in before.items():
        assert names - {gone} <= after[agent]
        assert gone in names or after[agent] == names


def _listed(entries):
    found = [
        Instance(name, ROLE_ENTRY, domain, "one", "10.0.0.1", 1, 2)
        for name, domain in entries.items()
    ]
    return [*found, *(_agent(name) for name in AGENTS)]


def _agent(name):
    return Instance(name, ROLE_AGENT, "domain-0", "one", "10.0.0.1", 1, upstream=name)


@CASES
@given(_entries(), st.data())
def test_a_leaving_entry_gets_no_news(entries, data):
    leaving = data.draw(st.sampled_from(sorted(entries)))
    own = data.draw(st.sampled_from(sorted(entries)))
    targets = GossipTargets(own, random.Random(1), fanout=len(entries))
    targets.update(
        replace(i, state=STATE_LEAVING) if i.name == leaving else i
        for i in _listed(entries)
    )
    assert leaving not in targets.push_targets()
    assert set(targets.peers) == set(entries) - {own, leaving}


def test_news_goes_to_a_bounded_number_of_peers_and_never_to_itself():
    entries = {f"entry-{n}": f"domain-{n % 4}" for n in range(50)}
    targets = GossipTargets("entry-7", random.Random(2))
    targets.update(_listed(entries))
    for _ in range(50):
        told = {name for name in targets.push_targets() if name in entries}
        assert len(told) == FANOUT
        assert "entry-7" not in told


def test_an_exchange_reaches_every_peer_in_time():
    entries = {f"entry-{n}": "domain-0" for n in range(20)}
    targets = GossipTargets("entry-0", random.Random(3))
    targets.update(_listed(entries))
    reached = {
        name
        for _ in range(200)
        for name in targets.exchange_targets()
        if name in entries
    }
    assert reached == set(entries) - {"entry-0"}


def test_the_order_of_the_list_does_not_matter():
    entries = {f"entry-{n}": f"domain-{n % 3}" for n in range(9)}
    one, two = (GossipTargets("entry-1", random.Random(4)) for _ in range(2))
    one.update(_listed(entries))
    two.update(_listed(entries)[::-1])
    assert set(one.agents) == set(two.agents)

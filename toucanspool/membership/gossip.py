"""Gossip targets of an entry, for changes of the configuration.

An entry immediately pushes a new change to a few random peers, each of which pushes
it on. An exchange of revisions with one random peer at each tick repairs lost messages.
Agents choose no peers: rendezvous hashing assigns each agent to entries in different
failure domains, and these push changes to it.

References
----------
A. Demers et al., "Epidemic algorithms for replicated database maintenance", PODC
1987 (rumor mongering and anti-entropy).
"""

import random
from collections.abc import Iterable, Mapping

import xxhash

from toucanspool.backing.instances import (
    ROLE_AGENT,
    ROLE_ENTRY,
    STATE_LIVE,
    Instance,
)

FANOUT = 3


class GossipTargets:
    """Choose the instances that an entry sends changes and revisions to.

    Parameters
    ----------
    name : str
        Name of this entry's instance.
    rng : random.Random
        Source of the random choices.
    fanout : int, default=3
        Number of peers that a new change is pushed to.
    """

    __slots__ = ("_fanout", "_last_listed", "_name", "_rng", "agents", "peers")

    def __init__(self, name: str, rng: random.Random, *, fanout: int = FANOUT) -> None:
        self._name = name
        self._rng = rng
        self._fanout = fanout
        self._last_listed: tuple[list, list] = ([], [])
        self.peers: list[str] = []
        self.agents: list[str] = []

    def update(self, instances: Iterable[Instance]) -> None:
        """Update peers and agents from the platform's list.

        Parameters
        ----------
        instances : iterable of Instance
            All listed instances.
        """
        entries: dict[str, str] = {}
        agents = []
        for instance in instances:
            if instance.role == ROLE_AGENT:
                agents.append(instance.name)
            elif instance.role == ROLE_ENTRY and instance.state == STATE_LIVE:
                entries[instance.name] = instance.failure_domain
        listed = (sorted(entries.items()), sorted(agents))
        if listed == self._last_listed:
            return
        self._last_listed = listed
        self.peers = [name for name in entries if name != self._name]
        self.agents = assigned_agents(self._name, entries, agents)

    def exchange_targets(self) -> list[str]:
        """Return the instances to exchange revisions with now."""
        return self._sample_peers(1) + self.agents

    def push_targets(self) -> list[str]:
        """Return the instances to push a new change to."""
        return self._sample_peers(self._fanout) + self.agents

    def _sample_peers(self, count: int) -> list[str]:
        return self._rng.sample(self.peers, min(count, len(self.peers)))


def assigned_agents(
    name: str, entries: Mapping[str, str], agents: Iterable[str]
) -> list[str]:
    """Return the agents that an entry pushes changes to.

    Each agent is assigned to the entry with its highest weight, and to the highest
    one outside that entry's failure domain, so that it keeps an entry when a domain
    fails.

    Parameters
    ----------
    name : str
        Name of the entry's instance.
    entries : mapping of str to str
        Failure domain of each live entry, by name.
    agents : iterable of str
        Names of all agents.

    Returns
    -------
    list of str
    """
    domain = entries.get(name, "")
    others = [(e.encode(), d) for e, d in entries.items() if e != name]
    return [a for a in agents if _is_assigned(a, name.encode(), domain, others)]


def _is_assigned(
    agent: str, own: bytes, domain: str, others: Iterable[tuple[bytes, str]]
) -> bool:
    """Return whether all entries of higher weight share one other failure domain."""
    seed = xxhash.xxh32_intdigest(agent.encode())
    weight = xxhash.xxh64_intdigest(own, seed)
    higher_domain = ""
    for other, other_domain in others:
        if xxhash.xxh64_intdigest(other, seed) < weight:
            continue
        if other_domain == domain or (higher_domain and other_domain != higher_domain):
            return False
        higher_domain = other_domain
    return True

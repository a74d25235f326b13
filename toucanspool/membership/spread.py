"""Whom an entry tells of its revision of the configuration.

News is pushed at once to a few random peers, each of which pushes it on; what is
lost on the way is made good by an exchange with one random peer at each tick.
Agents do not look for peers: each is assigned to a few entries by rendezvous
hashing, in different failure domains, and these tell it.

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


class Spread:
    """Choose partners among the instances known.

    Parameters
    ----------
    name : str
        This entry's instance.
    rng : random.Random
        Source of the draws.
    fanout : int, default=3
        Peers told of news at once.
    """

    __slots__ = ("_fanout", "_known", "_name", "_rng", "agents", "peers")

    def __init__(self, name: str, rng: random.Random, *, fanout: int = FANOUT) -> None:
        self._name = name
        self._rng = rng
        self._fanout = fanout
        self._known: tuple[list, list] = ([], [])
        self.peers: list[str] = []
        self.agents: list[str] = []

    def update(self, instances: Iterable[Instance]) -> None:
        """Take the platform's list.

        Parameters
        ----------
        instances : iterable of Instance
            All instances listed.
        """
        entries: dict[str, str] = {}
        agents = []
        for instance in instances:
            if instance.role == ROLE_AGENT:
                agents.append(instance.name)
            elif instance.role == ROLE_ENTRY and instance.state == STATE_LIVE:
                entries[instance.name] = instance.failure_domain
        known = (sorted(entries.items()), sorted(agents))
        if known == self._known:
            return
        self._known = known
        self.peers = [name for name in entries if name != self._name]
        self.agents = assigned(self._name, entries, agents)

    def tick(self) -> list[str]:
        """Return the instances to exchange revisions with now."""
        return self._draw(1) + self.agents

    def news(self) -> list[str]:
        """Return the instances to push a new change to."""
        return self._draw(self._fanout) + self.agents

    def _draw(self, count: int) -> list[str]:
        return self._rng.sample(self.peers, min(count, len(self.peers)))


def assigned(name: str, entries: Mapping[str, str], agents: Iterable[str]) -> list[str]:
    """Return the agents that an entry tells of changes.

    Each agent is assigned to its highest entry, and to the highest one outside that
    entry's failure domain, so that the loss of a domain leaves it one.

    Parameters
    ----------
    name : str
        The entry.
    entries : mapping of str to str
        The failure domain of each live entry.
    agents : iterable of str
        All agents.

    Returns
    -------
    list of str
    """
    domain = entries.get(name, "")
    others = [(e.encode(), d) for e, d in entries.items() if e != name]
    return [a for a in agents if _is_high(a, name.encode(), domain, others)]


def _is_high(
    agent: str, own: bytes, domain: str, others: Iterable[tuple[bytes, str]]
) -> bool:
    """Return whether all higher entries are in one failure domain, another one."""
    seed = xxhash.xxh32_intdigest(agent.encode())
    weight = xxhash.xxh64_intdigest(own, seed)
    above = ""
    for other, other_domain in others:
        if xxhash.xxh64_intdigest(other, seed) < weight:
            continue
        if other_domain == domain or (above and other_domain != above):
            return False
        above = other_domain
    return True

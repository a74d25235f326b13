"""Which entries a team is told to use.

Each team is given a few entries by rendezvous hashing, one from each failure
domain as far as there are several, so that its limits and its prompt prefixes
live on a few entries, and that a team moves only when one of its own entries goes.

References
----------
D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import math
from collections.abc import Iterable

import xxhash

from toucanspool.backing.instances import ROLE_ENTRY, STATE_LIVE, Instance

MAX_ENTRIES = 512


def wanted_entries(share: float, least: int) -> int:
    """Return how many entries a team is told of: in proportion to its share.

    Parameters
    ----------
    share : float
        The team's share; 1 is a usual team's.
    least : int
        Entries of a team whose share is 1 or less.

    Returns
    -------
    int
    """
    return min(MAX_ENTRIES, max(least, math.ceil(least * share)))


def pick_entries(
    team: str, instances: Iterable[Instance], count: int
) -> list[Instance]:
    """Return the entries that a team should use, the preferred first.

    Parameters
    ----------
    team : str
        The team.
    instances : iterable of Instance
        All instances known; only live entries are picked.
    count : int
        How many are wanted.

    Returns
    -------
    list of Instance
        Fewer where there are fewer.
    """
    entries = [i for i in instances if i.role == ROLE_ENTRY and i.state == STATE_LIVE]
    ranked = sorted(entries, key=lambda entry: _weight(team, entry), reverse=True)
    taken: dict[str, int] = {}
    rounds = []
    for rank, entry in enumerate(ranked):
        nth = taken.get(entry.failure_domain, 0)
        taken[entry.failure_domain] = nth + 1
        rounds.append((nth, rank, entry))
    rounds.sort(key=lambda item: item[:2])
    return [entry for _, _, entry in rounds[:count]]


def _weight(team: str, entry: Instance) -> int:
    return xxhash.xxh64_intdigest(f"{team}\0{entry.name}".encode())

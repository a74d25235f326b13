"""Assignment of entries to teams.

Rendezvous hashing assigns a few entries to each team, from different failure domains
where there are several. A team's limits and prompt prefixes are then kept on few
entries. The team's entries change only when one of them leaves, or when one joins that
ranks higher for the team.

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


def team_entry_count(share: float, min_entries: int) -> int:
    """Return how many entries a team uses, in proportion to its share.

    Parameters
    ----------
    share : float
        The team's share; 1 for an ordinary team.
    min_entries : int
        Number of entries for a team whose share is 1 or less.

    Returns
    -------
    int
    """
    return min(MAX_ENTRIES, max(min_entries, math.ceil(min_entries * share)))


def pick_entries(
    team: str, instances: Iterable[Instance], count: int
) -> list[Instance]:
    """Return the entries that a team should use, in order of preference.

    Parameters
    ----------
    team : str
        Name of the team.
    instances : iterable of Instance
        All known instances; only live entries are picked.
    count : int
        Largest number of entries to return.

    Returns
    -------
    list of Instance
        Fewer than `count` if there are fewer live entries.
    """
    entries = [i for i in instances if i.role == ROLE_ENTRY and i.state == STATE_LIVE]
    ranked = sorted(entries, key=lambda entry: _weight(team, entry), reverse=True)
    picked_by_domain: dict[str, int] = {}
    ordered = []
    for rank, entry in enumerate(ranked):
        round_number = picked_by_domain.get(entry.failure_domain, 0)
        picked_by_domain[entry.failure_domain] = round_number + 1
        ordered.append((round_number, rank, entry))
    ordered.sort(key=lambda item: item[:2])
    return [entry for _, _, entry in ordered[:count]]


def _weight(team: str, entry: Instance) -> int:
    return xxhash.xxh64_intdigest(f"{team}\0{entry.name}".encode())

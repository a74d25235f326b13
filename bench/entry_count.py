"""A way to say how many entries a team uses, that lost to `team_entry_count`.

A team is told a few entries by the address answer, more for a larger share. Each
of them holds the team to its part of that entry, so that no entry needs to know a
team's use elsewhere.
"""

import math

LEAST_ENTRIES = 3
SPARE = 6.0


def entry_count(
    share: float,
    total_share: float,
    entries: int,
    *,
    least: int = LEAST_ENTRIES,
    spare: float = SPARE,
) -> int:
    """Return how many entries a team is told to use.

    Parameters
    ----------
    share : float
        The team's share.
    total_share : float
        Sum of the shares of all teams.
    entries : int
        Number of entries.
    least : int, default=3
        The fewest, so that a team outlives an entry.
    spare : float, default=6
        Factor over the part of the entries that its share comes to.

    Returns
    -------
    int
        From 1 to `entries`.
    """
    wanted = least
    if total_share > 0.0:
        wanted = max(least, math.ceil(spare * share * entries / total_share))
    return max(1, min(entries, wanted))


def local_share(share: float, count: int) -> float:
    """Return a team's share at each of its entries, as `Admission` weighs it.

    Parameters
    ----------
    share : float
        The team's share.
    count : int
        Number of the entries that it uses.

    Returns
    -------
    float
    """
    return share / count

"""Sizing of a team's entries by its part of all shares, a baseline in benchmarks.

The address answer gives a team a few entries, more for a larger share. Each entry
limits the team to its part there, so no entry needs to know the team's usage at
other entries. `team_entry_count` did better and is the method in use.
"""

import math

MIN_ENTRIES = 3
ENTRIES_FACTOR = 6.0


def entry_count(
    share: float,
    total_share: float,
    entries: int,
    *,
    min_entries: int = MIN_ENTRIES,
    entries_factor: float = ENTRIES_FACTOR,
) -> int:
    """Return the number of entries in a team's address answer.

    Parameters
    ----------
    share : float
        The team's share.
    total_share : float
        Sum of the shares of all teams.
    entries : int
        Number of entries.
    min_entries : int, default=3
        Minimum number of entries, so that a team survives the loss of one.
    entries_factor : float, default=6
        Factor on the team's proportional part of the entries.

    Returns
    -------
    int
        From 1 to `entries`.
    """
    wanted = min_entries
    if total_share > 0.0:
        wanted = max(
            min_entries, math.ceil(entries_factor * share * entries / total_share)
        )
    return max(1, min(entries, wanted))


def share_per_entry(share: float, count: int) -> float:
    """Return a team's share at each of its entries, for use with `Admission`.

    Parameters
    ----------
    share : float
        The team's share.
    count : int
        Number of entries that the team uses.

    Returns
    -------
    float
    """
    return share / count

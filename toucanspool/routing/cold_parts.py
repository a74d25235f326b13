"""Division among the entries of the requests that a cold upstream tolerates."""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ColdBound:
    """Hold what cold upstreams tolerate in any one second beyond their rate.

    Parameters
    ----------
    overrun : float
        Multiple of an upstream's rate that it may get.
    slack : float
        Requests that it may get in addition.
    """

    overrun: float
    slack: float

    def most(self, per_s: float) -> float:
        """Return the requests that an upstream may get in any one second."""
        return per_s * self.overrun + self.slack


@dataclass(slots=True, frozen=True)
class ColdDivision:
    """Hold how many entries use a cold upstream, and how much they may send.

    Each of the entries has a token bucket that holds one request, so together they
    send `entries` + `per_s` requests in any one second.

    Parameters
    ----------
    entries : int
        Entries that use the upstream.
    standbys : int
        Entries that may use it in place of entries that they take for dead. The bound
        holds also if all of these are alive and use it too.
    per_s : float
        Requests a second of all entries together.
    """

    entries: int
    standbys: int
    per_s: float


def divide_cold_rate(per_s: float, bound: ColdBound, known: int) -> ColdDivision:
    """Return the division of a cold upstream's requests.

    Handles the load of many entries on few cold upstreams, where one request of each
    entry would already be too much. Half of the entries that fit are used, because
    entries may have different views of the list of entries.

    Parameters
    ----------
    per_s : float
        Requests a second that the upstream tolerates.
    bound : ColdBound
        What it tolerates in any one second.
    known : int
        Entries that are known, at least 1.

    Returns
    -------
    ColdDivision
        Its rate is lower than `per_s` where the bound leaves no room for one request
        more than that.
    """
    most = bound.most(per_s)
    entries = max(1, min(math.floor(most - per_s) // 2, known))
    usable_per_s = max(0.0, min(per_s, most - entries))
    spare = most - entries - usable_per_s
    standbys = math.floor(spare / (1.0 + usable_per_s / entries))
    return ColdDivision(entries, max(0, standbys), usable_per_s)


def cold_share(
    ranked: Sequence[str],
    own: str,
    live: Collection[str],
    coverage: float,
    division: ColdDivision,
) -> float:
    """Return the fraction of a cold upstream's rate that belongs to an entry.

    All entries that know the same others come to the same division. Views differ while
    entries start or leave, and where links between entries are cut:

    - If a cut splits the entries into groups that don't see each other, each group uses
      as much as its part of all entries. Since a number of entries is rounded, twice
      `division.entries` may use the upstream, which the bound allows for.
    - If entries take others for dead that live, only `division.standbys` of them may
      take their places.

    Parameters
    ----------
    ranked : sequence of str
        Entries that are listed or have been heard of, in the order that rendezvous
        hashing gives them for the upstream.
    own : str
        Name of the entry.
    live : collection of str
        Those of them that answer, with this one.
    coverage : float
        Fraction of all entries that are live and known to this one.
    division : ColdDivision
        How the upstream's rate is divided.

    Returns
    -------
    float
        0 if the entry may not use the upstream.
    """
    # Rounds halves down, so that of two groups of the same size none is favoured.
    entries = math.ceil(division.entries * coverage - 0.5)
    if entries <= 0:
        return 0.0
    if own not in ranked[: division.entries + division.standbys]:
        return 0.0
    before = ranked[: ranked.index(own)]
    if sum(name in live for name in before) >= entries:
        return 0.0
    return coverage / division.entries

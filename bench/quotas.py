"""Simulate methods of enforcing teams' rates at many entries."""

from dataclasses import dataclass

import numpy as np

from bench.entry_count import entry_count

ENTRIES = 370
TEAMS = 4500
TOTAL_REQUESTS_PER_S = 3400.0
GREEDY_FACTOR = 10.0
DURATION_S = 120
ADDRESS_TTL_S = 30
BURST_S = 5.0
BURST_REQUESTS = 2.0
TEAM_BYTES = 12
MESSAGE_BYTES = 60
ROW_BYTES = 160


def team_rates(rng: np.random.Generator) -> np.ndarray:
    """Return the fair rate of each team in requests a second, largest first."""
    weights = 1.0 / np.arange(1, TEAMS + 1) ** 0.8
    return (
        TOTAL_REQUESTS_PER_S * weights / weights.sum() * rng.uniform(0.99, 1.01, TEAMS)
    )


@dataclass(slots=True, frozen=True)
class Method:
    """Describe a method of enforcing rates.

    Parameters
    ----------
    name : str
        Name in the printed table.
    subset : bool
        Whether a team gets the addresses of a few entries rather than of all.
    period_s : int
        Seconds between exchanges of usage or leases of quota; 0 for never.
    leased : bool
        Whether quota is leased from the platform's table.
    """

    name: str
    subset: bool
    period_s: int = 0
    leased: bool = False


METHODS = [
    Method("even split over all entries", subset=False),
    Method("exchange of use among all, 1 s", subset=False, period_s=1),
    Method("exchange of use among all, 15 s", subset=False, period_s=15),
    Method("address answer", subset=True),
    Method("address answer, exchange 5 s", subset=True, period_s=5),
    Method("address answer, quota leases 10 s", subset=True, period_s=10, leased=True),
]


@dataclass(slots=True, frozen=True)
class MethodResult:
    """Hold the error of a method and its control traffic per entry."""

    greedy_error: float
    refused: float
    bytes_per_s: float
    writes_per_s: float


def simulate(method: Method, seed: int) -> MethodResult:
    """Return the result of a method while 1% of the teams are greedy."""
    rng = np.random.default_rng(seed)
    rates = team_rates(rng)
    greedy = rng.random(TEAMS) < 0.01
    demand = rates * np.where(greedy, GREEDY_FACTOR, rng.uniform(0.5, 0.95, TEAMS))
    counts = np.full(TEAMS, ENTRIES)
    if method.subset:
        total = rates.sum()
        counts = np.array([entry_count(rate, total, ENTRIES) for rate in rates])
    team_index = np.repeat(np.arange(TEAMS), counts)
    first_index = np.concatenate([[0], np.cumsum(counts)[:-1]])
    even_rate = (rates / counts)[team_index]
    allowed_rate = even_rate.copy()
    tokens = np.full(len(team_index), BURST_REQUESTS)
    offered, admitted, recent_arrivals = (
        np.zeros(TEAMS),
        np.zeros(TEAMS),
        np.zeros(len(team_index)),
    )
    for second in range(DURATION_S):
        if second % ADDRESS_TTL_S == 0:
            fractions = _entry_fractions(rates, counts, first_index, rng)
        arrivals = rng.poisson(demand[team_index] * fractions).astype(float)
        burst_limit = BURST_REQUESTS + BURST_S * allowed_rate
        tokens = np.minimum(tokens + allowed_rate, burst_limit)
        accepted = np.minimum(arrivals, np.floor(tokens))
        tokens -= accepted
        recent_arrivals += arrivals
        if method.period_s and second % method.period_s == method.period_s - 1:
            weights = recent_arrivals + 0.1 * method.period_s * even_rate
            allowed_rate = (
                rates[team_index]
                * weights
                / np.bincount(team_index, weights)[team_index]
            )
            recent_arrivals[:] = 0.0
        if second >= DURATION_S // 4:
            offered += np.bincount(team_index, arrivals, TEAMS)
            admitted += np.bincount(team_index, accepted, TEAMS)
    measured_s = DURATION_S - DURATION_S // 4
    error = np.abs(admitted[greedy] / measured_s / rates[greedy] - 1.0)
    compliant = ~greedy
    refused = 1.0 - admitted[compliant].sum() / offered[compliant].sum()
    return MethodResult(
        float(error.mean()), float(refused), *_cost(method, rates, counts)
    )


def _entry_fractions(
    rates: np.ndarray,
    counts: np.ndarray,
    first_index: np.ndarray,
    rng: np.random.Generator,
) -> np.ndarray:
    """Return the fraction of a team's requests that each of its entries gets."""
    fractions = np.zeros(int(counts.sum()))
    callers = 4 + (10 * rates).astype(int)
    team_index = np.repeat(np.arange(len(rates)), callers)
    picks = first_index[team_index] + (
        rng.random(len(team_index)) * counts[team_index]
    ).astype(int)
    np.add.at(fractions, picks, 1.0 / callers[team_index])
    return fractions


def _cost(method: Method, rates: np.ndarray, counts: np.ndarray) -> tuple[float, float]:
    if not method.period_s:
        return 0.0, 0.0
    active_entries = np.minimum(counts, rates * method.period_s + 1e-9)
    if method.leased:
        quota_rows = counts.sum() / ENTRIES
        return quota_rows * ROW_BYTES / method.period_s, counts.sum() / method.period_s
    peers = min(ENTRIES - 1.0, float((counts * (counts - 1)).sum() / ENTRIES))
    updates = (active_entries * (counts - 1)).sum() / ENTRIES
    per_period = updates * TEAM_BYTES + min(peers, updates) * MESSAGE_BYTES
    return float(per_period / method.period_s), 0.0

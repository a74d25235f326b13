"""Ways of enforcing teams' rates at many entries, by error and control bytes."""

from dataclasses import dataclass

import numpy as np

from bench.entry_count import entry_count

ENTRIES = 370
TEAMS = 4500
RATE = 3400.0
GREEDY_FACTOR = 10.0
SECONDS = 120
ANSWER_KEPT_S = 30
BURST_S = 5.0
BURST_REQUESTS = 2.0
TEAM_BYTES = 12
MESSAGE_BYTES = 60
ROW_BYTES = 160


def team_rates(rng: np.random.Generator) -> np.ndarray:
    """Return each team's fair rate in requests a second, the largest first."""
    weights = 1.0 / np.arange(1, TEAMS + 1) ** 0.8
    return RATE * weights / weights.sum() * rng.uniform(0.99, 1.01, TEAMS)


@dataclass(slots=True, frozen=True)
class Way:
    """Describe a way of enforcing rates.

    Parameters
    ----------
    name : str
        Its name in the table.
    narrow : bool
        Whether a team is answered with a few entries, or with all.
    period_s : int
        How often use is exchanged or quota leased; 0 for never.
    leased : bool
        Whether that goes through the platform's table.
    """

    name: str
    narrow: bool
    period_s: int = 0
    leased: bool = False


WAYS = [
    Way("even split over all entries", narrow=False),
    Way("exchange of use among all, 1 s", narrow=False, period_s=1),
    Way("exchange of use among all, 15 s", narrow=False, period_s=15),
    Way("address answer", narrow=True),
    Way("address answer, exchange 5 s", narrow=True, period_s=5),
    Way("address answer, quota leases 10 s", narrow=True, period_s=10, leased=True),
]


@dataclass(slots=True, frozen=True)
class Enforced:
    """Hold the error of a way, and its cost for each entry."""

    greedy_error: float
    refused: float
    bytes_per_s: float
    writes_per_s: float


def enforce(way: Way, seed: int) -> Enforced:
    """Return the errors of a way with a hundredth of the teams greedy."""
    rng = np.random.default_rng(seed)
    rates = team_rates(rng)
    greedy = rng.random(TEAMS) < 0.01
    demand = rates * np.where(greedy, GREEDY_FACTOR, rng.uniform(0.5, 0.95, TEAMS))
    counts = np.full(TEAMS, ENTRIES)
    if way.narrow:
        total = rates.sum()
        counts = np.array([entry_count(rate, total, ENTRIES) for rate in rates])
    team = np.repeat(np.arange(TEAMS), counts)
    first = np.concatenate([[0], np.cumsum(counts)[:-1]])
    even = (rates / counts)[team]
    allowed = even.copy()
    tokens = np.full(len(team), BURST_REQUESTS)
    offered, admitted, recent = np.zeros(TEAMS), np.zeros(TEAMS), np.zeros(len(team))
    for second in range(SECONDS):
        if second % ANSWER_KEPT_S == 0:
            part = _callers(rates, counts, first, rng)
        came = rng.poisson(demand[team] * part).astype(float)
        burst = BURST_REQUESTS + BURST_S * allowed
        tokens = np.minimum(tokens + allowed, burst)
        passed = np.minimum(came, np.floor(tokens))
        tokens -= passed
        recent += came
        if way.period_s and second % way.period_s == way.period_s - 1:
            seen = recent + 0.1 * way.period_s * even
            allowed = rates[team] * seen / np.bincount(team, seen)[team]
            recent[:] = 0.0
        if second >= SECONDS // 4:
            offered += np.bincount(team, came, TEAMS)
            admitted += np.bincount(team, passed, TEAMS)
    seconds = SECONDS - SECONDS // 4
    error = np.abs(admitted[greedy] / seconds / rates[greedy] - 1.0)
    modest = ~greedy
    refused = 1.0 - admitted[modest].sum() / offered[modest].sum()
    return Enforced(float(error.mean()), float(refused), *_cost(way, rates, counts))


def _callers(
    rates: np.ndarray, counts: np.ndarray, first: np.ndarray, rng: np.random.Generator
) -> np.ndarray:
    """Return the part of its team's requests that each entry of it gets."""
    part = np.zeros(int(counts.sum()))
    callers = 4 + (10 * rates).astype(int)
    owner = np.repeat(np.arange(len(rates)), callers)
    picks = first[owner] + (rng.random(len(owner)) * counts[owner]).astype(int)
    np.add.at(part, picks, 1.0 / callers[owner])
    return part


def _cost(way: Way, rates: np.ndarray, counts: np.ndarray) -> tuple[float, float]:
    if not way.period_s:
        return 0.0, 0.0
    here = np.minimum(counts, rates * way.period_s + 1e-9)
    if way.leased:
        rows = counts.sum() / ENTRIES
        return rows * ROW_BYTES / way.period_s, counts.sum() / way.period_s
    peers = min(ENTRIES - 1.0, float((counts * (counts - 1)).sum() / ENTRIES))
    told = (here * (counts - 1)).sum() / ENTRIES
    per_period = told * TEAM_BYTES + min(peers, told) * MESSAGE_BYTES
    return float(per_period / way.period_s), 0.0

"""Checks the use of other entries' idle capacity under random arrivals."""

import numpy as np
import pytest

from toucanspool.limits.spare_capacity import MAX_LIMIT_FACTOR, SpareCapacity

ENTRIES, EQUAL_LIMIT = 34, 10.6
SECONDS, UPDATE_INTERVAL_S = 60.0, 0.1
STREAM_DURATION_S = 1.8
# Time until entries know of each other's load and the first excess streams have ended.
SETTLING_S = 1.0 + 2 * STREAM_DURATION_S


class Simulation:
    """Simulate random arrivals at entries that report their load to each other.

    Attributes
    ----------
    refused : float
        Fraction of the callers that were refused.
    peak, peak_from_start : int
        Largest number of streams of all entries together, once entries know of each
        other's load, and from the start.
    """

    def __init__(
        self,
        mean: float | np.ndarray,
        *,
        borrow: bool,
        seed: int = 1,
        reports: int = ENTRIES - 1,
    ) -> None:
        means = np.broadcast_to(mean, ENTRIES)
        rng = np.random.default_rng(seed)
        entries = [SpareCapacity() for _ in range(ENTRIES)]
        running = np.zeros(ENTRIES, dtype=int)
        reported = [0.0] * ENTRIES
        arrived = refused = 0
        totals = []
        for tick in range(int(SECONDS / UPDATE_INTERVAL_S)):
            now = 100.0 + tick * UPDATE_INTERVAL_S
            running -= rng.binomial(running, UPDATE_INTERVAL_S / STREAM_DURATION_S)
            for index, entry in enumerate(entries):
                entry.observe(int(running[index]), now)
                others = reported[:index] + reported[index + 1 :]
                if reports < len(others):
                    others = list(rng.choice(others, reports, replace=False))
                limit = entry.limit(EQUAL_LIMIT, others) if borrow else EQUAL_LIMIT
                arrivals = int(
                    rng.poisson(means[index] * UPDATE_INTERVAL_S / STREAM_DURATION_S)
                )
                admitted = max(0, min(arrivals, int(limit) - int(running[index])))
                running[index] += admitted
                arrived, refused = arrived + arrivals, refused + arrivals - admitted
            # Reports of the other entries are up to a second old.
            if tick % 10 == 0:
                reported = [entry.mean_running for entry in entries]
            totals.append(int(running.sum()))
        self.refused = refused / arrived
        self.peak = max(totals[int(SETTLING_S / UPDATE_INTERVAL_S) :])
        self.peak_from_start = max(totals)


def test_borrowing_avoids_refusals_while_entries_together_have_capacity():
    assert Simulation(8.0, borrow=False).refused > 0.08
    assert Simulation(8.0, borrow=True).refused < 0.02


@pytest.mark.parametrize("mean", [8.0, 10.6, 14.0, 30.0])
def test_entries_together_exceed_their_total_limit_only_slightly(mean):
    simulation = Simulation(mean, borrow=True)
    assert simulation.peak <= 1.1 * ENTRIES * EQUAL_LIMIT
    assert simulation.peak_from_start <= MAX_LIMIT_FACTOR * ENTRIES * EQUAL_LIMIT


def uneven(mean: float) -> np.ndarray:
    """Return the mean load of each entry if a third of them has no callers."""
    weights = np.arange(ENTRIES) % 3 / 1.0
    return mean * weights / weights.mean()


@pytest.mark.parametrize("reports", [ENTRIES - 1, 16])
def test_callers_of_few_entries_are_not_refused_while_others_are_idle(reports):
    simulation = Simulation(uneven(7.0), borrow=True, reports=reports)
    assert simulation.refused < 0.02


@pytest.mark.parametrize("mean", [8.0, 10.6, 14.0, 30.0])
def test_uneven_entries_together_exceed_their_total_limit_only_slightly(mean):
    simulation = Simulation(uneven(mean), borrow=True)
    assert simulation.peak <= 1.1 * ENTRIES * EQUAL_LIMIT


def test_no_capacity_is_borrowed_when_all_entries_are_full():
    entry = SpareCapacity()
    for tick in range(100):
        entry.observe(10, tick * 0.1)
    assert entry.limit(10.0, [10.0, 11.0]) == 10.0


def test_an_entry_gets_at_most_one_and_a_half_times_its_equal_limit():
    assert SpareCapacity().limit(10.0, [0.0, 0.0]) == MAX_LIMIT_FACTOR * 10.0


def test_the_mean_of_a_single_entry_is_its_own():
    entry = SpareCapacity()
    entry.observe(4, 100.0)
    assert entry.mean_per_entry([]) == pytest.approx(4.0)

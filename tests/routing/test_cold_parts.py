"""The division of a cold upstream's rate keeps to the bound by construction."""

import math
import random

import pytest

from toucanspool.routing.cold_parts import ColdBound, cold_share, divide_cold_rate

BOUND = ColdBound(1.5, 5.0)
NAMES = [f"edge-{n}" for n in range(40)]


@pytest.mark.parametrize(
    ("per_s", "entries"), [(2.0, 3), (3.0, 3), (10.0, 5), (50.0, 15)]
)
def test_half_of_the_entries_that_the_bound_admits_are_used(per_s, entries):
    assert divide_cold_rate(per_s, BOUND, 40).entries == entries


@pytest.mark.parametrize("per_s", [0.1, 0.5, 1.0, 2.0, 7.5, 50.0, 400.0])
@pytest.mark.parametrize("bound", [BOUND, ColdBound(1.0, 0.0), ColdBound(1.2, 0.5)])
@pytest.mark.parametrize("known", [1, 2, 40])
def test_the_standbys_fit_into_the_bound_as_well(per_s, bound, known):
    division = divide_cold_rate(per_s, bound, known)
    if not division.per_s:
        # Not even one request fits.
        assert bound.most(per_s) <= 1.0
        return
    each = 1.0 + division.per_s / division.entries
    users = division.entries + division.standbys
    assert users * each <= bound.most(per_s) + 1e-9


@pytest.mark.parametrize("per_s", [2.0, 10.0, 50.0])
@pytest.mark.parametrize("seed", range(20))
def test_the_bound_holds_whoever_takes_whom_for_dead(per_s, seed):
    rng = random.Random(seed)
    division = divide_cold_rate(per_s, BOUND, len(NAMES))
    ranked = rng.sample(NAMES, len(NAMES))
    dead = rng.choice([0.05, 0.3, 0.9])
    shares = []
    for own in NAMES:
        live = {name for name in NAMES if name == own or rng.random() > dead}
        coverage = len(live) / len(NAMES)
        shares.append(cold_share(ranked, own, live, coverage, division))
    most = sum(share > 0.0 for share in shares) + sum(shares) * division.per_s
    assert most <= BOUND.most(per_s)


@pytest.mark.parametrize("groups", [1, 2, 3, 40])
def test_groups_that_do_not_see_each_other_share_the_rate(groups):
    division = divide_cold_rate(50.0, BOUND, len(NAMES))
    shares = []
    for n, own in enumerate(NAMES):
        live = set(NAMES[n % groups :: groups])
        coverage = len(live) / len(NAMES)
        shares.append(cold_share(NAMES, own, live, coverage, division))
    assert sum(shares) <= 1.0 + 1e-9
    assert sum(share > 0.0 for share in shares) <= 2 * division.entries


def test_a_dead_entry_is_replaced():
    division = divide_cold_rate(2.0, BOUND, len(NAMES))
    live = set(NAMES[1:])
    coverage = len(live) / len(NAMES)
    shares = [cold_share(NAMES, own, live, coverage, division) for own in NAMES[1:]]
    assert [math.ceil(share) for share in shares[:4]] == [1, 1, 1, 0]

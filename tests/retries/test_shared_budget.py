"""The bound on repeats that all entries share."""

import random

from toucanspool.retries.shared_budget import SharedBudget


def budget(entries: int, *, extra: float = 88.0) -> SharedBudget:
    made = SharedBudget(ratio=0.2, window_s=10.0, extra=extra)
    made.entries = entries
    return made


def test_all_entries_together_stay_within_the_bound_in_any_window():
    rng = random.Random(1)
    entries = [budget(6) for _ in range(6)]
    firsts, repeats = [], []
    for tick in range(3000):
        now = tick * 0.01
        one = rng.choice(entries)
        one.request("s", now)
        firsts.append(now)
        for _ in range(3):
            if rng.choice(entries).take("s", now):
                repeats.append(now)
    for start in range(0, 20):
        in_window = sum(start <= at < start + 10 for at in repeats)
        requests = sum(start <= at < start + 10 for at in firsts)
        assert in_window <= 0.2 * requests + 88
    assert len(repeats) > 100


def test_the_fixed_number_is_not_used_while_entries_are_not_known():
    assert not budget(0).take("s", 0.0)


def test_services_have_budgets_of_their_own():
    one = budget(1, extra=2.0)
    assert one.take("s", 0.0)
    assert not one.take("s", 0.0)
    assert one.take("t", 0.0)


def test_repeats_come_back_as_the_window_passes():
    one = budget(1, extra=2.0)
    assert one.take("s", 0.0)
    assert not one.take("s", 9.9)
    assert one.take("s", 10.1)

"""Checks the limit on retries that all entries share."""

import random

from toucanspool.retries.shared_budget import SharedBudget


def budget(entries: int, *, extra: float = 88.0) -> SharedBudget:
    shared = SharedBudget(ratio=0.2, window_s=10.0, extra=extra)
    shared.entries = entries
    return shared


def test_entries_together_stay_within_the_limit_in_any_window():
    rng = random.Random(1)
    entries = [budget(6) for _ in range(6)]
    request_times, retry_times = [], []
    for tick in range(3000):
        now = tick * 0.01
        chosen = rng.choice(entries)
        chosen.record_request("s", now)
        request_times.append(now)
        for _ in range(3):
            if rng.choice(entries).try_withdraw("s", now):
                retry_times.append(now)
    for start in range(0, 20):
        retries = sum(start <= at < start + 10 for at in retry_times)
        requests = sum(start <= at < start + 10 for at in request_times)
        assert retries <= 0.2 * requests + 88
    assert len(retry_times) > 100


def test_the_fixed_number_is_not_used_while_the_entry_count_is_unknown():
    assert not budget(0).try_withdraw("s", 0.0)


def test_each_service_has_its_own_budget():
    shared = budget(1, extra=2.0)
    assert shared.try_withdraw("s", 0.0)
    assert not shared.try_withdraw("s", 0.0)
    assert shared.try_withdraw("t", 0.0)


def test_retries_are_allowed_again_as_the_window_slides():
    shared = budget(1, extra=2.0)
    assert shared.try_withdraw("s", 0.0)
    assert not shared.try_withdraw("s", 9.9)
    assert shared.try_withdraw("s", 10.1)

"""Checks the limit on retries that all entries share."""

import random

from toucanspool.retries.shared_budget import SharedBudget


def budget(
    entries: int, *, extra: float = 88.0, started_at: float = -10.0
) -> SharedBudget:
    shared = SharedBudget(ratio=0.2, window_s=10.0, extra=extra, started_at=started_at)
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


def use_up(shared: SharedBudget, now: float) -> int:
    """Withdraw retries while the budget allows any, and return their number."""
    retries = 0
    while shared.try_withdraw("s", now):
        retries += 1
    return retries


def test_entries_that_restart_stay_within_the_limit_with_the_processes_before():
    before = sum(use_up(budget(6), 0.0) for _ in range(6))
    after = sum(use_up(budget(6, started_at=1.0), 1.5) for _ in range(6))
    assert before > 0
    assert before + after <= 88


def test_a_restarted_entry_uses_its_part_again_after_a_window():
    shared = budget(1, extra=2.0, started_at=5.0)
    assert not shared.try_withdraw("s", 14.9)
    assert shared.try_withdraw("s", 15.0)


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

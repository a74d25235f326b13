"""Second attempts shorten slow calls, only where they may, and within the limit."""

import random

import pytest

from bench.hedging_load import (
    KIND,
    SERVICE,
    Fleet,
    Play,
    settings,
)
from toucanspool.retries.hedging import (
    BURST,
    SCARCITY_S,
    WINDOW_S,
    HedgeAllowance,
    HedgedCall,
    HedgeDecision,
    HedgePolicy,
)

RATIO = 0.05


def primed_policy(**more) -> HedgePolicy:
    """Return a policy that allows some second attempts."""
    policy = HedgePolicy(settings(RATIO, **more))
    for _ in range(200):
        policy.record_call(SERVICE, 0.0)
        policy.record_latency(KIND, 0.2, 0.0)
    return policy


def decide(policy, *, now=0.0, has_upstream=True, budget=True, **changes):
    fields = {
        "service": SERVICE,
        "repeatable": True,
        "runs": 1,
        "max_attempts": 2,
        "left_s": 1.0,
        **changes,
    }
    return policy.decide(
        HedgedCall(**fields), now, has_upstream=has_upstream, withdraw=lambda: budget
    )


@pytest.mark.parametrize(
    ("changes", "decision"),
    [
        ({}, HedgeDecision.ALLOWED),
        # The cases of the function that this decision replaced: what is not
        # idempotent, or has begun to answer, is not sent again.
        ({"answer_begun": True}, HedgeDecision.ANSWER_BEGUN),
        ({"repeatable": False}, HedgeDecision.NOT_REPEATABLE),
        ({"repeatable": False, "answer_begun": True}, HedgeDecision.NOT_REPEATABLE),
        ({"quarantined": True}, HedgeDecision.QUARANTINED),
        ({"runs": 2}, HedgeDecision.ATTEMPTS_USED),
        ({"max_attempts": 1}, HedgeDecision.ATTEMPTS_USED),
        ({"left_s": 0.04}, HedgeDecision.DEADLINE_TOO_CLOSE),
        ({"full": True}, HedgeDecision.CAPACITY_SCARCE),
        ({"has_upstream": False}, HedgeDecision.NO_UPSTREAM),
        ({"budget": False}, HedgeDecision.BUDGET_EMPTY),
        ({"service": "other"}, HedgeDecision.SHARE_USED),
    ],
)
def test_each_obstacle_to_a_second_attempt_is_found(changes, decision):
    assert decide(primed_policy(), **changes) is decision


@pytest.mark.parametrize(
    "changes",
    [{"full": True}, {"has_upstream": False}, {"runs": 2}, {"service": "other"}],
)
def test_the_retry_budget_is_not_touched_unless_a_second_attempt_is_sent(changes):
    assert decide(primed_policy(), budget=None, **changes) is not (
        HedgeDecision.BUDGET_EMPTY
    )


def test_a_denied_second_attempt_leaves_the_share_as_it_is():
    policy = primed_policy()
    for _ in range(50):
        assert decide(policy, budget=False) is HedgeDecision.BUDGET_EMPTY
    assert decide(policy) is HedgeDecision.ALLOWED


def test_none_is_sent_for_a_while_after_a_call_was_refused():
    policy = primed_policy()
    policy.record_scarcity(SERVICE, 1.0)
    late = 1.0 + SCARCITY_S
    assert decide(policy, now=late - 0.01) is HedgeDecision.CAPACITY_SCARCE
    assert decide(policy, now=late) is HedgeDecision.ALLOWED


def test_the_delay_is_the_percentile_but_no_less_than_the_least_delay():
    assert primed_policy().delay_s(KIND, 0.0) == pytest.approx(0.2, rel=0.02)
    assert primed_policy(min_delay_ms=700).delay_s(KIND, 0.0) == 0.7
    assert primed_policy().delay_s((SERVICE, "new", 1), 0.0) is None


def test_services_that_are_not_named_get_none():
    assert HedgePolicy(settings()).applies_to("any")
    assert HedgePolicy(settings(services=["a"])).applies_to("a")
    assert not HedgePolicy(settings(services=["a"])).applies_to("b")


@pytest.mark.parametrize("seed", range(5))
def test_the_share_holds_in_every_window_over_restarts_and_surges(seed):
    """Guards against saved-up second attempts being spent twice around a restart."""
    rng = random.Random(seed)
    now, allowance, calls, sent = 0.0, HedgeAllowance(RATIO), [], []
    rate = 6.0
    while now < 600.0:
        now += rng.expovariate(rate)
        if rng.random() < 0.002:
            rate = rng.choice([1.0, 6.0, 30.0])
        if rng.random() < 0.002:
            allowance = HedgeAllowance(RATIO)
        allowance.record_call(now)
        calls.append(now)
        if allowance.allows(now):
            allowance.withdraw(now)
            sent.append(now)
    assert len(sent) > 0.5 * RATIO * len(calls)
    assert len(sent) <= RATIO * len(calls)
    for at in sent:
        before = sum(at - WINDOW_S < t <= at for t in calls)
        count = sum(at - WINDOW_S < t <= at for t in sent)
        assert count <= RATIO * before + 1e-6


def test_a_new_process_has_no_allowance_before_calls_have_earned_it():
    allowance = HedgeAllowance(RATIO)
    earned_after = round((BURST + 1.0) / RATIO)
    for number in range(earned_after):
        assert not allowance.allows(number * 0.01)
        allowance.record_call(number * 0.01)
    allowance.record_call(1.0)
    assert allowance.allows(1.0)


def test_an_idle_process_saves_up_nothing_beyond_the_burst():
    allowance = HedgeAllowance(RATIO)
    for _ in range(1000):
        allowance.record_call(0.0)
    count = 0
    while allowance.allows(1.0):
        allowance.withdraw(1.0)
        count += 1
    assert count == BURST


def shortened(fleet: Fleet, percent: float) -> float:
    """Return how much of a percentile of the calls' times hedging leaves."""
    before, after = Play(fleet, None).run(), Play(fleet, settings(RATIO)).run()
    assert after.worst_share() <= RATIO
    return after.percentile_ms(percent) / before.percentile_ms(percent)


@pytest.mark.parametrize(
    ("fleet", "p99", "p999"),
    [
        (Fleet(), 0.7, 0.85),
        (Fleet(slow=1), 0.7, 0.7),
        (Fleet(failing=1), 0.7, 0.85),
    ],
)
def test_slow_calls_are_shortened_within_the_share(fleet, p99, p999):
    assert shortened(fleet, 99.0) < p99
    assert shortened(fleet, 99.9) < p999


@pytest.mark.parametrize("calls_per_s", [64.0, 80.0])
def test_hedging_slows_down_nothing_at_full_load(calls_per_s):
    fleet = Fleet(calls_per_s=calls_per_s)
    before, after = Play(fleet, None).run(), Play(fleet, settings(RATIO)).run()
    assert before.refused
    assert after.refused <= before.refused
    assert after.percentile_ms(50.0) <= 1.02 * before.percentile_ms(50.0)
    assert after.percentile_ms(99.0) <= 1.02 * before.percentile_ms(99.0)
    assert after.share < 0.2 * RATIO


def test_the_share_holds_over_all_entries_and_after_their_restart():
    fleet = Fleet(entries=16, calls_per_s=6.0, slow=1)
    result = Play(fleet, settings(RATIO)).run(restart_at=90.0)
    assert 0.2 * RATIO < result.worst_share() <= RATIO

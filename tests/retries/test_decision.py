"""Checks that a request that may have run is retried only if it is idempotent."""

import itertools

import pytest

from toucanspool.retries.budget import RetryBudget
from toucanspool.retries.deadline import Deadline
from toucanspool.retries.decision import RequestState, RetryDecision, may_retry
from toucanspool.wire.gen.messages.ttypes import Outcome

FLAGS = (True, False)
OUTCOMES = (Outcome.COMPLETED, Outcome.NOT_RUN, Outcome.UNKNOWN)


def request_state(**changes):
    fields = {"attempts": 1, "idempotent": False, "deadline": Deadline(10.0)}
    return RequestState(**{**fields, **changes})


@pytest.mark.parametrize(
    ("outcome", "idempotent", "relayed", "resumable"),
    list(itertools.product(OUTCOMES, FLAGS, [0, 5], FLAGS)),
)
def test_only_a_harmless_retry_is_allowed(outcome, idempotent, relayed, resumable):
    state = request_state(
        idempotent=idempotent, bytes_relayed=relayed, resumable=resumable
    )
    harmless = outcome == Outcome.NOT_RUN or (outcome == Outcome.UNKNOWN and idempotent)
    can_continue = relayed == 0 or resumable
    decision = may_retry(outcome, state, RetryBudget(0.0), 0.0)
    assert (decision is RetryDecision.ALLOWED) == (harmless and can_continue)


@pytest.mark.parametrize(
    ("changes", "now", "decision"),
    [
        ({"attempts": 3}, 0.0, RetryDecision.ATTEMPTS_EXHAUSTED),
        ({}, 9.99, RetryDecision.DEADLINE_TOO_CLOSE),
        ({}, 0.0, RetryDecision.ALLOWED),
    ],
)
def test_attempts_and_time_are_limited(changes, now, decision):
    state = request_state(**changes)
    assert may_retry(Outcome.NOT_RUN, state, RetryBudget(0.0), now) is decision


def test_an_empty_budget_denies_a_retry():
    budget = RetryBudget(0.0, reserve=0.0)
    assert (
        may_retry(Outcome.NOT_RUN, request_state(), budget, 0.0)
        is RetryDecision.BUDGET_EMPTY
    )


def test_a_denied_retry_withdraws_nothing_from_the_budget():
    budget = RetryBudget(0.0)
    may_retry(Outcome.UNKNOWN, request_state(), budget, 0.0)
    assert budget.retries == 0


def test_a_deadline_is_sent_to_other_processes_as_time_left():
    sent = Deadline.after(2.0, now=100.0)
    received = Deadline.from_ms(sent.left_ms(now=100.5), now=7.0)
    assert received == Deadline(8.5)
    assert not received.passed(8.4)
    assert received.passed(8.5)


def test_an_attempt_ends_no_later_than_the_request():
    assert Deadline(5.0).capped(2.0, now=1.0) == Deadline(3.0)
    assert Deadline(5.0).capped(9.0, now=1.0) == Deadline(5.0)
    assert Deadline(5.0).left_s(now=6.0) == 0.0

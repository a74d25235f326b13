"""Proves that what may have run is tried again only if that is harmless."""

import itertools

import pytest

from toucanspool.retries.budget import RetryBudget
from toucanspool.retries.deadline import Deadline
from toucanspool.retries.verdict import Attempt, Verdict, may_hedge, may_retry
from toucanspool.wire.gen.messages.ttypes import Outcome

FLAGS = (True, False)
OUTCOMES = (Outcome.COMPLETED, Outcome.NOT_RUN, Outcome.UNKNOWN)


def attempt(**changes):
    fields = {"number": 1, "idempotent": False, "deadline": Deadline(10.0)}
    return Attempt(**{**fields, **changes})


@pytest.mark.parametrize(
    ("outcome", "idempotent", "relayed", "resumable"),
    list(itertools.product(OUTCOMES, FLAGS, [0, 5], FLAGS)),
)
def test_only_a_harmless_attempt_is_repeated(outcome, idempotent, relayed, resumable):
    state = attempt(idempotent=idempotent, bytes_relayed=relayed, resumable=resumable)
    harmless = outcome == Outcome.NOT_RUN or (outcome == Outcome.UNKNOWN and idempotent)
    whole = relayed == 0 or resumable
    verdict = may_retry(outcome, state, RetryBudget(0.0), 0.0)
    assert (verdict is Verdict.YES) == (harmless and whole)


@pytest.mark.parametrize(
    ("changes", "now", "verdict"),
    [
        ({"number": 3}, 0.0, Verdict.ATTEMPTS),
        ({}, 9.99, Verdict.DEADLINE),
        ({}, 0.0, Verdict.YES),
    ],
)
def test_attempts_and_time_are_bounded(changes, now, verdict):
    state = attempt(**changes)
    assert may_retry(Outcome.NOT_RUN, state, RetryBudget(0.0), now) is verdict


def test_an_empty_budget_refuses():
    budget = RetryBudget(0.0, reserve=0.0)
    assert may_retry(Outcome.NOT_RUN, attempt(), budget, 0.0) is Verdict.BUDGET


def test_a_refusal_takes_nothing_from_the_budget():
    budget = RetryBudget(0.0)
    may_retry(Outcome.UNKNOWN, attempt(), budget, 0.0)
    assert budget.retries == 0


@pytest.mark.parametrize(
    ("idempotent", "started", "verdict"),
    [
        (True, False, Verdict.YES),
        (True, True, Verdict.ANSWER_BEGUN),
        (False, False, Verdict.MAY_HAVE_RUN),
        (False, True, Verdict.MAY_HAVE_RUN),
    ],
)
def test_only_what_is_idempotent_and_not_started_is_hedged(
    idempotent, started, verdict
):
    state = attempt(idempotent=idempotent)
    assert may_hedge(state, RetryBudget(0.0), 0.0, started=started) is verdict


def test_a_deadline_crosses_processes_as_time_left():
    sent = Deadline.after(2.0, now=100.0)
    received = Deadline.from_ms(sent.left_ms(now=100.5), now=7.0)
    assert received == Deadline(8.5)
    assert not received.passed(8.4)
    assert received.passed(8.5)


def test_an_attempt_ends_no_later_than_the_request():
    assert Deadline(5.0).capped(2.0, now=1.0) == Deadline(3.0)
    assert Deadline(5.0).capped(9.0, now=1.0) == Deadline(5.0)
    assert Deadline(5.0).left_s(now=6.0) == 0.0

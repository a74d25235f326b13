"""Plays floods of less urgent callers against the admission by urgency.

Time is simulated: callers arrive at random, and streams run for random times.
"""

import heapq
import random
from collections import defaultdict

import pytest

from toucanspool.limits.admission import Admission
from toucanspool.limits.priority_admission import ON_TIME_WAIT_S, PriorityAdmission
from toucanspool.limits.shed import Shed
from toucanspool.limits.ticket import TicketState

STREAM_S = 2.0
CAPACITY = 8.0
# Callers a second of one entry, by level; together as many as there is room for.
USUAL = {0: 1.3, 1: 1.7, 2: 0.6}


class Fair(Admission):
    """The admission for streams of a single priority, as the comparison."""

    def admit(self, team, share, level, cost, now):
        """Admit a request; higher priorities of the base class are kept longer."""
        return super().admit(team, share, -level, cost, now)


class Results:
    """Count what callers of each level get."""

    def __init__(self):
        self.asked, self.served, self.on_time = (defaultdict(int) for _ in range(3))

    def fraction(self, *levels, on_time=False):
        """Return the fraction of the callers of some levels who are served."""
        served = self.on_time if on_time else self.served
        return sum(served[n] for n in levels) / sum(self.asked[n] for n in levels)


def play(admission, rates, *, seconds=120.0, seed=1, teams=6):
    """Let callers arrive at the given rates by level, and return what they get."""
    rng, results, events = random.Random(seed), Results(), []
    for level, rate in rates.items():
        at = 0.0
        while (at := at + rng.expovariate(rate)) < seconds:
            events.append((at, len(events), level))
    heapq.heapify(events)
    waiting = {}
    while events:
        now, number, item = heapq.heappop(events)
        if isinstance(item, int):
            results.asked[item] += 1
            try:
                ticket = admission.admit(
                    f"t{rng.randrange(teams)}", 1.0, item, 1.0, now
                )
                waiting[number] = (now, item, ticket)
                heapq.heappush(events, (ticket.expires_at + 0.001, number, None))
            except Shed:
                pass
        elif item is None:
            admission.expire(now)
        else:
            admission.release(item, now)
        for key, (came, level, ticket) in list(waiting.items()):
            if ticket.state is TicketState.ADMITTED:
                results.served[level] += 1
                results.on_time[level] += now - came <= ON_TIME_WAIT_S
                ends = now + rng.uniform(0.5, 1.5) * STREAM_S
                heapq.heappush(events, (ends, key, ticket))
            if ticket.state is not TicketState.WAITING:
                del waiting[key]
    return results


def make(kind=PriorityAdmission, capacity=CAPACITY):
    return kind(capacity, random.Random(2))


@pytest.mark.parametrize("flood", [2.4, 5.0, 10.0])
def test_urgent_callers_lose_nothing_to_a_flood_of_less_urgent_ones(flood):
    calm = play(make(), {0: USUAL[0], 1: USUAL[1]})
    results = play(make(), {**USUAL, 2: flood})
    # The promise: 5 in 100 of the service, and 15 in 100 of what is earned in time.
    for level in (0, 1):
        assert results.fraction(level) >= results.fraction(level + 1) - 0.05
        on_time = results.fraction(level, on_time=True)
        assert on_time >= results.fraction(level + 1, on_time=True) - 0.15
    assert results.fraction(0, on_time=True) >= calm.fraction(0, on_time=True) - 0.05


def test_the_fair_admission_serves_urgent_callers_no_better_than_the_flood():
    calm = play(make(Fair), {0: USUAL[0], 1: USUAL[1]})
    results = play(make(Fair), {**USUAL, 2: 5.0})
    assert results.fraction(0, on_time=True) < calm.fraction(0, on_time=True) - 0.2


@pytest.mark.parametrize("urgent", [4.0, 8.0])
def test_no_level_is_served_less_than_a_quarter_as_often_as_all(urgent):
    results = play(make(), {0: urgent, 1: 2.0, 2: 1.0})
    for level in (1, 2):
        assert results.fraction(level) >= 0.25 * results.fraction(0, 1, 2)


def test_room_that_urgent_callers_do_not_want_is_lent():
    alone = play(make(), {2: 6.0}).served[2]
    assert alone >= 0.95 * play(make(Fair), {2: 6.0}).served[2]


def test_lent_room_is_given_back_as_running_streams_end():
    admission, now = make(), 0.0
    for n in range(8):
        admission.admit(f"t{n}", 1.0, 2, 1.0, now)
    flood = [admission.admit(f"u{n}", 1.0, 2, 1.0, now) for n in range(3)]
    urgent = admission.admit("clerk", 1.0, 0, 1.0, 0.1)
    assert urgent.state is TicketState.WAITING
    running = admission.running
    admission.release(admission.admit("x", 1.0, 0, 1.0, 0.1), 0.1)
    assert admission.running == running
    assert all(ticket.state is TicketState.WAITING for ticket in flood)


def test_the_least_urgent_are_shed_and_told_to_return_last():
    admission, delays = make(capacity=1.0), {}
    for level in (0, 2, 1, 2, 0, 1):
        try:
            admission.admit(f"t{level}", 1.0, level, 1.0, 0.0)
        except Shed as exc:
            delays.setdefault(level, exc.retry_after_s)
    assert 0 not in delays or delays[2] > delays[0]
    assert 2 in delays


def test_a_released_ticket_that_waited_frees_its_place():
    admission = make(capacity=1.0)
    first = admission.admit("a", 1.0, 0, 1.0, 0.0)
    second = admission.admit("b", 1.0, 0, 1.0, 0.0)
    admission.release(second, 0.1)
    assert admission.waiting == 0
    admission.release(first, 0.2)
    admission.release(first, 0.2)
    assert admission.running == 0


def test_a_request_that_waits_too_long_is_shed():
    admission = make(capacity=1.0)
    admission.admit("a", 1.0, 0, 1.0, 0.0)
    ticket = admission.admit("b", 1.0, 0, 1.0, 0.0)
    admission.expire(ticket.expires_at)
    assert ticket.state is TicketState.SHED
    assert ticket.shed.retry_after_s > 0.0

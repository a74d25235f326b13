"""Checks that admission respects its capacity, loses no ticket and sheds in order.

A state machine compares `Admission` with an oracle that applies the same rules by
sorting a list. Subclasses that disable one mechanism each show that the comparison
detects the fault.
"""

import math
import random

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from toucanspool.limits.admission import SERVICE_TIME_WEIGHT, Admission
from toucanspool.limits.shed import Shed, ShedCause
from toucanspool.limits.ticket import Ticket, TicketState, engine_priority

SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
TEAMS = {"a": (1.0, 0), "b": (1.0, 5), "c": (3.0, 0), "d": (0.5, 9)}
MAX_WAIT_S = 0.5


class Oracle:
    """Apply the rules with one list and no heaps."""

    def __init__(self, capacity):
        self.capacity, self.shared_capacity = capacity, capacity * 0.9
        self.rows, self.finish_tags, self.credit = [], {}, {}
        self.virtual_time, self.service_time_s = 0.0, 1.0

    def of(self, *states):
        """Return the rows in the given states."""
        return [row for row in self.rows if row["state"] in states]

    def used(self):
        """Return the total cost of the running requests."""
        return sum(row["cost"] for row in self.of("admitted"))

    def admit(self, name, team, cost, now):
        """Add a request and return its state."""
        self.expire(now)
        share, priority = TEAMS[team]
        cost = min(cost, self.shared_capacity)
        active = self.of("admitted", "waiting")
        shares = {row["team"]: TEAMS[row["team"]][0] for row in active} | {team: share}
        quota = self.shared_capacity * share / sum(shares.values())
        team_cost = sum(row["cost"] for row in active if row["team"] == team)
        tag = max(self.virtual_time, self.finish_tags.get(team, 0.0))
        self.finish_tags[team] = tag + cost / share
        row = {"name": name, "team": team, "cost": cost, "at": now, "tag": tag}
        credit, updated_at = self.credit.get(team, (math.inf, 0.0))
        earned = (now - updated_at) * quota / self.service_time_s
        credit = min(max(2.0, quota), credit + earned)
        self.credit[team] = (max(0.0, credit - cost), now)
        within_quota = team_cost < quota - 1e-9 or credit >= cost
        row |= {"within_quota": within_quota, "priority": priority}
        row["state"] = "waiting"
        self.rows.append(row)
        self.serve(now)
        if row["state"] == "waiting":
            self.shed_surplus(row)
        return row["state"]

    def shed_surplus(self, row):
        """Shed requests until the queue is short enough."""
        max_queue_cost = max(1.0, self.capacity / self.service_time_s * MAX_WAIT_S)
        waiting = self.of("waiting")
        order = sorted(waiting, key=self.shed_key)
        victims = []
        excess = sum(w["cost"] for w in waiting) - max_queue_cost
        for victim in order:
            if excess <= 1e-9 or victim is row:
                break
            victims.append(victim)
            excess -= victim["cost"]
        for victim in victims if excess <= 1e-9 else [row]:
            self.settle(victim, "shed")

    def shed_key(self, row):
        """Return the sort key of shedding."""
        order = self.rows.index(row)
        return (row["within_quota"], row["priority"], -row["tag"], -order)

    def settle(self, row, state):
        """End the wait of a request that is not served."""
        row["state"] = state
        self.finish_tags[row["team"]] -= row["cost"] / TEAMS[row["team"]][0]

    def serve(self, now):
        """Admit the waiting requests that fit."""
        while waiting := self.of("waiting"):
            row = min(waiting, key=lambda r: (not r["within_quota"], r["tag"]))
            limit = self.capacity if row["within_quota"] else self.shared_capacity
            if self.used() + row["cost"] > limit + 1e-9:
                return
            row["state"], row["admitted"] = "admitted", now
            self.virtual_time = max(self.virtual_time, row["tag"])

    def expire(self, now):
        """Shed the requests that waited for the longest time allowed."""
        expired = [r for r in self.of("waiting") if r["at"] + MAX_WAIT_S <= now]
        for row in expired:
            self.settle(row, "shed")
        if expired:
            self.serve(now)

    def release(self, name, now):
        """Release the capacity of a request."""
        row = next(r for r in self.rows if r["name"] == name)
        if row["state"] == "waiting":
            self.settle(row, "released")
        elif row["state"] == "admitted":
            row["state"] = "released"
            self.service_time_s += SERVICE_TIME_WEIGHT * (
                now - row["admitted"] - self.service_time_s
            )
        self.expire(now)
        self.serve(now)


def run(admission_class, **changes):
    """Compare a class with the oracle in many random histories."""
    machine = machine_for(admission_class)
    run_state_machine_as_test(machine, settings=settings(SETTINGS, **changes))


def machine_for(admission_class):
    """Return a state machine that compares a class with the oracle."""

    class Machine(RuleBasedStateMachine):
        @initialize(capacity=st.integers(1, 6))
        def start(self, capacity):
            self.now, self.told = 0.0, []
            self.tickets, self.refused = {}, set()
            self.oracle = Oracle(capacity)
            self.admission = admission_class(
                capacity,
                random.Random(1),
                max_wait_s=MAX_WAIT_S,
                on_settled=self.told.append,
            )

        @rule(team=st.sampled_from(sorted(TEAMS)), cost=st.sampled_from([1.0, 2.0]))
        def admit(self, team, cost):
            name = len(self.tickets) + len(self.refused)
            state = self.oracle.admit(name, team, cost, self.now)
            try:
                ticket = self.admission.admit(team, *TEAMS[team], cost, self.now)
                self.tickets[name] = ticket
                assert ticket.state.value == state
            except Shed as exc:
                self.refused.add(name)
                assert state == "shed"
                assert 1.0 <= exc.retry_after_s <= 60.0

        @precondition(lambda self: self.tickets)
        @rule(data=st.data())
        def release(self, data):
            name = data.draw(st.sampled_from(sorted(self.tickets)))
            self.admission.release(self.tickets[name], self.now)
            self.oracle.release(name, self.now)

        @rule(passed_s=st.sampled_from([0.05, 0.2, 0.6, 40.0]))
        def wait(self, passed_s):
            self.now += passed_s
            self.admission.expire(self.now)
            self.oracle.expire(self.now)

        @invariant()
        def agree(self):
            states = {r["name"]: r["state"] for r in self.oracle.rows}
            for name, ticket in self.tickets.items():
                assert ticket.state.value == states[name]
            assert self.admission.used == pytest.approx(self.oracle.used())
            assert self.admission.used <= self.oracle.capacity + 1e-6
            assert self.admission.waiting == len(self.oracle.of("waiting"))
            assert self.admission.running == len(self.oracle.of("admitted"))

        @invariant()
        def answered(self):
            shed = [t for t in self.tickets.values() if t.state is TicketState.SHED]
            assert all(t.shed is not None and t in self.told for t in shed)

    return Machine


class NoLimit(Admission):
    """Admit beyond the capacity."""

    def _fits(self, ticket):
        return True


class NoAdmitWaiting(Admission):
    """Admit no waiting requests when capacity is released."""

    def _admit_waiting(self, now):
        pass


class NoShares(Admission):
    """Treat every request as within quota."""

    def _make_ticket(self, *args):
        ticket = super()._make_ticket(*args)
        ticket.within_quota = True
        return ticket


class NoCredit(Admission):
    """Grant no bursts."""

    def _credit(self, usage, quota, cost, now):
        return 0.0


class NoPriority(Admission):
    """Ignore priorities."""

    def _make_ticket(self, team, share, priority, cost, now):
        return super()._make_ticket(team, share, 0, cost, now)


class NoCallback(Admission):
    """Skip the callback for shed requests."""

    def _shed(self, ticket, cause, now):
        callback, self._on_settled = self._on_settled, None
        super()._shed(ticket, cause, now)
        self._on_settled = callback


def test_admission_agrees_with_the_oracle():
    run(Admission)


@pytest.mark.parametrize(
    "faulty_class",
    [NoLimit, NoAdmitWaiting, NoShares, NoCredit, NoPriority, NoCallback],
)
def test_the_oracle_detects_a_disabled_mechanism(faulty_class):
    with pytest.raises(AssertionError):
        run(faulty_class, phases=[Phase.generate])


def full_admission(capacity=4.0, **options):
    options = {"max_wait_s": 1.0, "reserved_fraction": 0.0} | options
    admission = Admission(capacity, random.Random(1), **options)
    running = [admission.admit("a", 1.0, 5, 1.0, 0.0) for _ in range(int(capacity))]
    return admission, running


def test_lowest_priority_is_shed_first_and_at_once():
    settled = []
    admission, _ = full_admission(on_settled=settled.append)
    low = [admission.admit(f"low-{n}", 1.0, 1, 1.0, 0.0) for n in range(2)]
    high = [admission.admit(f"high-{n}", 1.0, 7, 1.0, 0.0) for n in range(2)]
    late = admission.admit("d", 1.0, 5, 1.0, 0.0)
    assert settled == [low[1]]
    assert settled[0].shed.cause is ShedCause.FULL
    assert [t.state for t in (low[0], *high, late)] == [TicketState.WAITING] * 4


def test_a_team_over_its_quota_is_shed_before_a_low_priority_within():
    admission, _ = full_admission()
    greedy = [admission.admit("a", 1.0, 9, 1.0, 0.0) for _ in range(4)]
    modest = admission.admit("b", 1.0, 0, 1.0, 0.0)
    assert modest.state is TicketState.WAITING
    assert greedy[-1].state is TicketState.SHED


def test_retries_of_shed_callers_are_spread():
    admission, _ = full_admission()
    for _ in range(4):
        admission.admit("a", 1.0, 0, 1.0, 0.0)
    times = []
    for _ in range(200):
        with pytest.raises(Shed) as caught:
            admission.admit("a", 1.0, 0, 1.0, 0.0)
        times.append(caught.value.retry_after_s)
    in_one_second = max(sum(s <= t < s + 1 for t in times) for s in range(1, 60))
    assert in_one_second <= 30


def test_state_is_kept_for_recently_active_teams_only():
    admission = Admission(10.0, random.Random(1))
    for n in range(4500):
        ticket = admission.admit(f"team-{n}", 1.0, 0, 1.0, n * 0.1)
        admission.release(ticket, n * 0.1)
    assert admission.team_count <= 302


def test_a_reduced_capacity_applies_as_running_requests_end():
    admission, running = full_admission()
    admission.resize(2.0, 0.0)
    waiting = admission.admit("b", 1.0, 0, 1.0, 0.0)
    admission.release(running[0], 0.1)
    admission.release(running[1], 0.1)
    assert waiting.state is TicketState.WAITING
    admission.release(running[2], 0.1)
    assert waiting.state is TicketState.ADMITTED


def test_a_ticket_released_twice_counts_once():
    admission, running = full_admission()
    admission.release(running[0], 0.1)
    admission.release(running[0], 0.2)
    assert admission.running == 3


def test_state_of_waiting_requests_stays_bounded():
    admission, _ = full_admission()
    tickets: list[Ticket] = []
    for n in range(2000):
        ticket = admission.admit("b", 1.0, n % 3, 1.0, 0.0)
        tickets.append(ticket)
        admission.release(ticket, 0.0)
    queue = admission._queue
    containers = [*queue._service_heaps.values(), queue._shed_heap, queue._arrivals]
    assert max(len(container) for container in containers) <= 32


def test_engines_serve_requests_over_quota_last():
    admission, running = full_admission()
    greedy = admission.admit("a", 1.0, 9, 1.0, 0.0)
    modest = admission.admit("b", 1.0, 0, 1.0, 0.0)
    order = sorted([greedy, modest, running[0]], key=engine_priority)
    assert order == [running[0], modest, greedy]

"""Proves that admission keeps its capacity, loses no ticket and sheds by claim.

A state machine holds `Admission` against a plain list that follows the same rules
by sorting; mechanisms switched off one by one show that it notices.
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

from toucanspool.limits.admission import HOLD_WEIGHT, Admission
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
    """Follow the rules with one list and no heaps."""

    def __init__(self, capacity):
        self.capacity, self.common = capacity, capacity * 0.9
        self.rows, self.finish, self.credit = [], {}, {}
        self.virtual, self.hold_s = 0.0, 1.0

    def of(self, *states):
        """List the rows in some states."""
        return [row for row in self.rows if row["state"] in states]

    def used(self):
        """Return the cost of what runs."""
        return sum(row["cost"] for row in self.of("admitted"))

    def admit(self, name, team, cost, now):
        """Add a request and return its state."""
        self.expire(now)
        share, priority = TEAMS[team]
        cost = min(cost, self.common)
        active = self.of("admitted", "waiting")
        shares = {row["team"]: TEAMS[row["team"]][0] for row in active} | {team: share}
        quota = self.common * share / sum(shares.values())
        mine = sum(row["cost"] for row in active if row["team"] == team)
        tag = max(self.virtual, self.finish.get(team, 0.0))
        self.finish[team] = tag + cost / share
        row = {"name": name, "team": team, "cost": cost, "at": now, "tag": tag}
        level, since = self.credit.get(team, (math.inf, 0.0))
        earned = (now - since) * quota / self.hold_s
        level = min(max(2.0, quota), level + earned)
        self.credit[team] = (max(0.0, level - cost), now)
        within_quota = mine < quota - 1e-9 or level >= cost
        row |= {"within_quota": within_quota, "priority": priority}
        row["state"] = "waiting"
        self.rows.append(row)
        self.serve(now)
        if row["state"] == "waiting":
            self.shed_surplus(row)
        return row["state"]

    def shed_surplus(self, row):
        """Shed down to the longest queue."""
        most = max(1.0, self.capacity / self.hold_s * MAX_WAIT_S)
        waiting = self.of("waiting")
        order = sorted(waiting, key=self.claim)
        victims = []
        over = sum(w["cost"] for w in waiting) - most
        for victim in order:
            if over <= 1e-9 or victim is row:
                break
            victims.append(victim)
            over -= victim["cost"]
        for victim in victims if over <= 1e-9 else [row]:
            self.settle(victim, "shed")

    def claim(self, row):
        """Return the key of shedding."""
        order = self.rows.index(row)
        return (row["within_quota"], row["priority"], -row["tag"], -order)

    def settle(self, row, state):
        """End a wait without service."""
        row["state"] = state
        self.finish[row["team"]] -= row["cost"] / TEAMS[row["team"]][0]

    def serve(self, now):
        """Admit what fits."""
        while waiting := self.of("waiting"):
            row = min(waiting, key=lambda r: (not r["within_quota"], r["tag"]))
            limit = self.capacity if row["within_quota"] else self.common
            if self.used() + row["cost"] > limit + 1e-9:
                return
            row["state"], row["admitted"] = "admitted", now
            self.virtual = max(self.virtual, row["tag"])

    def expire(self, now):
        """Shed what waited too long."""
        late = [r for r in self.of("waiting") if r["at"] + MAX_WAIT_S <= now]
        for row in late:
            self.settle(row, "shed")
        if late:
            self.serve(now)

    def release(self, name, now):
        """Give a place back."""
        row = next(r for r in self.rows if r["name"] == name)
        if row["state"] == "waiting":
            self.settle(row, "released")
        elif row["state"] == "admitted":
            row["state"] = "released"
            self.hold_s += HOLD_WEIGHT * (now - row["admitted"] - self.hold_s)
        self.expire(now)
        self.serve(now)


def run(admission_class, **changes):
    """Hold a class against the oracle in many random histories."""
    machine = machine_for(admission_class)
    run_state_machine_as_test(machine, settings=settings(SETTINGS, **changes))


def machine_for(admission_class):
    """Return a state machine that holds a class against the oracle."""

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


class NoReturn(Admission):
    """Forget to serve those that wait when a place is given back."""

    def _serve(self, now):
        pass


class NoShares(Admission):
    """Treat every request as within quota."""

    def _ticket(self, *args):
        ticket = super()._ticket(*args)
        ticket.within_quota = True
        return ticket


class NoCredit(Admission):
    """Grant no bursts."""

    def _credit(self, use, quota, cost, now):
        return 0.0


class NoPriority(Admission):
    """Take all requests for equally urgent."""

    def _ticket(self, team, share, priority, cost, now):
        return super()._ticket(team, share, 0, cost, now)


class Silent(Admission):
    """Hold back the final answer of a shed request."""

    def _shed(self, ticket, cause, now):
        told, self._on_settled = self._on_settled, None
        super()._shed(ticket, cause, now)
        self._on_settled = told


def test_admission_agrees_with_the_oracle():
    run(Admission)


@pytest.mark.parametrize(
    "broken", [NoLimit, NoReturn, NoShares, NoCredit, NoPriority, Silent]
)
def test_oracle_notices_what_is_switched_off(broken):
    with pytest.raises(AssertionError):
        run(broken, phases=[Phase.generate])


def full(capacity=4.0, **options):
    options = {"max_wait_s": 1.0, "headroom": 0.0} | options
    admission = Admission(capacity, random.Random(1), **options)
    running = [admission.admit("a", 1.0, 5, 1.0, 0.0) for _ in range(int(capacity))]
    return admission, running


def test_lowest_priority_is_shed_first_and_at_once():
    told = []
    admission, _ = full(on_settled=told.append)
    low = [admission.admit(f"low-{n}", 1.0, 1, 1.0, 0.0) for n in range(2)]
    high = [admission.admit(f"high-{n}", 1.0, 7, 1.0, 0.0) for n in range(2)]
    late = admission.admit("d", 1.0, 5, 1.0, 0.0)
    assert told == [low[1]]
    assert told[0].shed.cause is ShedCause.FULL
    assert [t.state for t in (low[0], *high, late)] == [TicketState.WAITING] * 4


def test_a_team_over_its_quota_is_shed_before_a_low_priority_within():
    admission, _ = full()
    greedy = [admission.admit("a", 1.0, 9, 1.0, 0.0) for _ in range(4)]
    modest = admission.admit("b", 1.0, 0, 1.0, 0.0)
    assert modest.state is TicketState.WAITING
    assert greedy[-1].state is TicketState.SHED


def test_callers_that_were_shed_return_spread():
    admission, _ = full()
    for _ in range(4):
        admission.admit("a", 1.0, 0, 1.0, 0.0)
    times = []
    for _ in range(200):
        with pytest.raises(Shed) as caught:
            admission.admit("a", 1.0, 0, 1.0, 0.0)
        times.append(caught.value.retry_after_s)
    in_one_second = max(sum(s <= t < s + 1 for t in times) for s in range(1, 60))
    assert in_one_second <= 30


def test_only_teams_seen_of_late_hold_state():
    admission = Admission(10.0, random.Random(1))
    for n in range(4500):
        ticket = admission.admit(f"team-{n}", 1.0, 0, 1.0, n * 0.1)
        admission.release(ticket, n * 0.1)
    assert admission.teams <= 302


def test_a_smaller_capacity_holds_as_places_come_back():
    admission, running = full()
    admission.resize(2.0, 0.0)
    waiting = admission.admit("b", 1.0, 0, 1.0, 0.0)
    admission.release(running[0], 0.1)
    admission.release(running[1], 0.1)
    assert waiting.state is TicketState.WAITING
    admission.release(running[2], 0.1)
    assert waiting.state is TicketState.ADMITTED


def test_a_ticket_given_back_twice_counts_once():
    admission, running = full()
    admission.release(running[0], 0.1)
    admission.release(running[0], 0.2)
    assert admission.running == 3


def test_state_of_waiting_requests_stays_bounded():
    admission, _ = full()
    tickets: list[Ticket] = []
    for n in range(2000):
        ticket = admission.admit("b", 1.0, n % 3, 1.0, 0.0)
        tickets.append(ticket)
        admission.release(ticket, 0.0)
    queue = admission._queue
    held = [*queue._serve.values(), queue._victims, queue._arrivals]
    assert max(len(part) for part in held) <= 32


def test_engines_serve_requests_over_quota_last():
    admission, running = full()
    greedy = admission.admit("a", 1.0, 9, 1.0, 0.0)
    modest = admission.admit("b", 1.0, 0, 1.0, 0.0)
    order = sorted([greedy, modest, running[0]], key=engine_priority)
    assert order == [running[0], modest, greedy]

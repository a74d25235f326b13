"""Prove by fuzzing that a paused holder can't act after its successor.

Processes with clocks of unequal speed step a lease, pause between the check and the
order, and meet a failing table. The oracle reads what the resource admitted and
which processes believe to hold the lease. Each mechanism is switched off in turn.
"""

import contextlib
import itertools

import gevent
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from standins.virtual import GatedTable, Gates, settle
from toucanspool.backing.table import TableError
from toucanspool.recovery.fence import Fence, FenceNotReady, StaleToken
from toucanspool.recovery.lease import Lease, LeaseLost
from toucanspool.recovery.lease_row import decode_lease

SPEEDS = (0.91, 1.0, 1.09)
TTL_S = 9.0
GATES = ("commit.before", "commit.after", "get.before", "get.after", "order")
SECONDS = st.sampled_from([0.5, 1.5, 3.0, 7.5, 8.5, 30.0])
PROCESSES = st.integers(0, len(SPEEDS) - 1)
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
FIND_ONLY = settings(SETTINGS, phases=[Phase.generate], max_examples=3000)


class NoCompareAndSet(GatedTable):
    """Commit without checks."""

    def arrive(self, checks, writes):
        """Take a commit that came through, or lose it."""
        return super().arrive((), writes)


class StillTable:
    """Read a table without gates and faults."""

    def __init__(self, table):
        self.table = table

    def get(self, keys):
        """Return the rows present among `keys`."""
        return {k: self.table._rows[k] for k in keys if k in self.table._rows}


class NoWait(Lease):
    """Take the lease without a wait."""

    def _may_write(self):
        return True


class SentTimeIgnored(Lease):
    """Count the holding from the answer of the write, not from its sending."""

    def _hold(self, token, sent_s):
        super()._hold(token, self._now())


class SameToken(Lease):
    """Take the lease without a new token."""

    def _hold(self, token, sent_s):
        super()._hold(1, sent_s)


class NoDrift(Lease):
    """Believe that all clocks run alike."""

    def _hold(self, token, sent_s):
        super()._hold(token, sent_s)
        self._until_s = sent_s + self.ttl_s


class NoFence(Fence):
    """Admit every token."""

    def admit(self, token):
        """Let an order pass."""


class ForgetfulFence(Fence):
    """Start from nothing after a restart."""

    def restore(self):
        """Admit anything first."""
        self._highest = 0
        return 0


class LeaseWorld(RuleBasedStateMachine):
    """Do anything to holders and the table; `holds` and `order` judge."""

    lease_cls = Lease
    fence_cls = Fence
    table_cls = GatedTable

    def __init__(self):
        super().__init__()
        self.time = 0.0
        self.ids = itertools.count()
        self.gates = Gates()
        self.table = self.table_cls(self.gates)
        self.admitted = []
        self.jobs = {}
        self.leases = [self.lease(index) for index in range(len(SPEEDS))]
        self.restore_now()

    def lease(self, index):
        """Return the lease object of a process."""
        return self.lease_cls(
            self.table,
            "duty",
            f"p{index}",
            ttl_s=TTL_S,
            now=lambda: self.time * SPEEDS[index] + index * 1000,
            new_id=lambda: str(next(self.ids)),
        )

    def start(self, index):
        """Let a process step its lease and order, unless it is stopped."""
        job = self.jobs.get(index)
        if job is None or job.dead:
            self.jobs[index] = gevent.spawn(self.work, index)
            settle()

    def work(self, index):
        """Renew or take the lease, then order."""
        self.leases[index].step()
        self.order_now(index)

    def order_now(self, index):
        """Check the lease, perhaps pause, and order."""
        lease = self.leases[index]
        try:
            token = lease.guard()
            self.gates.cross("order")
            self.fence.admit(token)
        except (LeaseLost, StaleToken, FenceNotReady):
            return
        self.admitted.append((token, lease._holder))

    def release_now(self, lease):
        """Give the lease up, as far as the table lets it."""
        with contextlib.suppress(TableError):
            lease.release()

    def restore_now(self):
        """Let the agent beside the resource start again."""
        self.fence = self.fence_cls(StillTable(self.table), "duty")
        self.fence.restore()

    @rule(
        index=PROCESSES,
        gate=st.sampled_from(GATES),
        waits=st.lists(SECONDS, max_size=4),
        restart=st.booleans(),
    )
    def pause(self, index, gate, waits, restart):
        """Stop a process at a step, while the others work on."""
        self.gates.traps.add(gate)
        self.start(index)
        self.gates.traps.clear()
        for seconds in waits:
            self.tick(seconds, set(range(len(SPEEDS))) - {index})
        if restart:
            self.restore_now()

    @precondition(lambda self: self.gates.held)
    @rule(data=st.data())
    def go_on(self, data):
        """Let one of those who stopped go on."""
        self.gates.let(data.draw(st.integers(0, len(self.gates.held) - 1)))

    @rule(seconds=SECONDS, awake=st.sets(PROCESSES, min_size=1))
    def tick(self, seconds, awake):
        """Let time pass, and some processes do their work."""
        self.time += seconds
        for index in sorted(awake):
            self.start(index)

    @rule(seconds=SECONDS, awake=st.sets(PROCESSES))
    def outage(self, seconds, awake):
        """Take the table away for a while."""
        self.table.faults.set(down=True)
        self.tick(seconds, awake)
        self.table.faults.set(down=False)

    @rule(fault=st.sampled_from(["answer", "request", "repeat"]))
    def lose(self, fault):
        """Lose the next commit's answer, or the commit itself, or repeat it."""
        if fault == "answer":
            self.table.faults.set(lose_answers=1)
        elif fault == "request":
            self.table.lose_requests = 1
        else:
            self.table.repeat_requests = 1

    @rule(index=st.integers(-1, len(SPEEDS) - 1))
    def restart(self, index):
        """Restart the agent, or stop a holder gracefully and start it anew."""
        if index < 0:
            self.restore_now()
            return
        gevent.spawn(self.release_now, self.leases[index])
        settle()
        self.leases[index] = self.lease(index)

    @invariant()
    def holds(self):
        """Ask the oracle."""
        believers = [x for x in self.leases if x.held(x._now())]
        assert len(believers) <= 1, "two holders at once"
        tokens = [token for token, _ in self.admitted]
        assert tokens == sorted(tokens), f"an older holder came after: {tokens}"
        assert len(set(self.admitted)) == len(set(tokens)), "two holders of one token"

    def teardown(self):
        """Heal everything, and see that someone can hold the lease."""
        self.table.faults.clear()
        self.table.lose_requests = self.table.repeat_requests = 0
        self.gates.open()
        for _ in range(2):
            self.work(0)
            self.time += 2 * TTL_S
        self.work(0)
        assert self.leases[0].held(self.leases[0]._now()), "nobody holds it"
        assert decode_lease(self.table._rows["lease/duty"]).token >= 1


TWICE = "two holders at once"
SHARED = "two holders of one token"
LATE = "an older holder"
# What is switched off, how, and what the oracle then says.
SWITCHED_OFF = {
    "compare-and-set": ({"table_cls": NoCompareAndSet}, f"{TWICE}|{SHARED}|{LATE}"),
    "wait for the TTL": ({"lease_cls": NoWait}, TWICE),
    "time of sending": ({"lease_cls": SentTimeIgnored}, TWICE),
    "growing token": ({"lease_cls": SameToken}, SHARED),
    "allowance for drift": ({"lease_cls": NoDrift}, TWICE),
    "fencing at the resource": ({"fence_cls": NoFence}, LATE),
    "token read back after a restart": ({"fence_cls": ForgetfulFence}, LATE),
}


def test_paused_holders_never_act_after_their_successor():
    run_machine(LeaseWorld, settings=SETTINGS)


@pytest.mark.parametrize("mechanism", SWITCHED_OFF)
def test_oracle_sees_a_mechanism_switched_off(mechanism):
    switches, verdict = SWITCHED_OFF[mechanism]
    machine = type("SwitchedOff", (LeaseWorld,), switches)
    with pytest.raises(AssertionError, match=verdict):
        run_machine(machine, settings=FIND_ONLY)

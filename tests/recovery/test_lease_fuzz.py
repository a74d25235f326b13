"""Fuzz test: a paused holder can't act after its successor.

Processes with clocks of different rates step a lease, pause between checking the
lease and sending an order, and use a table that fails. The oracle checks which orders
the resource admitted and which processes believe that they hold the lease. A second
test disables each safety mechanism in turn and expects the oracle to notice.
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
        """Apply a commit without its checks, subject to the injected faults."""
        return super().arrive((), writes)


class StillTable:
    """Read a table directly, without gates and faults."""

    def __init__(self, table):
        self.table = table

    def get(self, keys):
        """Return the rows present among `keys`."""
        return {k: self.table._rows[k] for k in keys if k in self.table._rows}


class NoTtlWait(Lease):
    """Take the lease without waiting for its TTL."""

    def _may_write(self):
        return True


class SentTimeIgnored(Lease):
    """Count the TTL from the answer to a write, not from when it was sent."""

    def _mark_held(self, token, sent_s):
        super()._mark_held(token, self._now())


class SameToken(Lease):
    """Take the lease without raising the token."""

    def _mark_held(self, token, sent_s):
        super()._mark_held(1, sent_s)


class NoDriftMargin(Lease):
    """Assume that all clocks run at the same rate."""

    def _mark_held(self, token, sent_s):
        super()._mark_held(token, sent_s)
        self._held_until_s = sent_s + self.ttl_s


class NoFence(Fence):
    """Admit every token."""

    def admit(self, token):
        """Admit an order without comparing tokens."""


class ForgetfulFence(Fence):
    """Forget the highest token on a restart."""

    def restore(self):
        """Start from token 0, without reading the lease row."""
        self._highest = 0
        return 0


class LeaseWorld(RuleBasedStateMachine):
    """Run holders on a failing table; the invariant `holds` is the oracle."""

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
        """Return a new lease object for a process."""
        return self.lease_cls(
            self.table,
            "duty",
            f"p{index}",
            ttl_s=TTL_S,
            now=lambda: self.time * SPEEDS[index] + index * 1000,
            new_id=lambda: str(next(self.ids)),
        )

    def start(self, index):
        """Run `work` of a process, unless its last run is still paused."""
        job = self.jobs.get(index)
        if job is None or job.dead:
            self.jobs[index] = gevent.spawn(self.work, index)
            settle()

    def work(self, index):
        """Renew or take the lease, then send an order."""
        self.leases[index].step()
        self.order_now(index)

    def order_now(self, index):
        """Check the lease, pass the gate, and send an order to the resource."""
        lease = self.leases[index]
        try:
            token = lease.guard()
            self.gates.cross("order")
            self.fence.admit(token)
        except (LeaseLost, StaleToken, FenceNotReady):
            return
        self.admitted.append((token, lease._holder))

    def release_now(self, lease):
        """Release the lease, and ignore table errors."""
        with contextlib.suppress(TableError):
            lease.release()

    def restore_now(self):
        """Restart the agent that guards the resource."""
        self.fence = self.fence_cls(StillTable(self.table), "duty")
        self.fence.restore()

    @rule(
        index=PROCESSES,
        gate=st.sampled_from(GATES),
        waits=st.lists(SECONDS, max_size=4),
        restart=st.booleans(),
    )
    def pause(self, index, gate, waits, restart):
        """Pause a process at a gate while the other processes run."""
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
        """Resume one of the paused processes."""
        self.gates.let(data.draw(st.integers(0, len(self.gates.held) - 1)))

    @rule(seconds=SECONDS, awake=st.sets(PROCESSES, min_size=1))
    def tick(self, seconds, awake):
        """Advance the time, then run some of the processes."""
        self.time += seconds
        for index in sorted(awake):
            self.start(index)

    @rule(seconds=SECONDS, awake=st.sets(PROCESSES))
    def outage(self, seconds, awake):
        """Make the table unavailable for a while."""
        self.table.faults.set(down=True)
        self.tick(seconds, awake)
        self.table.faults.set(down=False)

    @rule(fault=st.sampled_from(["answer", "request", "repeat"]))
    def lose(self, fault):
        """Lose the next commit or its answer, or apply the commit twice."""
        if fault == "answer":
            self.table.faults.set(lose_answers=1)
        elif fault == "request":
            self.table.lose_requests = 1
        else:
            self.table.repeat_requests = 1

    @rule(index=st.integers(-1, len(SPEEDS) - 1))
    def restart(self, index):
        """Restart the agent, or stop a process gracefully and start it again."""
        if index < 0:
            self.restore_now()
            return
        gevent.spawn(self.release_now, self.leases[index])
        settle()
        self.leases[index] = self.lease(index)

    @invariant()
    def holds(self):
        """Check that no two processes hold the lease or act out of order."""
        believers = [x for x in self.leases if x.held(x._now())]
        assert len(believers) <= 1, "two holders at once"
        tokens = [token for token, _ in self.admitted]
        assert tokens == sorted(tokens), f"an older holder came after: {tokens}"
        assert len(set(self.admitted)) == len(set(tokens)), "two holders of one token"

    def teardown(self):
        """End all faults, and check that a process can hold the lease again."""
        self.table.faults.clear()
        self.table.lose_requests = self.table.repeat_requests = 0
        self.gates.open()
        for _ in range(2):
            self.work(0)
            self.time += 2 * TTL_S
        self.work(0)
        assert self.leases[0].held(self.leases[0]._now()), "nobody holds it"
        assert decode_lease(self.table._rows["lease/duty"]).token >= 1


TWO_HOLDERS = "two holders at once"
SHARED_TOKEN = "two holders of one token"
STALE_ORDER = "an older holder"
# Mechanism disabled: class overrides that disable it, and the failure expected.
SWITCHED_OFF = {
    "compare-and-set": (
        {"table_cls": NoCompareAndSet},
        f"{TWO_HOLDERS}|{SHARED_TOKEN}|{STALE_ORDER}",
    ),
    "wait for the TTL": ({"lease_cls": NoTtlWait}, TWO_HOLDERS),
    "time of sending": ({"lease_cls": SentTimeIgnored}, TWO_HOLDERS),
    "growing token": ({"lease_cls": SameToken}, SHARED_TOKEN),
    "allowance for drift": ({"lease_cls": NoDriftMargin}, TWO_HOLDERS),
    "fencing at the resource": ({"fence_cls": NoFence}, STALE_ORDER),
    "token read back after a restart": ({"fence_cls": ForgetfulFence}, STALE_ORDER),
}


def test_paused_holders_never_act_after_their_successor():
    run_machine(LeaseWorld, settings=SETTINGS)


@pytest.mark.parametrize("mechanism", SWITCHED_OFF)
def test_oracle_sees_a_mechanism_switched_off(mechanism):
    overrides, message = SWITCHED_OFF[mechanism]
    machine = type("SwitchedOff", (LeaseWorld,), overrides)
    with pytest.raises(AssertionError, match=message):
        run_machine(machine, settings=FIND_ONLY)

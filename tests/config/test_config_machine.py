"""State machine of operators and processes that share a configuration, under faults.

No process may go back to an older revision or hold a configuration that was never
accepted. No change may be lost or made twice. All processes must converge once they
can reach the table or each other.
"""

import json
from itertools import permutations

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from standins.memory import MemoryObjects
from tests.config.scripted import Oracle, ScriptedTable, Violation, must
from toucanspool.backing.table import TableError, TableUnavailable
from toucanspool.config.failures import (
    ApplyBusy,
    ApplyError,
    ApplyUnavailable,
    ApplyUncertain,
)
from toucanspool.config.follower import Follower, NoConfiguration
from toucanspool.config.proposal import Proposal
from toucanspool.config.records import Removal, Upstream
from toucanspool.config.snapshot import SnapshotReader
from toucanspool.config.snapshot_keeper import SnapshotKeeper
from toucanspool.config.store import ConfigStore
from toucanspool.config.transaction import Transaction

KEPT = 6
OPERATORS = ("ana", "ben", "cyd")
FOLLOWERS = 4
ONE = st.integers(0, FOLLOWERS - 1)
NAMES = st.sampled_from(["u1", "u2", "u3"])
STEP_FAULTS = st.sampled_from(["down", "lost", "dropped", "late", "crash", "race"])
VALUES = st.sampled_from(["", "a", "b", "c"])
SCRIPTS = st.dictionaries(st.integers(1, 6), STEP_FAULTS, max_size=3)
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=1200,
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
    report_multiple_bugs=False,
)
WITHOUT_SHRINKING = settings(SETTINGS, phases=[Phase.generate])


class Crash(Exception):
    """Simulate a crash of the process that makes a change."""


def crash(table):
    raise Crash


class ConfigMachine(RuleBasedStateMachine):
    """Run random steps of operators, followers and the table."""

    follower = Follower

    def __init__(self):
        super().__init__()
        self.table = ScriptedTable(Oracle())
        self.objects = MemoryObjects()
        self.oracle = self.table.oracle
        self.seen = dict.fromkeys(OPERATORS, 0)
        self.last = {}
        self.ids = 0
        self.followers = [self.fresh() for _ in range(FOLLOWERS)]
        self.reached = [0] * FOLLOWERS

    def fresh(self):
        """Return the follower of a new process."""
        return self.follower(SnapshotReader(self.table, self.objects), recent=3)

    def propose(self, operator, name, value):
        """Return a new proposal; an empty value removes the record."""
        self.ids += 1
        content = (
            {"puts": (Upstream(name, {"pool": value}),)}
            if value
            else {"removals": (Removal("upstream", name),)}
        )
        return Proposal(f"c{self.ids}", operator, self.seen[operator], **content)

    def tell(self, proposal, view=None):
        """Apply a proposal and record the result that its operator got."""
        self.oracle.bases[proposal.change_id] = proposal.base
        told = self.outcome(proposal, view)
        self.oracle.told.append((proposal.change_id, told))

    def outcome(self, proposal, view):
        """Apply a proposal and return the result that its operator gets."""
        store = ConfigStore(self.table, sleep=lambda _: None, kept=KEPT)
        try:
            return store.apply(proposal, view=view).change.revision
        except (ApplyUncertain, Crash):
            return "unknown"
        except (ApplyUnavailable, ApplyBusy):
            return "not made here"
        except ApplyError:
            return "not made"

    def race(self, table):
        """Change record u1 as another operator, during an apply."""
        script, table.script = table.script, {}
        self.tell(self.propose("cyd", "u1", "race"))
        table.script = script

    def look(self, operator):
        """Set an operator's base revision to the latest one."""
        self.seen[operator] = len(self.oracle.accepted)

    @rule(
        operator=st.sampled_from(OPERATORS),
        edits=st.lists(st.tuples(NAMES, VALUES), min_size=1, max_size=5),
    )
    def edit(self, operator, edits):
        """Make successive changes, each based on the latest revision."""
        for name, value in edits:
            self.look(operator)
            self.last[operator] = self.propose(operator, name, value)
            self.tell(self.last[operator])

    @rule(
        operator=st.sampled_from(OPERATORS),
        name=NAMES,
        value=VALUES,
        script=SCRIPTS,
        near=ONE,
        fresh=st.booleans(),
    )
    def change(self, operator, name, value, script, near, fresh):
        """Make a change under scripted faults of the table."""
        if fresh:
            self.look(operator)
        held = self.followers[near]
        steps = {"crash": crash, "race": self.race}
        self.table.calls = 0
        self.table.script = {n: steps.get(f, f) for n, f in script.items()}
        self.last[operator] = self.propose(operator, name, value)
        self.tell(self.last[operator], held.view if held.revision else None)
        self.table.script = {}

    @rule(operator=st.sampled_from(OPERATORS))
    def repeat(self, operator):
        """Repeat the operator's last change."""
        if operator in self.last:
            self.tell(self.last[operator])

    @rule(down=st.sampled_from([False, False, True]))
    def outage(self, down):
        """Start or end an outage of the table."""
        self.table.faults.set(down=down)

    @rule()
    def flush(self):
        """Apply late commits."""
        self.table.flush()

    @rule(one=ONE)
    def poll(self, one):
        """Poll the table from one process."""
        try:
            self.followers[one].poll()
        except TableUnavailable:
            must(self.table.faults.down, "the table was not down")

    @rule(one=ONE, peer=ONE)
    def pull(self, one, peer):
        """Pull changes from another process."""
        try:
            self.followers[one].pull(self.followers[peer])
        except NoConfiguration:
            must(not self.followers[peer].revision, "the peer has a configuration")

    @rule(one=ONE, data=st.data())
    def offer(self, one, data):
        """Offer changes to a process, out of order and with repeats."""
        if self.oracle.accepted:
            picks = st.lists(st.sampled_from(self.oracle.accepted), max_size=5)
            heard = data.draw(picks)
            self.followers[one].offer(json.dumps(c).encode() for c in heard)

    @rule(one=ONE)
    def restart(self, one):
        """Replace a process with a new one without any state."""
        self.followers[one] = self.fresh()
        self.reached[one] = 0

    @rule(one=ONE)
    def tidy(self, one):
        """Write a snapshot if one is due, and prune old rows."""
        keeper = SnapshotKeeper(self.table, self.objects, every=2, kept=KEPT)
        held = self.followers[one]
        try:
            if held.revision:
                keeper.write_if_due(held.view)
            keeper.prune(held.revision)
        except TableError:
            must(self.table.faults.down, "the table was not down")

    @invariant()
    def holds(self):
        """Check all results of operators and the view of every process."""
        self.oracle.check_told()
        for n, held in enumerate(self.followers):
            must(held.revision >= self.reached[n], "a process went back")
            self.reached[n] = held.revision
            if held.revision:
                self.oracle.check_view(held.view)

    def teardown(self):
        """Check that processes converge during an outage, and catch up after it."""
        self.table.script = {}
        self.table.faults.set(down=True)
        newest = max(held.revision for held in self.followers)
        before = None
        while before != (now := [held.revision for held in self.followers]):
            before = now
            for one, peer in permutations(range(FOLLOWERS), 2):
                self.pull(one, peer)
        agreed = {held.revision for held in self.followers}
        must(len(agreed) == 1 and min(agreed) >= newest, "peers do not agree")
        self.table.faults.clear()
        self.table.flush()
        for held in self.followers:
            must(held.poll() == len(self.oracle.accepted), "a process is behind")
        self.holds()


def test_configuration_holds_under_random_faults():
    run_state_machine_as_test(ConfigMachine, settings=SETTINGS)


class Reverting(Follower):
    """Apply every offered change, even one that is older than the view."""

    __slots__ = ()

    def _receive(self, changes):
        for change in changes:
            self._view.revision = change.revision - 1
            self._view.apply(change)


class Skipping(Follower):
    """Apply newer changes without the missing ones before them."""

    __slots__ = ()

    def _receive(self, changes):
        for change in changes:
            self._view.revision = max(self._view.revision, change.revision - 1)
            self._view.apply(change)


class Deaf(Follower):
    """Serve no changes to peers, as if none were newer."""

    __slots__ = ()

    def changes_after(self, revision, limit=1):
        """Return no changes."""
        return []


def drop_commit_checks(monkeypatch):
    monkeypatch.setattr(Transaction, "checks", lambda self: [])


def use_follower(cls):
    return lambda monkeypatch: monkeypatch.setattr(ConfigMachine, "follower", cls)


@pytest.mark.parametrize(
    "disable",
    [
        use_follower(Reverting),
        use_follower(Skipping),
        use_follower(Deaf),
        drop_commit_checks,
    ],
    ids=["reverting", "skipping", "deaf", "blind"],
)
def test_oracle_catches_a_missing_mechanism(disable, monkeypatch):
    disable(monkeypatch)
    with pytest.raises(Violation):
        run_state_machine_as_test(ConfigMachine, settings=WITHOUT_SHRINKING)

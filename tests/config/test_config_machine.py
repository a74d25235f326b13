"""Promise 7 as a whole: operators, stores and followers under random faults.

No process ever goes back or holds what was never accepted, no change is lost or
made twice, and all processes agree once the table or their peers can be reached.
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
    max_examples=120,
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
    report_multiple_bugs=False,
)
WITHOUT_SHRINKING = settings(SETTINGS, phases=[Phase.generate])


class Crash(Exception):
    """Stand for the death of the process that makes a change."""


def crash(table):
    raise Crash


class ConfigMachine(RuleBasedStateMachine):
    """Drive operators, followers and the table at random."""

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
        """Return the follower of a process just started."""
        return self.follower(SnapshotReader(self.table, self.objects), recent=3)

    def propose(self, operator, name, value):
        """Return a new proposal; no value is a removal."""
        self.ids += 1
        content = (
            {"puts": (Upstream(name, {"pool": value}),)}
            if value
            else {"removals": (Removal("upstream", name),)}
        )
        return Proposal(f"c{self.ids}", operator, self.seen[operator], **content)

    def tell(self, proposal, view=None):
        """Apply a proposal and note what its operator was told."""
        self.oracle.bases[proposal.change_id] = proposal.base
        told = self.outcome(proposal, view)
        self.oracle.told.append((proposal.change_id, told))

    def outcome(self, proposal, view):
        """Return what an operator is told."""
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
        """Let another operator change the same record first."""
        script, table.script = table.script, {}
        self.tell(self.propose("cyd", "u1", "race"))
        table.script = script

    def look(self, operator):
        """Show an operator the newest configuration."""
        self.seen[operator] = len(self.oracle.accepted)

    @rule(
        operator=st.sampled_from(OPERATORS),
        edits=st.lists(st.tuples(NAMES, VALUES), min_size=1, max_size=5),
    )
    def edit(self, operator, edits):
        """Make changes one after another, each over the newest configuration."""
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
        """Make a change while the table fails by a script."""
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
        """Take the table away or bring it back."""
        self.table.faults.set(down=down)

    @rule()
    def flush(self):
        """Let late commits arrive."""
        self.table.flush()

    @rule(one=ONE)
    def poll(self, one):
        """Let a process ask the table."""
        try:
            self.followers[one].poll()
        except TableUnavailable:
            must(self.table.faults.down, "the table was not down")

    @rule(one=ONE, peer=ONE)
    def pull(self, one, peer):
        """Let a process ask another."""
        try:
            self.followers[one].pull(self.followers[peer])
        except NoConfiguration:
            must(not self.followers[peer].revision, "the peer has a configuration")

    @rule(one=ONE, data=st.data())
    def offer(self, one, data):
        """Give a process changes out of order and repeated."""
        if self.oracle.accepted:
            picks = st.lists(st.sampled_from(self.oracle.accepted), max_size=5)
            heard = data.draw(picks)
            self.followers[one].offer(json.dumps(c).encode() for c in heard)

    @rule(one=ONE)
    def restart(self, one):
        """Replace a process by a new one that knows nothing."""
        self.followers[one] = self.fresh()
        self.reached[one] = 0

    @rule(one=ONE)
    def tidy(self, one):
        """Write a snapshot and prune."""
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
        """Check every process and all that operators were told."""
        self.oracle.check_told()
        for n, held in enumerate(self.followers):
            must(held.revision >= self.reached[n], "a process went back")
            self.reached[n] = held.revision
            if held.revision:
                self.oracle.check_view(held.view)

    def teardown(self):
        """Check that peers agree without the table, and all with it."""
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
    """Take any change heard, also an older one."""

    __slots__ = ()

    def _receive(self, changes):
        for change in changes:
            self._view.revision = change.revision - 1
            self._view.apply(change)


class Skipping(Follower):
    """Take newer changes without those before them."""

    __slots__ = ()

    def _receive(self, changes):
        for change in changes:
            self._view.revision = max(self._view.revision, change.revision - 1)
            self._view.apply(change)


class Deaf(Follower):
    """Keep no changes for others, but answer as if there were none newer."""

    __slots__ = ()

    def changes_after(self, revision, limit=1):
        """Return nothing."""
        return []


def blind(monkeypatch):
    monkeypatch.setattr(Transaction, "checks", lambda self: [])


def using(cls):
    return lambda monkeypatch: monkeypatch.setattr(ConfigMachine, "follower", cls)


@pytest.mark.parametrize(
    "switch_off",
    [using(Reverting), using(Skipping), using(Deaf), blind],
    ids=["reverting", "skipping", "deaf", "blind"],
)
def test_oracle_catches_a_missing_mechanism(switch_off, monkeypatch):
    switch_off(monkeypatch)
    with pytest.raises(Violation):
        run_state_machine_as_test(ConfigMachine, settings=WITHOUT_SHRINKING)

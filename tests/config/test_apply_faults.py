"""Promise 7, changes: each fault, and each pair, at each step of an apply.

Whatever the table does, a change is made at most once, no other operator's
change is lost, and what the operator is told is true for ever.
"""

import random
from itertools import combinations, product

import gevent
import pytest

from tests.config.scripted import Oracle, ScriptedTable, Violation
from toucanspool.config import store as store_module
from toucanspool.config.failures import (
    ApplyBusy,
    ApplyError,
    ApplyUnavailable,
    ApplyUncertain,
)
from toucanspool.config.proposal import Proposal
from toucanspool.config.records import Upstream
from toucanspool.config.store import ConfigStore
from toucanspool.config.transaction import Transaction

STEPS = range(1, 9)
MINE = Proposal("mine", "ana", 1, (Upstream("u", {"pool": "mine"}),))


def make_store(table):
    return ConfigStore(table, clock=lambda: 1.0, sleep=lambda _: None)


def rival(proposal):
    def run(table):
        quiet = table.script
        table.script = {}
        tell(table, proposal)
        table.script = quiet

    return run


def same_record(table):
    number = len(table.oracle.accepted)
    puts = (Upstream("u", {"pool": "rival"}),)
    rival(Proposal(f"rival-{number}", "ben", number, puts))(table)


def other_record(table):
    number = len(table.oracle.accepted)
    rival(Proposal(f"other-{number}", "ben", number, (Upstream("v"),)))(table)


FAULTS = {
    "down": "down",
    "lost": "lost",
    "dropped": "dropped",
    "late": "late",
    "same-record": same_record,
    "other-record": other_record,
    "repeat-elsewhere": rival(MINE),
}


def tell(table, proposal, view=None):
    table.oracle.bases[proposal.change_id] = proposal.base
    told = outcome(table, proposal, view)
    table.oracle.told.append((proposal.change_id, told))
    return told


def outcome(table, proposal, view):
    try:
        return make_store(table).apply(proposal, view=view).change.revision
    except ApplyUncertain:
        return "unknown"
    except (ApplyUnavailable, ApplyBusy):
        return "not made here"
    except ApplyError:
        return "not made"


def run(script, *, stale_view=False):
    table = ScriptedTable(Oracle())
    tell(table, Proposal("first", "ben", 0, (Upstream("u"),)))
    view = make_store(table).load()
    if stale_view:
        other_record(table)
    table.calls = 0
    table.script = dict(script)
    told = tell(table, MINE, view)
    table.script = {}
    table.flush()
    table.oracle.check_told()
    assert tell(table, MINE, view) not in ("unknown", "not made here")
    table.oracle.check_told()
    table.oracle.check_view(make_store(table).load())
    return told


def pairs():
    for first, second in combinations(STEPS, 2):
        for a, b in product(FAULTS, FAULTS):
            yield {first: FAULTS[a], second: FAULTS[b]}


@pytest.mark.parametrize("stale_view", [False, True])
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_one_fault(fault, step, stale_view):
    run({step: FAULTS[fault]}, stale_view=stale_view)


def test_two_faults():
    for script in pairs():
        run(script)


def test_all_of_the_answers_lost_is_told_as_unknown():
    script = {2: "lost"} | dict.fromkeys(range(3, 40), "down")
    assert run(script) == "unknown"


def test_lost_answer_is_never_told_as_not_made():
    told = {run({2: "late", step: "down"}) for step in STEPS[2:]}
    assert told <= {2, "unknown"}


def unchecked(monkeypatch):
    monkeypatch.setattr(Transaction, "checks", lambda self: [])


def records_unchecked(monkeypatch):
    monkeypatch.setattr(Transaction, "validate", lambda self, kept: None)


def no_read_back(monkeypatch):
    checks = Transaction.checks
    monkeypatch.setattr(Transaction, "existing_change", lambda self: None)
    monkeypatch.setattr(
        Transaction,
        "checks",
        lambda self: [c for c in checks(self) if "change-id" not in c.key],
    )


def loss_forgotten(monkeypatch):
    monkeypatch.setattr(store_module._UncertainCommit, "pending", lambda self: False)


def settled_too_soon(monkeypatch):
    def resolve(self, txn):
        self.counter_version = None
        return txn

    monkeypatch.setattr(store_module._UncertainCommit, "resolve", resolve)


@pytest.mark.parametrize(
    "switch_off",
    [unchecked, records_unchecked, no_read_back, loss_forgotten, settled_too_soon],
)
def test_oracle_catches_a_missing_mechanism(switch_off, monkeypatch):
    switch_off(monkeypatch)
    caught = 0
    for script in pairs():
        try:
            run(script)
        except Violation:
            caught += 1
    assert caught


def wait_turns(seconds):
    for _ in range(round(seconds * 1000)):
        gevent.sleep(0)


@pytest.mark.parametrize("operators", [2, 12])
def test_operators_at_once_on_different_records_all_win(operators):
    table = ScriptedTable(Oracle())
    table.script = dict.fromkeys(range(1, 5000), lambda table: gevent.sleep(0))

    def work(number):
        store = ConfigStore(
            table,
            sleep=wait_turns,
            rng=random.Random(number),
        )
        for n in range(3):
            change_id = f"c-{number}-{n}"
            base = len(table.oracle.accepted)
            puts = (Upstream(f"u{number}", {"n": str(n)}),)
            table.oracle.bases[change_id] = base
            proposal = Proposal(change_id, f"op{number}", base, puts)
            told = store.apply(proposal).change.revision
            table.oracle.told.append((change_id, told))

    jobs = [gevent.spawn(work, number) for number in range(operators)]
    gevent.joinall(jobs, raise_error=True)
    assert len(table.oracle.accepted) == 3 * operators
    table.oracle.check_told()


def test_given_up_among_many_changes_is_told_as_busy():
    script = dict.fromkeys(range(1, 400), other_record)
    assert run(script) == "not made here"

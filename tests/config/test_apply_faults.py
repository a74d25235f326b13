"""Faults of the table, alone and in pairs, at each call of an apply.

Whatever the table does, a change must be made at most once, no other operator's
change may be lost, and the result that the operator gets must stay true.
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

CALLS = range(1, 9)
PROPOSAL = Proposal("mine", "ana", 1, (Upstream("u", {"pool": "mine"}),))


def make_store(table):
    return ConfigStore(table, clock=lambda: 1.0, sleep=lambda _: None)


def concurrent_apply(proposal):
    def inject(table):
        script = table.script
        table.script = {}
        apply_and_record(table, proposal)
        table.script = script

    return inject


def change_same_record(table):
    revision = len(table.oracle.accepted)
    puts = (Upstream("u", {"pool": "rival"}),)
    concurrent_apply(Proposal(f"rival-{revision}", "ben", revision, puts))(table)


def change_other_record(table):
    revision = len(table.oracle.accepted)
    concurrent_apply(Proposal(f"other-{revision}", "ben", revision, (Upstream("v"),)))(
        table
    )


FAULTS = {
    "down": "down",
    "lost": "lost",
    "dropped": "dropped",
    "late": "late",
    "same-record": change_same_record,
    "other-record": change_other_record,
    "repeat-elsewhere": concurrent_apply(PROPOSAL),
}


def apply_and_record(table, proposal, view=None):
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
    apply_and_record(table, Proposal("first", "ben", 0, (Upstream("u"),)))
    view = make_store(table).load()
    if stale_view:
        change_other_record(table)
    table.calls = 0
    table.script = dict(script)
    told = apply_and_record(table, PROPOSAL, view)
    table.script = {}
    table.flush()
    table.oracle.check_told()
    assert apply_and_record(table, PROPOSAL, view) not in ("unknown", "not made here")
    table.oracle.check_told()
    table.oracle.check_view(make_store(table).load())
    return told


def fault_pairs():
    for first, second in combinations(CALLS, 2):
        for a, b in product(FAULTS, FAULTS):
            yield {first: FAULTS[a], second: FAULTS[b]}


@pytest.mark.parametrize("stale_view", [False, True])
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("fault", FAULTS)
def test_one_fault(fault, call, stale_view):
    run({call: FAULTS[fault]}, stale_view=stale_view)


def test_two_faults():
    for script in fault_pairs():
        run(script)


def test_all_of_the_answers_lost_is_told_as_unknown():
    script = {2: "lost"} | dict.fromkeys(range(3, 40), "down")
    assert run(script) == "unknown"


def test_lost_answer_is_never_told_as_not_made():
    told = {run({2: "late", call: "down"}) for call in CALLS[2:]}
    assert told <= {2, "unknown"}


def drop_commit_checks(monkeypatch):
    monkeypatch.setattr(Transaction, "checks", lambda self: [])


def skip_conflict_check(monkeypatch):
    monkeypatch.setattr(Transaction, "validate", lambda self, kept: None)


def skip_repeat_check(monkeypatch):
    checks = Transaction.checks
    monkeypatch.setattr(Transaction, "existing_change", lambda self: None)
    monkeypatch.setattr(
        Transaction,
        "checks",
        lambda self: [c for c in checks(self) if "change-id" not in c.key],
    )


def forget_uncertain_commit(monkeypatch):
    monkeypatch.setattr(store_module._UncertainCommit, "pending", lambda self: False)


def resolve_too_early(monkeypatch):
    def resolve(self, txn):
        self.counter_version = None
        return txn

    monkeypatch.setattr(store_module._UncertainCommit, "resolve", resolve)


@pytest.mark.parametrize(
    "disable",
    [
        drop_commit_checks,
        skip_conflict_check,
        skip_repeat_check,
        forget_uncertain_commit,
        resolve_too_early,
    ],
)
def test_oracle_catches_a_missing_mechanism(disable, monkeypatch):
    disable(monkeypatch)
    violations = 0
    for script in fault_pairs():
        try:
            run(script)
        except Violation:
            violations += 1
    assert violations


def yield_repeatedly(seconds):
    for _ in range(round(seconds * 1000)):
        gevent.sleep(0)


@pytest.mark.parametrize("operators", [2, 12])
def test_operators_at_once_on_different_records_all_win(operators):
    table = ScriptedTable(Oracle())
    table.script = dict.fromkeys(range(1, 5000), lambda table: gevent.sleep(0))

    def apply_changes(number):
        store = ConfigStore(
            table,
            sleep=yield_repeatedly,
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

    greenlets = [gevent.spawn(apply_changes, number) for number in range(operators)]
    gevent.joinall(greenlets, raise_error=True)
    assert len(table.oracle.accepted) == 3 * operators
    table.oracle.check_told()


def test_given_up_among_many_changes_is_told_as_busy():
    script = dict.fromkeys(range(1, 400), change_other_record)
    assert run(script) == "not made here"

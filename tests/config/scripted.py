"""A table that injects faults into chosen calls, and an oracle of accepted changes.

The oracle parses the table's writes as plain JSON, without the code under test.
"""

import json
from collections.abc import Callable

import orjson

from standins.memory import MemoryTable
from toucanspool.backing.table import TableUnavailable, TableUncertain


class Violation(AssertionError):
    """Report a violated guarantee."""


class Oracle:
    """Record accepted changes in order, and check all results against them.

    `bases` holds the base revision of each change id, `told` the results that
    operators got from apply calls.
    """

    def __init__(self):
        self.accepted = []
        self.bases = {}
        self.told = []

    def record_commit(self, writes):
        """Record the writes of a commit that took effect."""
        for write in writes:
            if write.key.startswith("config/change/") and write.value is not None:
                self._accept(json.loads(write.value))

    def _accept(self, change):
        must(change["revision"] == len(self.accepted) + 1, "revision out of order")
        must(
            not self.revisions_of(change["change_id"]), "a change id was applied twice"
        )
        for key in changed_keys(change):
            latest = self.last_revision(key)
            base = self.bases.get(change["change_id"], latest)
            must(latest <= base, f"update of {key} at {latest} was lost")
        self.accepted.append(change)

    def revisions_of(self, change_id):
        """Return the revisions made with a change id."""
        return [c["revision"] for c in self.accepted if c["change_id"] == change_id]

    def last_revision(self, key):
        """Return the revision that last modified a record."""
        revisions = [c["revision"] for c in self.accepted if key in changed_keys(c)]
        return revisions[-1] if revisions else 0

    def records(self, revision):
        """Return all records at a revision, by kind and name."""
        records = {}
        for change in self.accepted[:revision]:
            for record in change["puts"]:
                records[record["kind"], record["name"]] = record
            for removal in change["removals"]:
                records.pop((removal["kind"], removal["name"]), None)
        return records

    def check_told(self):
        """Check every result that an operator got against the accepted changes."""
        for change_id, told in self.told:
            made = self.revisions_of(change_id)
            others = {
                result for other_id, result in self.told if other_id == change_id
            } - {"not made here"}
            if isinstance(told, int):
                must(made == [told], f"told {told}, made {made}")
            elif told == "not made":
                must(not made, "told not made, but it was")
            elif told == "not made here":
                must(not made or others, "told not made here, but nobody else did")

    def check_view(self, view):
        """Check that a view holds exactly the records of its revision."""
        held = {(r.kind, r.name): as_json(r) for r in view.all_records()}
        must(view.revision <= len(self.accepted), "a revision never accepted")
        must(held == self.records(view.revision), f"wrong records: {held}")


class ScriptedTable(MemoryTable):
    """Inject faults by call number, counted from 1.

    `script` maps call numbers to faults. A fault is a callable, which is called with
    this table before the call, or one of these:

    - ``"down"``: the table is unavailable.
    - ``"lost"``: the commit takes effect, but its response is lost.
    - ``"dropped"``: the request is lost; the caller can't tell it from ``"lost"``.
    - ``"late"``: the caller times out, and the commit takes effect when `flush` is
      called or before the next commit.
    """

    def __init__(self, oracle):
        super().__init__()
        self.oracle = oracle
        self.script = {}
        self.calls = 0
        self.late = []

    def get(self, keys):
        """Inject the scripted fault, if any, then read."""
        self._next_fault(reading=True)
        return super().get(keys)

    def scan(self, prefix, *, after="", limit=1000):
        """Inject the scripted fault, if any, then read."""
        self._next_fault(reading=True)
        return super().scan(prefix, after=after, limit=limit)

    def commit(self, checks, writes):
        """Write, subject to the scripted fault."""
        fault = self._next_fault(reading=False)
        if fault == "late":
            self.late.append((checks, writes))
        if fault in ("late", "dropped"):
            raise TableUncertain("the answer of a commit was lost")
        self.flush()
        self._check_available()
        version = self._commit(checks, writes)
        if fault == "lost":
            raise TableUncertain("the answer of a commit was lost")
        return version

    def flush(self):
        """Apply late commits whose checks still hold, also during an outage."""
        late, self.late = self.late, []
        for checks, writes in late:
            if all(self._version(c.key) == c.version for c in checks):
                self._commit(checks, writes)

    def _commit(self, checks, writes):
        before = self.commits
        try:
            return super()._execute(checks, writes)
        finally:
            if self.commits > before:
                self.oracle.record_commit(writes)

    def _next_fault(self, *, reading):
        self.calls += 1
        fault = self.script.pop(self.calls, None)
        if isinstance(fault, Callable):
            fault(self)
            return None
        if fault == "down" or (fault and reading):
            raise TableUnavailable("the table is down")
        return fault


def must(condition, message):
    if not condition:
        raise Violation(message)


def changed_keys(change):
    items = change["puts"] + change["removals"]
    return {(item["kind"], item["name"]) for item in items}


def as_json(record):
    return json.loads(orjson.dumps(record))

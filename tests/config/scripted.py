"""A table whose calls fail by a script, and an oracle that watches what it accepts.

The oracle reads the table's writes as plain JSON and uses no code of the product.
"""

import json
from collections.abc import Callable

import orjson

from standins.memory import MemoryTable
from toucanspool.backing.table import TableUnavailable, TableUncertain


class Violation(AssertionError):
    """Report a broken promise."""


class Oracle:
    """Keep the accepted changes in the order in which they took effect."""

    def __init__(self):
        self.accepted = []
        self.bases = {}
        self.told = []

    def saw(self, writes):
        """Take the writes of a commit that took effect."""
        for write in writes:
            if write.key.startswith("config/change/") and write.value is not None:
                self._accept(json.loads(write.value))

    def _accept(self, change):
        must(change["revision"] == len(self.accepted) + 1, "revision out of order")
        must(not self.made(change["change_id"]), "a change id was applied twice")
        for key in touched(change):
            last = self.last_touch(key)
            base = self.bases.get(change["change_id"], last)
            must(last <= base, f"update of {key} at {last} was lost")
        self.accepted.append(change)

    def made(self, change_id):
        """Return the revisions that a change id made."""
        return [c["revision"] for c in self.accepted if c["change_id"] == change_id]

    def last_touch(self, key):
        """Return the revision that last touched a record."""
        hits = [c["revision"] for c in self.accepted if key in touched(c)]
        return hits[-1] if hits else 0

    def records(self, revision):
        """Return all records at a revision."""
        records = {}
        for change in self.accepted[:revision]:
            for record in change["puts"]:
                records[record["kind"], record["name"]] = record
            for removal in change["removals"]:
                records.pop((removal["kind"], removal["name"]), None)
        return records

    def check_told(self):
        """Compare all that operators were told with what happened."""
        for change_id, told in self.told:
            made = self.made(change_id)
            others = {t for i, t in self.told if i == change_id} - {"not made here"}
            if isinstance(told, int):
                must(made == [told], f"told {told}, made {made}")
            elif told == "not made":
                must(not made, "told not made, but it was")
            elif told == "not made here":
                must(not made or others, "told not made here, but nobody else did")

    def check_view(self, view):
        """Compare a view with the accepted changes up to its revision."""
        held = {(r.kind, r.name): as_json(r) for r in view.all_records()}
        must(view.revision <= len(self.accepted), "a revision never accepted")
        must(held == self.records(view.revision), f"wrong records: {held}")


class ScriptedTable(MemoryTable):
    """Run a script of faults by number of call; calls are counted from 1.

    A fault is a callable that takes this table, run before the call, or one of
    ``"down"``, ``"lost"`` (the answer), ``"dropped"`` (the request, without the
    caller knowing) or ``"late"`` (the commit takes effect after the caller gave
    it up, when `flush` is called or before the next commit).
    """

    def __init__(self, oracle):
        super().__init__()
        self.oracle = oracle
        self.script = {}
        self.calls = 0
        self.late = []

    def get(self, keys):
        """Run a step of the script, then read."""
        self._step(reading=True)
        return super().get(keys)

    def scan(self, prefix, *, after="", limit=1000):
        """Run a step of the script, then read."""
        self._step(reading=True)
        return super().scan(prefix, after=after, limit=limit)

    def commit(self, checks, writes):
        """Run a step of the script, then write as it says."""
        fault = self._step(reading=False)
        if fault == "late":
            self.late.append((checks, writes))
        if fault in ("late", "dropped"):
            raise TableUncertain("the answer of a commit was lost")
        self.flush()
        version = self._commit(checks, writes)
        if fault == "lost":
            raise TableUncertain("the answer of a commit was lost")
        return version

    def flush(self):
        """Let late commits take effect if their checks still hold."""
        late, self.late = self.late, []
        for checks, writes in late:
            if all(self._version(c.key) == c.version for c in checks):
                self._commit(checks, writes)

    def _commit(self, checks, writes):
        before = self.commits
        try:
            return super().commit(checks, writes)
        finally:
            if self.commits > before:
                self.oracle.saw(writes)

    def _step(self, *, reading):
        self.calls += 1
        fault = self.script.pop(self.calls, None)
        if isinstance(fault, Callable):
            fault(self)
            return None
        if fault == "down" or (fault and reading):
            raise TableUnavailable("the table is down")
        return fault


def must(holds, words):
    if not holds:
        raise Violation(words)


def touched(change):
    items = change["puts"] + change["removals"]
    return {(item["kind"], item["name"]) for item in items}


def as_json(record):
    return json.loads(orjson.dumps(record))

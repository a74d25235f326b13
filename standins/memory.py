"""In-memory table and object store of the platform.

Tests use them directly; the stand-in processes serve them over HTTP.
"""

from collections.abc import Mapping, Sequence

from standins.faults import FaultDown, FaultLostAnswer, Faults
from toucanspool.backing.objects import ObjectsUnavailable
from toucanspool.backing.table import (
    Check,
    Row,
    TableConflict,
    TableUnavailable,
    TableUncertain,
    Write,
)


class MemoryTable:
    """Keep rows in memory; implements `toucanspool.backing.table.Table`.

    Parameters
    ----------
    faults : Faults, optional
        The active faults.

    Attributes
    ----------
    commits : int
        Number of commits that took effect.
    reads : int
        Number of successful reads.
    era : int
        Era of the rows; see `toucanspool.backing.table.Table`.
    """

    def __init__(self, *, faults: Faults | None = None) -> None:
        self.faults = faults or Faults()
        self.commits = 0
        self.reads = 0
        self.era = 0
        self._rows: dict[str, Row] = {}

    def get(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows present among `keys`."""
        self._check_available()
        self.reads += 1
        return {key: self._rows[key] for key in keys if key in self._rows}

    def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[Row]:
        """Return the rows whose key has a prefix, ordered by key."""
        self._check_available()
        self.reads += 1
        keys = (k for k in self._rows if k.startswith(prefix) and k > after)
        return [self._rows[key] for key in sorted(keys)[:limit]]

    def commit(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        """Apply all writes atomically if all checks hold."""
        self._check_available()
        return self._execute(checks, writes)

    def _execute(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        failed = [c.key for c in checks if self._version(c.key) != c.version]
        if failed:
            raise TableConflict(failed)
        self.commits += 1
        for write in writes:
            self._apply(write)
        try:
            self.faults.after_write()
        except FaultLostAnswer as exc:
            raise TableUncertain("injected fault: answer to a commit lost") from exc
        return self.commits

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else 0

    def _apply(self, write: Write) -> None:
        if write.value is None:
            self._rows.pop(write.key, None)
        else:
            self._rows[write.key] = Row(write.key, write.value, self.commits)

    def _check_available(self) -> None:
        try:
            self.faults.before()
        except FaultDown as exc:
            raise TableUnavailable("injected fault: table down") from exc


class MemoryObjects:
    """Keep objects in memory; implements `toucanspool.backing.objects.Objects`.

    Parameters
    ----------
    faults : Faults, optional
        The active faults.
    """

    def __init__(self, *, faults: Faults | None = None) -> None:
        self.faults = faults or Faults()
        self._objects: dict[str, bytes] = {}

    def put(self, name: str, data: bytes) -> None:
        """Store an object, replacing any of the same name."""
        self._check_available()
        self._objects[name] = data
        try:
            self.faults.after_write()
        except FaultLostAnswer as exc:
            raise ObjectsUnavailable("injected fault: answer to a put lost") from exc

    def get(self, name: str) -> bytes | None:
        """Return an object's content, or None if it does not exist."""
        self._check_available()
        return self._objects.get(name)

    def _check_available(self) -> None:
        try:
            self.faults.before()
        except FaultDown as exc:
            raise ObjectsUnavailable("injected fault: object store down") from exc

"""The platform's table and object store in memory.

They serve tests directly and the stand-in processes behind HTTP.
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
        The faults in force.

    Attributes
    ----------
    commits : int
        Number of commits that took effect.
    reads : int
        Number of reads answered.
    """

    def __init__(self, *, faults: Faults | None = None) -> None:
        self.faults = faults or Faults()
        self.commits = 0
        self.reads = 0
        self._rows: dict[str, Row] = {}

    def get(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows present among `keys`."""
        self._before()
        self.reads += 1
        return {key: self._rows[key] for key in keys if key in self._rows}

    def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows by prefix in order of key."""
        self._before()
        self.reads += 1
        keys = (k for k in self._rows if k.startswith(prefix) and k > after)
        return [self._rows[key] for key in sorted(keys)[:limit]]

    def commit(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        """Make all writes at once if all checks hold."""
        self._before()
        failed = [c.key for c in checks if self._version(c.key) != c.version]
        if failed:
            raise TableConflict(failed)
        self.commits += 1
        for write in writes:
            self._apply(write)
        try:
            self.faults.after_write()
        except FaultLostAnswer as exc:
            raise TableUncertain("the answer of a commit was lost") from exc
        return self.commits

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else 0

    def _apply(self, write: Write) -> None:
        if write.value is None:
            self._rows.pop(write.key, None)
        else:
            self._rows[write.key] = Row(write.key, write.value, self.commits)

    def _before(self) -> None:
        try:
            self.faults.before()
        except FaultDown as exc:
            raise TableUnavailable("the table is down") from exc


class MemoryObjects:
    """Keep objects in memory; implements `toucanspool.backing.objects.Objects`.

    Parameters
    ----------
    faults : Faults, optional
        The faults in force.
    """

    def __init__(self, *, faults: Faults | None = None) -> None:
        self.faults = faults or Faults()
        self._objects: dict[str, bytes] = {}

    def put(self, name: str, data: bytes) -> None:
        """Store an object, replacing the one of that name."""
        self._before()
        self._objects[name] = data
        try:
            self.faults.after_write()
        except FaultLostAnswer as exc:
            raise ObjectsUnavailable("the answer of a put was lost") from exc

    def get(self, name: str) -> bytes | None:
        """Return an object's content, or None where there is none."""
        self._before()
        return self._objects.get(name)

    def _before(self) -> None:
        try:
            self.faults.before()
        except FaultDown as exc:
            raise ObjectsUnavailable("the object store is down") from exc

"""Ages of rows, told by the versions of marks and by no wall clock.

A mark is one commit on one row, made no sooner than `TICK_S` after the cleaner saw
the mark before. A row with a version below a mark's was written before that mark.
"""

from collections.abc import Callable

import orjson

from toucanspool.backing.table import Check, Row, Table, Write

WATERMARKS_KEY = "claims/marks"
PROBE_PREFIX = "claims/probe/"
TICK_S = 600.0


class VersionsNotGlobal(Exception):
    """Report a table that counts versions by row, so that they tell no ages."""


class Watermarks:
    """Make marks, and tell which rows are old.

    Parameters
    ----------
    table : Table
        The platform's table.
    keep : int
        Watermarks kept.
    now : callable
        Monotonic seconds.
    """

    __slots__ = ("_keep", "_now", "_row", "_seen_s", "_table")

    def __init__(self, table: Table, *, keep: int, now: Callable[[], float]) -> None:
        self._table = table
        self._keep = keep
        self._now = now
        self._row: Row | None = None
        self._seen_s = now()

    def refresh(self) -> None:
        """Read the marks, and make one where that is due.

        Raises
        ------
        TableError
            The table failed; to be called again.
        VersionsNotGlobal
            A new row written with the newest mark has another version.
        """
        found = self._table.get([WATERMARKS_KEY]).get(WATERMARKS_KEY)
        if self._row is None or found is None or found.version != self._row.version:
            self._seen_s = self._now()
        self._row = found
        self._verify()
        if found is None or self._now() - self._seen_s >= TICK_S:
            self._make()

    def horizon(self, ticks: int) -> int:
        """Return the version below which rows are older than some ticks.

        Parameters
        ----------
        ticks : int
            Whole ticks, of `TICK_S` each.

        Returns
        -------
        int
            0 where the marks don't reach that far back.
        """
        versions = [*_versions(self._row), *([self._row.version] if self._row else [])]
        return versions[-1 - ticks] if len(versions) > ticks else 0

    def _make(self) -> None:
        row = self._row
        versions = [*_versions(row), row.version][-self._keep :] if row else []
        data = orjson.dumps(versions)
        checks = [Check(WATERMARKS_KEY, row.version if row else 0)]
        writes = [Write(WATERMARKS_KEY, data), Write(_probe_key(versions), b"")]
        if row:
            writes.append(Write(_probe_key(_versions(row)), None))
        version = self._table.commit(checks, writes)
        self._row = Row(WATERMARKS_KEY, data, version)
        self._seen_s = self._now()

    def _verify(self) -> None:
        if self._row is None:
            return
        key = _probe_key(_versions(self._row))
        probe = self._table.get([WATERMARKS_KEY, key])
        newest = probe.get(WATERMARKS_KEY)
        if newest is None or newest.version != self._row.version:
            return
        if key not in probe or probe[key].version != newest.version:
            raise VersionsNotGlobal(f"{key} has not the version of {WATERMARKS_KEY}")


def _versions(row: Row | None) -> list[int]:
    return orjson.loads(row.value) if row else []


def _probe_key(versions: list[int]) -> str:
    return f"{PROBE_PREFIX}{versions[-1] if versions else 0}"

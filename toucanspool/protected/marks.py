"""Ages of rows, told by the versions of marks and by no wall clock.

A mark is one commit on one row, made no sooner than `TICK_S` after the janitor saw
the mark before. A row with a version below a mark's was written before that mark.
"""

from collections.abc import Callable

import orjson

from toucanspool.platform.table import Check, Row, Table, Write

MARKS_KEY = "claims/marks"
TICK_S = 600.0


class Marks:
    """Make marks, and tell which rows are old.

    Parameters
    ----------
    table : Table
        The platform's table.
    keep : int
        Marks kept.
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
        """
        found = self._table.get([MARKS_KEY]).get(MARKS_KEY)
        if self._row is None or found is None or found.version != self._row.version:
            self._seen_s = self._now()
        self._row = found
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
        checks = [Check(MARKS_KEY, row.version if row else 0)]
        version = self._table.commit(checks, [Write(MARKS_KEY, data)])
        self._row = Row(MARKS_KEY, data, version)
        self._seen_s = self._now()


def _versions(row: Row | None) -> list[int]:
    return orjson.loads(row.value) if row else []

"""Watermarks of table versions, by which rows are aged without a wall clock.

A watermark is the version of one commit to a shared row. The cleaner writes one at
least `WATERMARK_INTERVAL_S` after it first saw the one before. A row whose version is
lower than a watermark was written before it. This needs a table that counts versions
across all rows; the probe row, written in the same commit, verifies that.
"""

from collections.abc import Callable

import orjson

from toucanspool.backing.table import Check, Row, Table, Write

WATERMARKS_KEY = "claims/marks"
PROBE_PREFIX = "claims/probe/"
WATERMARK_INTERVAL_S = 600.0


class VersionsNotGlobal(Exception):
    """Report a table that counts versions per row, so that they give no ages."""


class Watermarks:
    """Write watermarks, and find the version below which rows are old.

    Parameters
    ----------
    table : Table
        The platform's table.
    limit : int
        Number of earlier watermarks stored besides the newest.
    now : callable
        Returns monotonic seconds.
    """

    __slots__ = ("_limit", "_now", "_row", "_seen_at", "_table")

    def __init__(self, table: Table, *, limit: int, now: Callable[[], float]) -> None:
        self._table = table
        self._limit = limit
        self._now = now
        self._row: Row | None = None
        self._seen_at = now()

    def refresh(self) -> None:
        """Read the watermarks, and write a new one if it is due.

        Raises
        ------
        TableError
            The table failed; call again.
        VersionsNotGlobal
            The probe row and the newest watermark, written in one commit, have
            different versions.
        """
        found = self._table.get([WATERMARKS_KEY]).get(WATERMARKS_KEY)
        if self._row is None or found is None or found.version != self._row.version:
            self._seen_at = self._now()
        self._row = found
        self._verify()
        if found is None or self._now() - self._seen_at >= WATERMARK_INTERVAL_S:
            self._write()

    def cutoff(self, intervals: int) -> int:
        """Return the version below which rows have at least a given age.

        Parameters
        ----------
        intervals : int
            The age, in whole intervals of `WATERMARK_INTERVAL_S`.

        Returns
        -------
        int
            0 if the watermarks don't reach that far back.
        """
        versions = [
            *_earlier_versions(self._row),
            *([self._row.version] if self._row else []),
        ]
        return versions[-1 - intervals] if len(versions) > intervals else 0

    def _write(self) -> None:
        row = self._row
        earlier = [*_earlier_versions(row), row.version][-self._limit :] if row else []
        data = orjson.dumps(earlier)
        checks = [Check(WATERMARKS_KEY, row.version if row else 0)]
        writes = [Write(WATERMARKS_KEY, data), Write(_probe_key(earlier), b"")]
        if row:
            writes.append(Write(_probe_key(_earlier_versions(row)), None))
        version = self._table.commit(checks, writes)
        self._row = Row(WATERMARKS_KEY, data, version)
        self._seen_at = self._now()

    def _verify(self) -> None:
        if self._row is None:
            return
        key = _probe_key(_earlier_versions(self._row))
        rows = self._table.get([WATERMARKS_KEY, key])
        newest = rows.get(WATERMARKS_KEY)
        if newest is None or newest.version != self._row.version:
            return
        if key not in rows or rows[key].version != newest.version:
            raise VersionsNotGlobal(
                f"{key} and {WATERMARKS_KEY} were written in one commit, "
                "but have different versions"
            )


def _earlier_versions(row: Row | None) -> list[int]:
    return orjson.loads(row.value) if row else []


def _probe_key(earlier: list[int]) -> str:
    return f"{PROBE_PREFIX}{earlier[-1] if earlier else 0}"

"""Garbage collection of claim rows, run by one elected process."""

import contextlib
import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from toucanspool.backing.objects import Objects, ObjectsUnavailable
from toucanspool.backing.table import Check, Row, Table, TableConflict, Write
from toucanspool.protected.row import (
    ABANDONED,
    CLAIM_PREFIX,
    DONE,
    FREE,
    OBJECT,
    STARTED,
    ClaimRow,
    UnreadableRow,
    decode_row,
    encode_row,
)
from toucanspool.protected.watermarks import WATERMARK_INTERVAL_S, Watermarks

RETENTION_S = 7 * 86_400.0
FREE_AGE_INTERVALS = 2
ABANDONED_AGE_INTERVALS = 1
PAGE_ROWS = 500
PAGES_PER_STEP = 20


@dataclass(slots=True)
class CleanupResult:
    """Count what a step changed.

    Parameters
    ----------
    removed : int, default=0
        Rows removed.
    abandoned : int, default=0
        Rows marked as abandoned.
    """

    removed: int = 0
    abandoned: int = 0


@dataclass(slots=True, frozen=True)
class _RowChange:
    row: Row
    claim: ClaimRow
    value: bytes | None


class ClaimCleaner:
    """Remove old rows, and mark claims whose agent no longer runs.

    A started or abandoned row is never removed, since its key must never run again.
    Each change checks the version that was read. Concurrent cleaners are therefore
    safe, and so is an agent that was only unreachable for a while.

    Parameters
    ----------
    table : Table
        The platform's table.
    objects : Objects
        Stores large bodies.
    now : callable
        Returns monotonic seconds.
    retention_s : float, default=7 days
        Minimum time in seconds that a done row is kept. A key that is reused
        after its row was removed runs again.
    """

    __slots__ = ("_after", "_objects", "_retention_intervals", "_table", "_watermarks")

    def __init__(
        self,
        table: Table,
        objects: Objects,
        *,
        now: Callable[[], float],
        retention_s: float = RETENTION_S,
    ) -> None:
        self._table = table
        self._objects = objects
        self._retention_intervals = max(
            1, math.ceil(retention_s / WATERMARK_INTERVAL_S)
        )
        self._watermarks = Watermarks(
            table, limit=self._retention_intervals + 1, now=now
        )
        self._after = ""

    def step(self, live: Collection[str]) -> CleanupResult:
        """Clean the next pages of rows; called periodically.

        Parameters
        ----------
        live : collection of str
            Names of the agents' instances that are currently listed.

        Returns
        -------
        CleanupResult

        Raises
        ------
        TableError
            The table failed; call again.
        VersionsNotGlobal
            The table counts versions per row; nothing is cleaned.
        """
        self._watermarks.refresh()
        total = CleanupResult()
        for _ in range(PAGES_PER_STEP):
            result = self._clean_page(live)
            total.removed += result.removed
            total.abandoned += result.abandoned
            if not self._after:
                break
        return total

    def _clean_page(self, live: Collection[str]) -> CleanupResult:
        page = self._table.scan(CLAIM_PREFIX, after=self._after, limit=PAGE_ROWS)
        changes = [change for row in page if (change := self._plan_change(row, live))]
        result = self._commit(changes)
        self._after = page[-1].key if len(page) == PAGE_ROWS else ""
        return result

    def _plan_change(self, row: Row, live: Collection[str]) -> _RowChange | None:
        try:
            claim = decode_row(row.value)
        except UnreadableRow:
            return None
        if self._is_expired(row, claim):
            return _RowChange(row, claim, None)
        if self._is_orphaned(row, claim, live):
            return _RowChange(row, claim, encode_row(replace(claim, state=ABANDONED)))
        return None

    def _is_expired(self, row: Row, claim: ClaimRow) -> bool:
        if claim.state == DONE:
            return row.version < self._watermarks.cutoff(self._retention_intervals)
        return claim.state == FREE and row.version < self._watermarks.cutoff(
            FREE_AGE_INTERVALS
        )

    def _is_orphaned(self, row: Row, claim: ClaimRow, live: Collection[str]) -> bool:
        if claim.state != STARTED or claim.instance in live:
            return False
        return row.version < self._watermarks.cutoff(ABANDONED_AGE_INTERVALS)

    def _commit(self, changes: list[_RowChange]) -> CleanupResult:
        while changes:
            checks = [Check(c.row.key, c.row.version) for c in changes]
            writes = [Write(c.row.key, c.value) for c in changes]
            try:
                self._table.commit(checks, writes)
            except TableConflict as exc:
                changes = [c for c in changes if c.row.key not in exc.keys]
            else:
                break
        removed = [c for c in changes if c.value is None]
        self._empty_objects(removed)
        return CleanupResult(len(removed), len(changes) - len(removed))

    def _empty_objects(self, removed: list[_RowChange]) -> None:
        for change in removed:
            response = change.claim.answer
            if response is not None and response.kept == OBJECT:
                with contextlib.suppress(ObjectsUnavailable):
                    self._objects.put(response.body, b"")

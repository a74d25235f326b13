"""The elected duty that cleans up claims."""

import contextlib
import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from toucanspool.backing.objects import Objects, ObjectsUnavailable
from toucanspool.backing.table import Check, Row, Table, TableConflict, Write
from toucanspool.protected.row import (
    ABANDONED,
    DONE,
    FREE,
    OBJECT,
    PREFIX,
    STARTED,
    BadRow,
    ClaimRow,
    decode_row,
    encode_row,
)
from toucanspool.protected.watermarks import TICK_S, Watermarks

RETENTION_S = 7 * 86_400.0
FREE_TICKS = 2
ABANDONED_TICKS = 1
PAGE_ROWS = 500
PAGES_PER_STEP = 20


@dataclass(slots=True)
class CleanupResult:
    """Count what a step did.

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
class _Change:
    row: Row
    claim: ClaimRow
    value: bytes | None


class ClaimCleaner:
    """Remove old rows, and mark claims whose agent has gone.

    A row that is started or abandoned is never removed: its key must never run
    again. Each change demands the version that was read, so that two cleaners at
    once do no harm, nor does an agent that comes back.

    Parameters
    ----------
    table : Table
        The platform's table.
    objects : Objects
        Keeps large bodies.
    now : callable
        Monotonic seconds.
    retention_s : float, default=7 days
        Seconds for which a done row is kept at least. A key used again later than
        that runs again.
    """

    __slots__ = ("_after", "_marks", "_objects", "_retention_ticks", "_table")

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
        self._retention_ticks = max(1, math.ceil(retention_s / TICK_S))
        self._marks = Watermarks(table, keep=self._retention_ticks + 1, now=now)
        self._after = ""

    def step(self, live: Collection[str]) -> CleanupResult:
        """Clean some pages of rows; to be called again and again by one process.

        Parameters
        ----------
        live : collection of str
            Names of the agents' instances that are listed.

        Returns
        -------
        CleanupResult

        Raises
        ------
        TableError
            The table failed; to be called again.
        """
        self._marks.refresh()
        total = CleanupResult()
        for _ in range(PAGES_PER_STEP):
            cleaned = self._page(live)
            total.removed += cleaned.removed
            total.abandoned += cleaned.abandoned
            if not self._after:
                break
        return total

    def _page(self, live: Collection[str]) -> CleanupResult:
        page = self._table.scan(PREFIX, after=self._after, limit=PAGE_ROWS)
        changes = [change for row in page if (change := self._change(row, live))]
        cleaned = self._commit(changes)
        self._after = page[-1].key if len(page) == PAGE_ROWS else ""
        return cleaned

    def _change(self, row: Row, live: Collection[str]) -> _Change | None:
        try:
            claim = decode_row(row.value)
        except BadRow:
            return None
        if self._expired(row, claim):
            return _Change(row, claim, None)
        if self._left_behind(row, claim, live):
            return _Change(row, claim, encode_row(replace(claim, state=ABANDONED)))
        return None

    def _expired(self, row: Row, claim: ClaimRow) -> bool:
        if claim.state == DONE:
            return row.version < self._marks.horizon(self._retention_ticks)
        return claim.state == FREE and row.version < self._marks.horizon(FREE_TICKS)

    def _left_behind(self, row: Row, claim: ClaimRow, live: Collection[str]) -> bool:
        if claim.state != STARTED or claim.instance in live:
            return False
        return row.version < self._marks.horizon(ABANDONED_TICKS)

    def _commit(self, changes: list[_Change]) -> CleanupResult:
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
        self._blank(removed)
        return CleanupResult(len(removed), len(changes) - len(removed))

    def _blank(self, removed: list[_Change]) -> None:
        for change in removed:
            answer = change.claim.answer
            if answer is not None and answer.kept == OBJECT:
                with contextlib.suppress(ObjectsUnavailable):
                    self._objects.put(answer.body, b"")

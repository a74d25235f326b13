"""Upkeep of the configuration's rows and snapshot."""

from toucanspool.backing.objects import Objects
from toucanspool.backing.table import Check, Row, Table, Write
from toucanspool.config.reader import PAGE_ROWS
from toucanspool.config.rows import (
    CHANGE_PREFIX,
    KEPT_CHANGES,
    RECORD_PREFIX,
    change_key,
    decode_record_row,
)
from toucanspool.config.snapshot import SNAPSHOT_NAME, SnapshotReader, encode_view
from toucanspool.config.view import View

SNAPSHOT_EVERY_CHANGES = 200
PRUNE_ROWS = 500


class SnapshotKeeper:
    """Write snapshots and delete rows that are no longer needed.

    Any number of processes may do so at the same time: an older snapshot in
    place of a newer one costs reads, not correctness.

    Parameters
    ----------
    table : Table
        The platform's table.
    objects : Objects
        The platform's object store.
    every : int, default=200
        A snapshot is due after this many changes.
    kept : int, default=4096
        How many of the latest changes stay in the table.
    """

    __slots__ = ("_every", "_kept", "_objects", "_reader", "_table")

    def __init__(
        self,
        table: Table,
        objects: Objects,
        *,
        every: int = SNAPSHOT_EVERY_CHANGES,
        kept: int = KEPT_CHANGES,
    ) -> None:
        self._table = table
        self._objects = objects
        self._reader = SnapshotReader(table, objects)
        self._every = every
        self._kept = kept

    def write_if_due(self, view: View) -> bool:
        """Write a snapshot if the last one is old.

        Parameters
        ----------
        view : View
            The view in force.

        Returns
        -------
        bool
            Whether one was written.

        Raises
        ------
        ObjectsUnavailable
            No answer came; the snapshot may have been written.
        """
        last = self._reader.snapshot()
        if last is not None and view.revision - last.revision < self._every:
            return False
        self._objects.put(SNAPSHOT_NAME, encode_view(view.copy()))
        return True

    def prune(self, revision: int) -> int:
        """Delete some of the oldest changes and of the traces of removals.

        Parameters
        ----------
        revision : int
            A revision in force.

        Returns
        -------
        int
            Number of rows deleted; 0 if none was due.

        Raises
        ------
        TableError
            The table did not answer, or a row changed meanwhile; a later call
            goes on.
        """
        oldest = revision - self._kept
        if oldest <= 0:
            return 0
        rows = self._old_changes(oldest) + self._old_removals(oldest)
        rows = rows[:PRUNE_ROWS]
        if rows:
            checks = [Check(row.key, row.version) for row in rows]
            self._table.commit(checks, [Write(row.key, None) for row in rows])
        return len(rows)

    def _old_changes(self, oldest: int) -> list[Row]:
        rows = self._table.scan(CHANGE_PREFIX, limit=PRUNE_ROWS)
        return [row for row in rows if row.key <= change_key(oldest)]

    def _old_removals(self, oldest: int) -> list[Row]:
        old = []
        after = ""
        while True:
            rows = self._table.scan(RECORD_PREFIX, after=after, limit=PAGE_ROWS)
            old.extend(row for row in rows if _removed_by(row, oldest))
            if len(rows) < PAGE_ROWS:
                return old
            after = rows[-1].key


def _removed_by(row: Row, oldest: int) -> bool:
    held = decode_record_row(row)
    return held.record is None and held.revision <= oldest

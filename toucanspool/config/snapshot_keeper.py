"""Snapshots of the configuration, and pruning of its old rows."""

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
PRUNE_BATCH_ROWS = 500


class SnapshotKeeper:
    """Write snapshots of the configuration and prune rows no longer needed.

    Several processes may do this at the same time. If an older snapshot replaces a
    newer one, the next load reads more changes but is still correct.

    Parameters
    ----------
    table : Table
        The platform's table.
    objects : Objects
        The platform's object store.
    every : int, default=200
        Number of changes between snapshots.
    kept : int, default=4096
        Number of latest changes that are not pruned; tombstones of removed records
        are kept for as many changes.
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
        """Write a snapshot if there is none or the last one is too old.

        Parameters
        ----------
        view : View
            The active view.

        Returns
        -------
        bool
            Whether a snapshot was written.

        Raises
        ------
        ObjectsUnavailable
            The object store did not answer; the snapshot may have been written.
        """
        last = self._reader.snapshot()
        if last is not None and view.revision - last.revision < self._every:
            return False
        self._objects.put(SNAPSHOT_NAME, encode_view(view.copy()))
        return True

    def prune(self, revision: int) -> int:
        """Delete a batch of old changes and of tombstones of removed records.

        Parameters
        ----------
        revision : int
            The active revision.

        Returns
        -------
        int
            Number of rows deleted; 0 if no rows are old enough.

        Raises
        ------
        TableError
            The table did not answer, or a row changed since it was read; a later
            call continues.
        """
        cutoff = revision - self._kept
        if cutoff <= 0:
            return 0
        rows = self._expired_changes(cutoff) + self._expired_tombstones(cutoff)
        rows = rows[:PRUNE_BATCH_ROWS]
        if rows:
            checks = [Check(row.key, row.version) for row in rows]
            self._table.commit(checks, [Write(row.key, None) for row in rows])
        return len(rows)

    def _expired_changes(self, cutoff: int) -> list[Row]:
        rows = self._table.scan(CHANGE_PREFIX, limit=PRUNE_BATCH_ROWS)
        return [row for row in rows if row.key <= change_key(cutoff)]

    def _expired_tombstones(self, cutoff: int) -> list[Row]:
        expired = []
        after = ""
        while True:
            rows = self._table.scan(RECORD_PREFIX, after=after, limit=PAGE_ROWS)
            expired.extend(row for row in rows if _is_expired_tombstone(row, cutoff))
            if len(rows) < PAGE_ROWS:
                return expired
            after = rows[-1].key


def _is_expired_tombstone(row: Row, cutoff: int) -> bool:
    stored = decode_record_row(row)
    return stored.record is None and stored.revision <= cutoff

"""The whole configuration as one object, and the changes after it.

Many processes that restart at once read one object each, and of the table only
the changes since, so that they do not flatten it.
"""

import zlib
from dataclasses import field

import orjson
from pydantic import TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from toucanspool.config.failures import ChangesPruned
from toucanspool.config.match import STRICT
from toucanspool.config.reader import PAGE_ROWS, ConfigReader
from toucanspool.config.records import Record
from toucanspool.config.rows import (
    CHANGE_PREFIX,
    KEPT_CHANGES,
    RECORD_PREFIX,
    change_key,
    decode_record_row,
)
from toucanspool.config.view import View
from toucanspool.platform.objects import Objects, ObjectsUnavailable
from toucanspool.platform.table import Check, Row, Table, Write

SNAPSHOT_NAME = "config/snapshot"
SNAPSHOT_EVERY_CHANGES = 200
COMPRESSION_LEVEL = 1
PRUNE_ROWS = 500


class BadSnapshot(Exception):
    """Report an object that is no snapshot of the configuration."""


@dataclass(slots=True, frozen=True, config=STRICT)
class _Snapshot:
    revision: int
    records: tuple[Record, ...] = field(default=())


_SNAPSHOT = TypeAdapter(_Snapshot)


def encode_view(view: View) -> bytes:
    """Return a view as a compressed snapshot.

    Parameters
    ----------
    view : View
        The view.

    Returns
    -------
    bytes
    """
    data = {"revision": view.revision, "records": view.all_records()}
    return zlib.compress(orjson.dumps(data), COMPRESSION_LEVEL)


def decode_view(data: bytes) -> View:
    """Return the view in a snapshot.

    Parameters
    ----------
    data : bytes
        What `encode_view` made.

    Returns
    -------
    View

    Raises
    ------
    BadSnapshot
        The bytes are no snapshot.
    """
    try:
        held = _SNAPSHOT.validate_json(zlib.decompress(data))
    except (zlib.error, ValidationError) as exc:
        raise BadSnapshot("an object is no snapshot of the configuration") from exc
    return View(revision=held.revision, records=held.records)


class SnapshotReader(ConfigReader):
    """Read the configuration from the last snapshot and the changes after it.

    A snapshot alone is never in force: the table is always asked for what came
    after it, since an old configuration must not come back.

    Parameters
    ----------
    table : Table
        The platform's table.
    objects : Objects
        The platform's object store.
    """

    def __init__(self, table: Table, objects: Objects) -> None:
        super().__init__(table)
        self._objects = objects

    def load(self) -> View:
        """Return the whole configuration at one revision.

        Without a usable snapshot all rows are read from the table.

        Returns
        -------
        View

        Raises
        ------
        LoadTorn
            Changes were pruned faster than they could be read.
        TableUnavailable
            The table did not answer.
        """
        view = self.snapshot()
        if view is None:
            return super().load()
        try:
            self._follow(view)
        except ChangesPruned:
            return super().load()
        return view

    def snapshot(self) -> View | None:
        """Return the last snapshot, or None where there is none to be had.

        Returns
        -------
        View or None
        """
        try:
            data = self._objects.get(SNAPSHOT_NAME)
            return decode_view(data) if data is not None else None
        except (ObjectsUnavailable, BadSnapshot):
            return None

    def _follow(self, view: View) -> None:
        while True:
            changes = self.changes_after(view.revision, PAGE_ROWS)
            for change in changes:
                view.apply(change)
            if len(changes) < PAGE_ROWS:
                return


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
        self._objects.put(SNAPSHOT_NAME, encode_view(view))
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

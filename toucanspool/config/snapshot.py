"""Snapshots of the complete configuration in the object store.

A starting process reads one object, and from the table only the changes since the
snapshot. This keeps many processes that restart at once from overloading the table.
"""

import zlib
from collections.abc import Callable

import gevent
import orjson
from pydantic import TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from toucanspool.backing.objects import Objects, ObjectsUnavailable
from toucanspool.backing.table import Table
from toucanspool.config.failures import ChangesPruned
from toucanspool.config.match import FORBID_EXTRA
from toucanspool.config.reader import PAGE_ROWS, SLICE_ROWS, ConfigReader
from toucanspool.config.records import Record
from toucanspool.config.view import View

SNAPSHOT_NAME = "config/snapshot"
COMPRESSION_LEVEL = 1


class BadSnapshot(Exception):
    """Report an object that is not a valid configuration snapshot."""


@dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class _Header:
    revision: int
    records: int


_HEADER = TypeAdapter(_Header)
_RECORDS = TypeAdapter(tuple[Record, ...])


def encode_view(view: View, *, pause: Callable[[], None] = gevent.sleep) -> bytes:
    """Return a view as a compressed snapshot.

    Parameters
    ----------
    view : View
        The view to encode.
    pause : callable, default=gevent.sleep
        Yields to other greenlets; called once per batch of records.

    Returns
    -------
    bytes
        Zlib-compressed JSON lines: a header, then batches of records.
    """
    records = view.all_records()
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    chunks = [compressor.compress(orjson.dumps(_Header(view.revision, len(records))))]
    for start in range(0, len(records), SLICE_ROWS):
        pause()
        batch = b"\n" + orjson.dumps(records[start : start + SLICE_ROWS])
        chunks.append(compressor.compress(batch))
    return b"".join([*chunks, compressor.flush()])


def decode_view(data: bytes, *, pause: Callable[[], None] = gevent.sleep) -> View:
    """Return the view stored in a snapshot.

    Parameters
    ----------
    data : bytes
        Snapshot encoded by `encode_view`.
    pause : callable, default=gevent.sleep
        Yields to other greenlets; called once per batch of records.

    Returns
    -------
    View

    Raises
    ------
    BadSnapshot
        The data is not a snapshot, or records are missing.
    """
    records: list[Record] = []
    try:
        header_line, *lines = zlib.decompress(data).split(b"\n")
        header = _HEADER.validate_json(header_line)
        for line in lines:
            records.extend(_RECORDS.validate_json(line))
            pause()
    except (zlib.error, ValidationError) as exc:
        raise BadSnapshot("the object is not a configuration snapshot") from exc
    if len(records) != header.records:
        raise BadSnapshot("the configuration snapshot is incomplete")
    return View(revision=header.revision, records=records)


class SnapshotReader(ConfigReader):
    """Read the configuration from the last snapshot and the changes after it.

    A snapshot is never used alone: later changes are always read from the table, so
    that a process can't return to an old configuration.

    Parameters
    ----------
    table : Table
        The platform's table.
    objects : Objects
        The platform's object store.
    pause : callable, default=gevent.sleep
        Yields to other greenlets; called between batches of records.
    """

    def __init__(
        self,
        table: Table,
        objects: Objects,
        *,
        pause: Callable[[], None] = gevent.sleep,
    ) -> None:
        super().__init__(table, pause=pause)
        self._objects = objects

    def load(self) -> View:
        """Return the complete configuration at one revision.

        Reads all rows from the table if there is no usable snapshot, or if the
        changes after it are no longer stored.

        Returns
        -------
        View

        Raises
        ------
        TornRead
            Changes were pruned faster than they could be read.
        TableUnavailable
            The table did not answer.
        """
        view = self.snapshot()
        if view is None:
            return super().load()
        try:
            self._apply_newer_changes(view)
        except ChangesPruned:
            return super().load()
        return view

    def snapshot(self) -> View | None:
        """Return the last snapshot, or None if it is missing, invalid or unavailable.

        Returns
        -------
        View or None
        """
        try:
            data = self._objects.get(SNAPSHOT_NAME)
            return decode_view(data, pause=self._pause) if data is not None else None
        except (ObjectsUnavailable, BadSnapshot):
            return None

    def _apply_newer_changes(self, view: View) -> None:
        while True:
            changes = self.changes_after(view.revision, PAGE_ROWS)
            for change in changes:
                view.apply(change)
            if len(changes) < PAGE_ROWS:
                return

"""The whole configuration as one object, and the changes after it.

Many processes that restart at once read one object each, and of the table only
the changes since, so that they do not flatten it.
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
    """Report an object that is no snapshot of the configuration."""


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
        The view.
    pause : callable, default=gevent.sleep
        Lets others run; called between slices of the work.

    Returns
    -------
    bytes
        Lines of JSON, a header and slices of the records, compressed.
    """
    records = view.all_records()
    packer = zlib.compressobj(COMPRESSION_LEVEL)
    parts = [packer.compress(orjson.dumps(_Header(view.revision, len(records))))]
    for start in range(0, len(records), SLICE_ROWS):
        pause()
        line = b"\n" + orjson.dumps(records[start : start + SLICE_ROWS])
        parts.append(packer.compress(line))
    return b"".join([*parts, packer.flush()])


def decode_view(data: bytes, *, pause: Callable[[], None] = gevent.sleep) -> View:
    """Return the view in a snapshot.

    Parameters
    ----------
    data : bytes
        What `encode_view` made.
    pause : callable, default=gevent.sleep
        Lets others run; called between slices of the work.

    Returns
    -------
    View

    Raises
    ------
    BadSnapshot
        The bytes are no snapshot.
    """
    records: list[Record] = []
    try:
        header, *lines = zlib.decompress(data).split(b"\n")
        held = _HEADER.validate_json(header)
        for line in lines:
            records.extend(_RECORDS.validate_json(line))
            pause()
    except (zlib.error, ValidationError) as exc:
        raise BadSnapshot("an object is no snapshot of the configuration") from exc
    if len(records) != held.records:
        raise BadSnapshot("a snapshot of the configuration is not whole")
    return View(revision=held.revision, records=records)


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
    pause : callable, default=gevent.sleep
        Lets others run; called between slices of the work.
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
        """Return the whole configuration at one revision.

        Without a usable snapshot all rows are read from the table.

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
            return decode_view(data, pause=self._pause) if data is not None else None
        except (ObjectsUnavailable, BadSnapshot):
            return None

    def _follow(self, view: View) -> None:
        while True:
            changes = self.changes_after(view.revision, PAGE_ROWS)
            for change in changes:
                view.apply(change)
            if len(changes) < PAGE_ROWS:
                return

"""Reads of the configuration from the platform's table."""

from collections.abc import Callable, Iterator
from itertools import takewhile

import gevent

from toucanspool.backing.table import Row, Table
from toucanspool.config.failures import ChangesPruned, TornRead
from toucanspool.config.records import Change, Record
from toucanspool.config.rows import (
    CHANGE_PREFIX,
    RECORD_PREFIX,
    REVISION_KEY,
    change_key,
    decode_change_row,
    decode_record_row,
    decode_revision,
)
from toucanspool.config.view import View

PAGE_ROWS = 1000
SLICE_ROWS = 200
LOAD_ATTEMPTS = 4


class ConfigReader:
    """Read the configuration and its changes, without any state of its own.

    Parameters
    ----------
    table : Table
        The platform's table.
    pause : callable, default=gevent.sleep
        Yields to other greenlets; called after each slice of rows.
    """

    def __init__(
        self, table: Table, *, pause: Callable[[], None] = gevent.sleep
    ) -> None:
        self._table = table
        self._pause = pause

    def revision(self) -> int:
        """Return the latest accepted revision; 0 before the first change.

        Returns
        -------
        int

        Raises
        ------
        TableUnavailable
            The table did not answer.
        """
        return decode_revision(self._table.get([REVISION_KEY]).get(REVISION_KEY))

    def load(self) -> View:
        """Return the whole configuration at one revision.

        Rows are read in pages, and operators may change them meanwhile. Changes
        that were accepted between the first and the last read are then applied on
        top, so that the result is consistent at the revision of the last read.

        Returns
        -------
        View

        Raises
        ------
        TornRead
            Changes were pruned before they could be read, in every attempt.
        TableUnavailable
            The table did not answer.
        """
        for _ in range(LOAD_ATTEMPTS):
            start = self.revision()
            records = self._read_records()
            newest = self.revision()
            try:
                return self._replay(records, start, newest)
            except ChangesPruned:
                continue
        raise TornRead

    def changes_after(self, revision: int, limit: int = PAGE_ROWS) -> list[Change]:
        """Return consecutive changes after a revision.

        Parameters
        ----------
        revision : int
            The last revision that the caller has.
        limit : int, default=1000
            Maximum number of changes.

        Returns
        -------
        list of Change
            Sorted by revision without gaps; empty if there are none.

        Raises
        ------
        ChangesPruned
            The next change has been pruned.
        TableUnavailable
            The table did not answer.
        """
        rows = self._table.scan(CHANGE_PREFIX, after=change_key(revision), limit=limit)
        rows = self._fill_gaps(rows, revision)
        return [decode_change_row(row) for row in self._in_slices(rows)]

    def history(self, limit: int = 50) -> list[Change]:
        """Return the latest changes, newest first.

        Parameters
        ----------
        limit : int, default=50
            Maximum number of changes.

        Returns
        -------
        list of Change
            Fewer than `limit` if older changes have been pruned.

        Raises
        ------
        TableUnavailable
            The table did not answer.
        """
        newest = self.revision()
        after = change_key(max(0, newest - limit))
        rows = self._table.scan(CHANGE_PREFIX, after=after, limit=limit)
        return [decode_change_row(row) for row in reversed(rows)]

    def change(self, revision: int) -> Change | None:
        """Return one change, or None if it does not exist or has been pruned.

        Parameters
        ----------
        revision : int
            The change's revision.

        Returns
        -------
        Change or None

        Raises
        ------
        TableUnavailable
            The table did not answer.
        """
        key = change_key(revision)
        row = self._table.get([key]).get(key)
        return decode_change_row(row) if row else None

    def catch_up(self, view: View, revision: int) -> None:
        """Bring a view forward to a revision.

        Parameters
        ----------
        view : View
            The view, which is modified in place.
        revision : int
            Target revision; a view that has reached it stays as it is.

        Raises
        ------
        ChangesPruned
            Changes that are needed have been pruned.
        TableUnavailable
            The table did not answer.
        """
        while view.revision < revision:
            missing = revision - view.revision
            changes = self.changes_after(view.revision, min(PAGE_ROWS, missing))
            if not changes:
                raise ChangesPruned(view.revision, revision)
            for change in changes:
                view.apply(change)

    def _read_records(self) -> list[Record]:
        records = []
        after = ""
        while True:
            rows = self._table.scan(RECORD_PREFIX, after=after, limit=PAGE_ROWS)
            decoded = (decode_record_row(row).record for row in self._in_slices(rows))
            records.extend(record for record in decoded if record is not None)
            if len(rows) < PAGE_ROWS:
                return records
            after = rows[-1].key

    def _in_slices(self, rows: list[Row]) -> Iterator[Row]:
        for count, row in enumerate(rows, 1):
            yield row
            if not count % SLICE_ROWS:
                self._pause()

    def _replay(self, records: list[Record], start: int, newest: int) -> View:
        view = View(revision=start, records=records)
        self.catch_up(view, newest)
        return view

    def _fill_gaps(self, rows: list[Row], revision: int) -> list[Row]:
        # A scan is not a snapshot: it may miss a row that is written behind its
        # position and still return a later one.
        expected = [change_key(revision + n) for n in range(1, len(rows) + 1)]
        found = {row.key: row for row in rows}
        missing = [key for key in expected if key not in found]
        if not missing:
            return rows
        found.update(self._table.get(missing))
        if expected[0] not in found:
            raise ChangesPruned(revision, int(rows[0].key.removeprefix(CHANGE_PREFIX)))
        consecutive = takewhile(lambda key: key in found, expected)
        return [found[key] for key in consecutive]

"""The configuration as read from the platform's table."""

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
    """Read the configuration and its changes; keeps nothing between calls.

    Parameters
    ----------
    table : Table
        The platform's table.
    pause : callable, default=gevent.sleep
        Lets others run; called between slices of the work.
    """

    def __init__(
        self, table: Table, *, pause: Callable[[], None] = gevent.sleep
    ) -> None:
        self._table = table
        self._pause = pause

    def revision(self) -> int:
        """Return the newest revision accepted; 0 before the first.

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

        Rows are read page by page while operators may go on changing them. Each
        change accepted between the first and the last read is applied on top,
        so that the result is the configuration at the last read's revision.

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
        for _ in range(LOAD_ATTEMPTS):
            start = self.revision()
            records = self._records()
            newest = self.revision()
            try:
                return self._replay(records, start, newest)
            except ChangesPruned:
                continue
        raise TornRead

    def changes_after(self, revision: int, limit: int = PAGE_ROWS) -> list[Change]:
        """Return the changes that follow a revision, without gaps.

        Parameters
        ----------
        revision : int
            The last revision known.
        limit : int, default=1000
            The most changes returned.

        Returns
        -------
        list of Change
            In order of revision; empty if there is none.

        Raises
        ------
        ChangesPruned
            The next change is no longer kept.
        TableUnavailable
            The table did not answer.
        """
        rows = self._table.scan(CHANGE_PREFIX, after=change_key(revision), limit=limit)
        rows = self._without_gaps(rows, revision)
        return [decode_change_row(row) for row in self._slowly(rows)]

    def history(self, limit: int = 50) -> list[Change]:
        """Return the latest changes, newest first.

        Parameters
        ----------
        limit : int, default=50
            The most changes returned.

        Returns
        -------
        list of Change
            Fewer where older changes are no longer kept.

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
        """Return one change, or None where it is not kept.

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
        """Apply the changes up to a revision to a view.

        Parameters
        ----------
        view : View
            The view, which is changed.
        revision : int
            The revision wanted; nothing is done if the view has it.

        Raises
        ------
        ChangesPruned
            Changes needed are no longer kept.
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

    def _records(self) -> list[Record]:
        records = []
        after = ""
        while True:
            rows = self._table.scan(RECORD_PREFIX, after=after, limit=PAGE_ROWS)
            held = (decode_record_row(row).record for row in self._slowly(rows))
            records.extend(record for record in held if record is not None)
            if len(rows) < PAGE_ROWS:
                return records
            after = rows[-1].key

    def _slowly(self, rows: list[Row]) -> Iterator[Row]:
        for number, row in enumerate(rows, 1):
            yield row
            if not number % SLICE_ROWS:
                self._pause()

    def _replay(self, records: list[Record], start: int, newest: int) -> View:
        view = View(revision=start, records=records)
        self.catch_up(view, newest)
        return view

    def _without_gaps(self, rows: list[Row], revision: int) -> list[Row]:
        # A scan need not read all rows at one moment: it may miss a row that was
        # written behind it and see the next.
        wanted = [change_key(revision + n) for n in range(1, len(rows) + 1)]
        have = {row.key: row for row in rows}
        missing = [key for key in wanted if key not in have]
        if not missing:
            return rows
        have.update(self._table.get(missing))
        if wanted[0] not in have:
            raise ChangesPruned(revision, int(rows[0].key.removeprefix(CHANGE_PREFIX)))
        filled = takewhile(lambda key: key in have, wanted)
        return [have[key] for key in filled]

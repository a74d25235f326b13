"""Registration of a gateway among the entries, in the platform's store."""

from collections.abc import Iterable

import gevent
import structlog

from toucanspool.backing.table import Row, Table, TableError, Write
from toucanspool.membership.entries import ENTRY_PREFIX, EntryRecord

RETRY_S = 0.5

_log = structlog.get_logger()


class Registration:
    """Keep the record of one entry in the store.

    Parameters
    ----------
    table : Table
        Holds the records of all entries.
    record : EntryRecord
        The entry's own record.
    """

    __slots__ = ("_key", "_record", "_table", "_task", "_withdrawn")

    def __init__(self, table: Table, record: EntryRecord) -> None:
        self._table = table
        self._record = record
        self._key = ENTRY_PREFIX + record.name
        self._task: gevent.Greenlet | None = None
        self._withdrawn = False

    def stop(self) -> None:
        """Stop writing the record."""
        if self._task is not None:
            self._task.kill()

    def check(self, rows: Iterable[Row]) -> None:
        """Write the record in the background if a complete list of records lacks it.

        This is so at the start, and when the store has come back from an older copy of
        itself. A restarted entry keeps its record, so that its restart is no news for
        the readers of all records.

        Parameters
        ----------
        rows : iterable of Row
            All rows of entries.
        """
        if self._withdrawn or (self._task is not None and not self._task.ready()):
            return
        values = {row.key: row.value for row in rows}
        if values.get(self._key) != self._record.encode():
            self._task = gevent.spawn(self._write_until_done)

    def check_deleted(self, keys: Iterable[str]) -> None:
        """Write the record again if it is among deleted ones.

        A deletion by an earlier process of this entry may be carried out late.

        Parameters
        ----------
        keys : iterable of str
            Keys of deleted rows.
        """
        if self._key in keys:
            self.check([])

    def withdraw(self) -> None:
        """Delete the record; a failure is logged."""
        self._withdrawn = True
        self.stop()
        self._try_write(None)

    def _write_until_done(self) -> None:
        while not self._try_write(self._record.encode()):
            gevent.sleep(RETRY_S)

    def _try_write(self, value: bytes | None) -> bool:
        try:
            self._table.commit([], [Write(self._key, value)])
        except TableError as exc:
            _log.warning("entry record not written", error=repr(exc))
            return False
        return True

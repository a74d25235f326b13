"""A row that a process keeps in a table, which may lose it."""

from collections.abc import Iterable

import gevent
import structlog

from toucanspool.backing.table import Row, Table, TableError, Write

RETRY_S = 0.5

_log = structlog.get_logger()


class OwnRow:
    """Keep one row of this process in a table.

    Parameters
    ----------
    table : Table
        Holds the row.
    key : str
        Key of the row.
    value : bytes or None, default=None
        Its content; None until there is something to write.
    """

    __slots__ = ("_key", "_table", "_task", "_withdrawn", "value")

    def __init__(self, table: Table, key: str, value: bytes | None = None) -> None:
        self._table = table
        self._key = key
        self._task: gevent.Greenlet | None = None
        self._withdrawn = False
        self.value = value

    def stop(self) -> None:
        """Stop writing the row."""
        if self._task is not None:
            self._task.kill()

    def write(self, value: bytes) -> None:
        """Change the content, and write it in the background.

        Parameters
        ----------
        value : bytes
            The new content.
        """
        self.value = value
        self._start_writing()

    def check(self, rows: Iterable[Row]) -> None:
        """Write the row in the background if a complete list of rows lacks it.

        This is so at the start, and when the table has come back from an older copy of
        itself. A restarted entry keeps its row, so that its restart is no news for
        the readers of all rows.

        Parameters
        ----------
        rows : iterable of Row
            All rows of the table.
        """
        values = {row.key: row.value for row in rows}
        if values.get(self._key) != self.value:
            self._start_writing()

    def check_deleted(self, keys: Iterable[str]) -> None:
        """Write the row again if it is among deleted ones.

        A deletion by an earlier process of this entry may be carried out late.

        Parameters
        ----------
        keys : iterable of str
            Keys of deleted rows.
        """
        if self._key in keys:
            self.check([])

    def withdraw(self) -> None:
        """Delete the row, and try again until that succeeds; failures are logged.

        A row that stays is read by processes that start later, which don't know that
        this one has left.
        """
        self._withdrawn = True
        if self._task is not None:
            # The table may carry out a write that is under way after the deletion.
            self._task.join()
        while not self._try_write(None):
            gevent.sleep(RETRY_S)

    def _start_writing(self) -> None:
        writing = self._task is not None and not self._task.ready()
        if self.value is not None and not self._withdrawn and not writing:
            self._task = gevent.spawn(self._write_until_done)

    def _write_until_done(self) -> None:
        written = None
        while written != self.value and not self._withdrawn:
            value = self.value
            if self._try_write(value):
                written = value
            elif not self._withdrawn:
                gevent.sleep(RETRY_S)

    def _try_write(self, value: bytes | None) -> bool:
        try:
            self._table.commit([], [Write(self._key, value)])
        except TableError as exc:
            _log.warning("own row not written", key=self._key, error=repr(exc))
            return False
        return True

"""Rows of the entries: their records, and the crashes that they report."""

from toucanspool.membership.entries import Entries
from toucanspool.membership.entry_record import ENTRY_PREFIX
from toucanspool.platform.registration import Registration
from toucanspool.recovery.feed import Changes
from toucanspool.retries.crash_exchange import CrashExchange


class EntryRows:
    """Apply the rows of the table that all entries write.

    Parameters
    ----------
    entries : Entries
        The listed entries.
    registration : Registration
        This entry's own record, which is written again where it is missing.
    crash_exchange : CrashExchange
        Crashes that the entries report.
    """

    __slots__ = ("_crash_exchange", "_entries", "_registration")

    def __init__(
        self,
        entries: Entries,
        registration: Registration,
        crash_exchange: CrashExchange,
    ) -> None:
        self._entries = entries
        self._registration = registration
        self._crash_exchange = crash_exchange

    def replace(self, changes: Changes) -> None:
        """Apply a snapshot of the table.

        Parameters
        ----------
        changes : Changes
            All rows of the table.
        """
        entries = [row for row in changes.rows if row.key.startswith(ENTRY_PREFIX)]
        self._entries.replace(entries)
        self._registration.check(entries)
        self._crash_exchange.replace(changes.rows)

    def update(self, changes: Changes) -> None:
        """Apply changes of the table.

        Parameters
        ----------
        changes : Changes
            Changed and deleted rows of the table.
        """
        for row in changes.rows:
            if row.key.startswith(ENTRY_PREFIX):
                self._entries.put(row)
        self._crash_exchange.update(changes.rows)
        for key in changes.deleted:
            self._entries.drop(key)
        self._registration.check_deleted(changes.deleted)

"""Registration of a gateway among the entries, in the platform's store."""

from toucanspool.backing.table import Table
from toucanspool.membership.entry_record import ENTRY_PREFIX, EntryRecord
from toucanspool.membership.own_row import OwnRow


class Registration(OwnRow):
    """Keep the record of one entry in the store.

    Parameters
    ----------
    table : Table
        Holds the records of all entries.
    record : EntryRecord
        The entry's own record.
    """

    __slots__ = ()

    def __init__(self, table: Table, record: EntryRecord) -> None:
        super().__init__(table, ENTRY_PREFIX + record.name, record.encode())

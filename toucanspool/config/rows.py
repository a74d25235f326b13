"""Keys and formats of the configuration's rows in the platform's table."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import orjson
from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass as pydantic_dataclass

from toucanspool.backing.checked_values import DECODING_ERRORS, integer
from toucanspool.backing.table import Row, TableUnavailable
from toucanspool.config.match import FORBID_EXTRA
from toucanspool.config.records import BadRecord, Change, Record, decode_change

REVISION_KEY = "config/revision"
CHANGE_PREFIX = "config/change/"
RECORD_PREFIX = "config/record/"
CHANGE_ID_PREFIX = "config/change-id/"
REVISION_DIGITS = 12
KEPT_CHANGES = 4096


class UnreadableConfig(TableUnavailable):
    """Report a row of the configuration that can't be decoded.

    Changes hold only in their order, so nothing after it can be read. Readers go on
    with what they have, as in an outage.
    """


@dataclass(slots=True, frozen=True, order=True)
class RecordKey:
    """Identify a record.

    Parameters
    ----------
    kind : str
        Kind of the record.
    name : str
        Name of the record.
    """

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind} {self.name}"


@pydantic_dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class RecordRow:
    """Store a record with the change that last modified it.

    Parameters
    ----------
    revision : int
        Revision of that change.
    operator : str
        Name of the operator who made it.
    record : Record or None
        None is a tombstone: it lets later proposals detect the removal.
    """

    revision: int
    operator: str
    record: Record | None


@pydantic_dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class ChangeIdRow:
    """Store the result of a change id, to answer repeated calls.

    Parameters
    ----------
    revision : int
        Revision of the change.
    operator : str
        Name of the operator who made it.
    at : float
        When it was accepted, in seconds since the epoch.
    sentence : str
        Description of the change.
    fingerprint : str
        Hash of the proposal, to tell a repeated call from another change with the
        same id.
    """

    revision: int
    operator: str
    at: float
    sentence: str
    fingerprint: str


_RECORD_ROW = TypeAdapter(RecordRow)
_CHANGE_ID_ROW = TypeAdapter(ChangeIdRow)


def change_key(revision: int) -> str:
    """Return the key of a change's row.

    Parameters
    ----------
    revision : int
        The change's revision.

    Returns
    -------
    str
    """
    return f"{CHANGE_PREFIX}{revision:0{REVISION_DIGITS}d}"


def record_key(key: RecordKey) -> str:
    """Return the key of a record's row.

    Parameters
    ----------
    key : RecordKey
        Kind and name of the record.

    Returns
    -------
    str
    """
    return f"{RECORD_PREFIX}{key.kind}/{key.name}"


def change_id_key(change_id: str) -> str:
    """Return the key of a change id's row.

    Parameters
    ----------
    change_id : str
        Idempotency key of the change.

    Returns
    -------
    str
    """
    return f"{CHANGE_ID_PREFIX}{change_id}"


def decode_revision(row: Row | None) -> int:
    """Return the latest revision from the counter's row.

    Parameters
    ----------
    row : Row or None
        Row of `REVISION_KEY`; None is revision 0.

    Returns
    -------
    int

    Raises
    ------
    UnreadableConfig
        The row holds no revision.
    """
    if row is None:
        return 0
    with _decoding(row):
        return integer(int(row.value), high=10**REVISION_DIGITS - 1)


def decode_record_row(row: Row) -> RecordRow:
    """Decode the row of a record.

    Parameters
    ----------
    row : Row
        Row as read from the table.

    Returns
    -------
    RecordRow

    Raises
    ------
    UnreadableConfig
        The row has another format.
    """
    with _decoding(row):
        return _RECORD_ROW.validate_json(row.value)


def decode_change_id_row(row: Row) -> ChangeIdRow:
    """Decode the row of a change id.

    Parameters
    ----------
    row : Row
        Row as read from the table.

    Returns
    -------
    ChangeIdRow

    Raises
    ------
    UnreadableConfig
        The row has another format.
    """
    with _decoding(row):
        return _CHANGE_ID_ROW.validate_json(row.value)


def decode_change_row(row: Row) -> Change:
    """Decode the row of a change.

    Parameters
    ----------
    row : Row
        Row as read from the table.

    Returns
    -------
    Change

    Raises
    ------
    UnreadableConfig
        The row has another format.
    """
    with _decoding(row):
        return decode_change(row.value)


def encode_row(value: RecordRow | ChangeIdRow) -> bytes:
    """Encode the content of a row as JSON.

    Parameters
    ----------
    value : RecordRow or ChangeIdRow
        Content of the row.

    Returns
    -------
    bytes
    """
    return orjson.dumps(value)


@contextmanager
def _decoding(row: Row) -> Iterator[None]:
    try:
        yield
    except (*DECODING_ERRORS, BadRecord) as exc:
        raise UnreadableConfig(f"{row.key} can't be read: {exc!r:.200}") from exc

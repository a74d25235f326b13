"""Rows in which the platform's table keeps the configuration."""

from dataclasses import dataclass

import orjson
from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass as pydantic_dataclass

from toucanspool.backing.table import Row
from toucanspool.config.match import FORBID_EXTRA
from toucanspool.config.records import Change, Record, decode_change

REVISION_KEY = "config/revision"
CHANGE_PREFIX = "config/change/"
RECORD_PREFIX = "config/record/"
CHANGE_ID_PREFIX = "config/change-id/"
REVISION_DIGITS = 12
KEPT_CHANGES = 4096


@dataclass(slots=True, frozen=True, order=True)
class RecordKey:
    """Name a record.

    Parameters
    ----------
    kind : str
        Kind of the record.
    name : str
        Its name.
    """

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind} {self.name}"


@pydantic_dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class RecordRow:
    """Hold a record with the change that last touched it.

    Parameters
    ----------
    revision : int
        Revision of that change.
    operator : str
        Who made it.
    record : Record or None
        None after a removal, so that a late write still sees the removal.
    """

    revision: int
    operator: str
    record: Record | None


@pydantic_dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class ChangeIdRow:
    """Hold the outcome of a change id for a repeated call.

    Parameters
    ----------
    revision : int
        Revision of the change.
    operator : str
        Who made it.
    at : float
        Seconds since the epoch.
    sentence : str
        The change's sentence.
    fingerprint : str
        Hash of the content, to tell a repeat from another change.
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
        The record.

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
        The change id.

    Returns
    -------
    str
    """
    return f"{CHANGE_ID_PREFIX}{change_id}"


def decode_revision(row: Row | None) -> int:
    """Return the revision in the counter's row; 0 without a row.

    Parameters
    ----------
    row : Row or None
        The row.

    Returns
    -------
    int
    """
    return int(row.value) if row else 0


def decode_record_row(row: Row) -> RecordRow:
    """Return what a record's row holds.

    Parameters
    ----------
    row : Row
        The row.

    Returns
    -------
    RecordRow

    Raises
    ------
    pydantic.ValidationError
        The row was written by something else.
    """
    return _RECORD_ROW.validate_json(row.value)


def decode_change_id_row(row: Row) -> ChangeIdRow:
    """Return what a change id's row holds.

    Parameters
    ----------
    row : Row
        The row.

    Returns
    -------
    ChangeIdRow

    Raises
    ------
    pydantic.ValidationError
        The row was written by something else.
    """
    return _CHANGE_ID_ROW.validate_json(row.value)


def decode_change_row(row: Row) -> Change:
    """Return the change in a change's row.

    Parameters
    ----------
    row : Row
        The row.

    Returns
    -------
    Change

    Raises
    ------
    BadRecord
        The row was written by something else.
    """
    return decode_change(row.value)


def encode_row(value: RecordRow | ChangeIdRow) -> bytes:
    """Return the JSON of a row's content.

    Parameters
    ----------
    value : RecordRow or ChangeIdRow
        The content.

    Returns
    -------
    bytes
    """
    return orjson.dumps(value)

"""Decoding of the project's own records, which rows store as JSON."""

from collections.abc import Callable
from typing import Any, Protocol, TypeVar

import orjson
import structlog

from toucanspool.backing.checked_values import DECODING_ERRORS, brief
from toucanspool.backing.table import Row


class NamedRecord(Protocol):
    """Hold a record that names its writer."""

    @property
    def name(self) -> str:
        """Return the name of the process that has written the record."""
        ...


Record = TypeVar("Record")
Named = TypeVar("Named", bound=NamedRecord)

_log = structlog.get_logger()


def read_json(
    row: Row, decode: Callable[[Any], Record], *, error_event: str
) -> Record | None:
    """Decode the record in a row.

    Parameters
    ----------
    row : Row
        The row.
    decode : callable
        Creates the record from the parsed JSON.
    error_event : str
        Name of the log event for an invalid record.

    Returns
    -------
    Record or None
        None if the record is invalid.
    """
    try:
        return decode(orjson.loads(row.value))
    except DECODING_ERRORS as exc:
        _log.warning(error_event, key=row.key, error=repr(exc))
        return None


def read_own_json(
    row: Row, prefix: str, decode: Callable[[Any], Named], *, error_event: str
) -> Named | None:
    """Decode a record that a process writes under its own name.

    Parameters
    ----------
    row : Row
        The row.
    prefix : str
        Prefix of the keys of such records, before the name.
    decode : callable
        As for `read_json`.
    error_event : str
        As for `read_json`.

    Returns
    -------
    NamedRecord or None
        None if the record is invalid, or has the name of another process. A deletion
        of such a row would not remove what the record has added.
    """

    def decode_own(data: Any) -> Named:
        record = decode(data)
        if prefix + record.name != row.key:
            raise ValueError(f"the record names {brief(record.name)}")
        return record

    return read_json(row, decode_own, error_event=error_event)

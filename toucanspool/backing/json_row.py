"""Decoding of the project's own records, which rows store as JSON."""

from collections.abc import Callable
from typing import Any, TypeVar

import orjson
import structlog

from toucanspool.backing.checked_values import DECODING_ERRORS
from toucanspool.backing.table import Row

Record = TypeVar("Record")

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

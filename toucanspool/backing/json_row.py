"""Records of our own that stand as JSON in a row."""

from collections.abc import Callable
from typing import Any, TypeVar

import orjson
import structlog

from toucanspool.backing.table import Row

Record = TypeVar("Record")

_log = structlog.get_logger()


def read_json(
    row: Row, make: Callable[[Any], Record], *, unreadable: str
) -> Record | None:
    """Return the record in a row, or None where it can't be read.

    Parameters
    ----------
    row : Row
        The row.
    make : callable
        Takes the decoded JSON and returns the record.
    unreadable : str
        The event that is logged where there is no such record.

    Returns
    -------
    Record or None
    """
    try:
        return make(orjson.loads(row.value))
    except (ValueError, KeyError, TypeError) as exc:
        _log.warning(unreadable, key=row.key, error=repr(exc))
        return None

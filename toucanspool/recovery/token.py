"""The token of a duty's holder, raised by a commit with each election."""

import orjson
import structlog

from toucanspool.backing.table import (
    Check,
    Row,
    Table,
    TableConflict,
    TableError,
    Write,
)

PREFIX = "duty/"

_log = structlog.get_logger()


def token_of(row: Row | None) -> int:
    """Return the token in a duty's row; 0 where there is none that can be read.

    Parameters
    ----------
    row : Row or None
        The row.

    Returns
    -------
    int
    """
    if row is None:
        return 0
    try:
        return int(orjson.loads(row.value)["token"])
    except (ValueError, KeyError, TypeError) as exc:
        _log.error("unreadable duty", key=row.key, error=repr(exc))
        return 0


def held_token(table: Table, duty: str) -> int:
    """Return the token of a duty's holder; 0 before the first.

    Parameters
    ----------
    table : Table
        Where the row is.
    duty : str
        The duty.

    Returns
    -------
    int

    Raises
    ------
    TableError
        The table did not answer.
    """
    key = PREFIX + duty
    return token_of(table.get([key]).get(key))


def elect(table: Table, duty: str, holder: str, *, above: int) -> int | None:
    """Make a process the holder of a duty.

    Nobody is asked: who is replaced finds out by its old token being refused. No
    clock is compared.

    Parameters
    ----------
    table : Table
        Where the row is.
    duty : str
        The duty.
    holder : str
        The process, for the record.
    above : int
        The token must be higher than this one, too.

    Returns
    -------
    int or None
        The new token; None where another was elected, or the table did not answer.
    """
    key = PREFIX + duty
    try:
        row = table.get([key]).get(key)
        token = max(token_of(row), above) + 1
        value = orjson.dumps({"holder": holder, "token": token})
        check = Check(key, row.version if row else 0)
        table.commit([check], [Write(key, value)])
    except TableConflict:
        return None
    except TableError as exc:
        _log.warning("not elected", duty=duty, error=repr(exc))
        return None
    _log.info("elected", duty=duty, token=token)
    return token

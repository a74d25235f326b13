"""The token of a duty's holder, raised by a commit with each election."""

from dataclasses import dataclass

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
    return _last(table.get([key]).get(key)).token


@dataclass(slots=True, frozen=True)
class Election:
    """Hold what an election gave.

    Parameters
    ----------
    token : int
        Higher than any before.
    before : str
        The holder before; empty for none.
    """

    token: int
    before: str


def elect(table: Table, duty: str, holder: str, *, above: int) -> Election | None:
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
    Election or None
        None where another was elected, or the table did not answer.
    """
    key = PREFIX + duty
    try:
        row = table.get([key]).get(key)
        last = _last(row)
        token = max(last.token, above) + 1
        value = orjson.dumps({"holder": holder, "token": token})
        check = Check(key, row.version if row else 0)
        table.commit([check], [Write(key, value)])
    except TableConflict:
        return None
    except TableError as exc:
        _log.warning("not elected", duty=duty, error=repr(exc))
        return None
    _log.info("elected", duty=duty, token=token, before=last.before)
    return Election(token, last.before)


def _last(row: Row | None) -> Election:
    """Return token and holder of a duty's row."""
    if row is None:
        return Election(0, "")
    try:
        data = orjson.loads(row.value)
        return Election(int(data["token"]), str(data["holder"]))
    except (ValueError, KeyError, TypeError) as exc:
        _log.error("unreadable duty", key=row.key, error=repr(exc))
        return Election(0, "")

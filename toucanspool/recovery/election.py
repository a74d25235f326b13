"""Leader election for a duty, by a token that each election raises."""

from dataclasses import dataclass

import orjson
import structlog

from toucanspool.backing.checked_values import DECODING_ERRORS, integer, text
from toucanspool.backing.table import (
    Check,
    Row,
    Table,
    TableConflict,
    TableError,
    Write,
)

DUTY_PREFIX = "duty/"
# Each era of the table has its own range of tokens, above those of earlier eras. So a
# token that was issued by a commit that the table has lost is never issued again.
TOKENS_PER_ERA = 1 << 20
# Orders carry tokens as 64-bit integers, so a higher one could not be raised for long.
MAX_TOKEN = 1 << 53

_log = structlog.get_logger()


def current_token(table: Table, duty: str) -> int:
    """Return the lowest token of which a duty's holder may be sure.

    This is the token of the last election. If the table has lost commits since, that
    election may not be the last one, and only holders that are elected in the new era
    are sure.

    Parameters
    ----------
    table : Table
        Table that holds the row.
    duty : str
        Name of the duty.

    Returns
    -------
    int

    Raises
    ------
    TableError
        The table did not answer.
    """
    key = DUTY_PREFIX + duty
    last = _read_election(table.get([key]).get(key))
    return max(last.token, table.era * TOKENS_PER_ERA)


@dataclass(slots=True, frozen=True)
class Election:
    """Hold the result of an election.

    Parameters
    ----------
    token : int
        Fencing token, higher than that of any earlier election.
    previous_holder : str
        Previous holder; empty if there was none.
    previous_token : int
        Token of the previous holder; 0 if there was none.
    """

    token: int
    previous_holder: str
    previous_token: int = 0


def elect(table: Table, duty: str, holder: str, *, above: int) -> Election | None:
    """Make a process the holder of a duty.

    The current holder isn't asked: it finds out when its older token is refused. No
    clocks are compared.

    Parameters
    ----------
    table : Table
        Table that holds the row.
    duty : str
        Name of the duty.
    holder : str
        Name of the process, stored in the row.
    above : int
        Highest token that the process knows of; the new token is higher.

    Returns
    -------
    Election or None
        None if another process was elected, or the table did not answer.
    """
    key = DUTY_PREFIX + duty
    try:
        row = table.get([key]).get(key)
        last = _read_election(row)
        token = max(last.token, above, table.era * TOKENS_PER_ERA) + 1
        value = orjson.dumps({"holder": holder, "token": token})
        check = Check(key, row.version if row else 0)
        table.commit([check], [Write(key, value)])
    except TableConflict:
        return None
    except TableError as exc:
        _log.warning("election failed", duty=duty, error=repr(exc))
        return None
    _log.info("elected", duty=duty, token=token, before=last.previous_holder)
    return Election(token, last.previous_holder, last.token)


def _read_election(row: Row | None) -> Election:
    """Return the last election recorded in a duty's row."""
    if row is None:
        return Election(0, "")
    try:
        data = orjson.loads(row.value)
        return Election(integer(data["token"], 0, MAX_TOKEN), text(data["holder"]))
    except DECODING_ERRORS as exc:
        _log.error("unreadable duty row", key=row.key, error=repr(exc))
        return Election(0, "")

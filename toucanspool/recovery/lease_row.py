"""The row of a lease."""

from dataclasses import dataclass

import orjson
from pydantic import TypeAdapter, ValidationError

from toucanspool.backing.table import Row, TableError


class BadLease(TableError):
    """Report a row that this version can't read."""


@dataclass(slots=True, frozen=True)
class LeaseRow:
    """Hold the content of a lease's row.

    Parameters
    ----------
    holder : str
        Identity of the holder; empty where nobody holds the lease.
    token : int
        Fencing token of the last holder.
    beat : int
        Count of the holder's writes.
    """

    holder: str
    token: int
    beat: int


_LEASE = TypeAdapter(LeaseRow)
_NOBODY = LeaseRow("", 0, 0)


def encode_lease(lease: LeaseRow) -> bytes:
    """Return a lease as JSON.

    Parameters
    ----------
    lease : LeaseRow
        The content.

    Returns
    -------
    bytes
    """
    return orjson.dumps(lease)


def decode_lease(row: Row | None) -> LeaseRow:
    """Return the content of a lease's row.

    Parameters
    ----------
    row : Row or None
        The row; None is a lease that nobody held yet.

    Returns
    -------
    LeaseRow

    Raises
    ------
    BadLease
        The row can't be read.
    """
    if row is None:
        return _NOBODY
    try:
        return _LEASE.validate_json(row.value)
    except ValidationError as exc:
        raise BadLease(str(exc)) from exc

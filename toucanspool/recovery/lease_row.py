"""Content and encoding of a lease's row."""

from dataclasses import dataclass
from typing import Annotated

import orjson
from pydantic import Field, TypeAdapter, ValidationError

from toucanspool.backing.table import Row, TableError

# Each holder raises the token, and its orders carry it as a 64-bit integer.
_COUNT = Field(ge=0, lt=1 << 62)


class BadLease(TableError):
    """Report a lease row that this version can't read."""


@dataclass(slots=True, frozen=True)
class LeaseRow:
    """Hold the content of a lease's row.

    Parameters
    ----------
    holder : str
        Identifier of the holder; empty if no process holds the lease.
    token : int
        Fencing token of the last holder.
    beat : int
        Number of the holder's writes, so that no two of them are equal.
    """

    holder: str
    token: Annotated[int, _COUNT]
    beat: Annotated[int, _COUNT]


_LEASE_ADAPTER = TypeAdapter(LeaseRow)
_UNHELD = LeaseRow("", 0, 0)


def encode_lease(lease: LeaseRow) -> bytes:
    """Return a lease as JSON.

    Parameters
    ----------
    lease : LeaseRow
        Content of the row.

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
        The row; None if the lease was never held.

    Returns
    -------
    LeaseRow

    Raises
    ------
    BadLease
        The row can't be read.
    """
    if row is None:
        return _UNHELD
    try:
        return _LEASE_ADAPTER.validate_json(row.value)
    except ValidationError as exc:
        raise BadLease(str(exc)) from exc

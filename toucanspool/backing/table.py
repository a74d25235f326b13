"""The interface to the platform's transactional table.

`Table` is implemented by the HTTP clients and by fakes. Each failure of a commit
states whether the commit may have taken effect, because the guarantees of the
project depend on that difference.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True, frozen=True)
class Row:
    """Hold a row and the version at which it was read.

    Parameters
    ----------
    key : str
        Key of the row.
    value : bytes
        Content of the row.
    version : int
        Number of the commit that last wrote the row, from 1; grows with each write.
    """

    key: str
    value: bytes
    version: int


@dataclass(slots=True, frozen=True)
class Check:
    """Require that a row has a certain version when a commit takes effect.

    Parameters
    ----------
    key : str
        Key of the row.
    version : int
        The expected version; 0 if the row must not exist.
    """

    key: str
    version: int


@dataclass(slots=True, frozen=True)
class Write:
    """Set or delete a row.

    Parameters
    ----------
    key : str
        Key of the row.
    value : bytes or None
        The new content; None deletes the row.
    """

    key: str
    value: bytes | None


class TableError(Exception):
    """Base class of errors of the table."""


class TableConflict(TableError):
    """Report that checks failed and nothing was written.

    Parameters
    ----------
    keys : sequence of str
        All keys whose checks failed.
    """

    def __init__(self, keys: Sequence[str]) -> None:
        super().__init__(f"rows changed meanwhile: {', '.join(keys)}")
        self.keys = tuple(keys)


class TableUnavailable(TableError):
    """Report that a request did not reach the table, so that nothing was written."""


class TableThrottled(TableUnavailable):
    """Report that the table refused a request because of a rate limit."""


class TableUncertain(TableError):
    """Report that a commit got no response and may or may not have taken effect."""


class Table(Protocol):
    """Read rows and commit transactions.

    Attributes
    ----------
    era : int
        Rises each time the table comes back from an older copy of itself, without
        the last commits that it had acknowledged. Versions count only within one
        era.
    """

    era: int

    def get(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the existing rows among `keys` as one consistent snapshot.

        Parameters
        ----------
        keys : sequence of str
            The requested keys.

        Returns
        -------
        mapping of str to Row
            Only the rows that exist.

        Raises
        ------
        TableUnavailable
            The table did not respond or refused the request.
        """
        ...

    def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows by key prefix, sorted by key.

        Parameters
        ----------
        prefix : str
            Common prefix of the keys.
        after : str, default=""
            Return only keys greater than this one.
        limit : int, default=1000
            Maximum number of rows.

        Returns
        -------
        list of Row

        Raises
        ------
        TableUnavailable
            The table did not respond or refused the request.
        """
        ...

    def commit(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        """Apply all writes atomically if all checks hold.

        Parameters
        ----------
        checks : sequence of Check
            Versions that rows must have.
        writes : sequence of Write
            Rows to set or delete.

        Returns
        -------
        int
            The new version of the written rows.

        Raises
        ------
        TableConflict
            A check failed; nothing was written.
        TableUnavailable
            The request did not reach the table; nothing was written.
        TableUncertain
            The response was lost; the writes may have taken effect.
        """
        ...

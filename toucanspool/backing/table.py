"""The platform's transactional table, as the project needs it.

`Table` is the narrow interface; adapters and fakes implement it. Every failure
of a commit says whether it may have taken effect, since the promises of the
project rest on that difference.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True, frozen=True)
class Row:
    """Hold one row as read.

    Parameters
    ----------
    key : str
        The row's key.
    value : bytes
        The row's content.
    version : int
        Number of the commit that wrote the row, from 1; grows with each write.
    """

    key: str
    value: bytes
    version: int


@dataclass(slots=True, frozen=True)
class Check:
    """Demand that a row is still at a version when a commit takes effect.

    Parameters
    ----------
    key : str
        The row's key.
    version : int
        The version expected; 0 demands that the row is absent.
    """

    key: str
    version: int


@dataclass(slots=True, frozen=True)
class Write:
    """Set or delete a row.

    Parameters
    ----------
    key : str
        The row's key.
    value : bytes or None
        The new content; None deletes the row.
    """

    key: str
    value: bytes | None


class TableError(Exception):
    """Base of the table's failures."""


class TableConflict(TableError):
    """Report that checks did not hold, so that nothing was written.

    Parameters
    ----------
    keys : sequence of str
        The keys whose checks failed, all of them.
    """

    def __init__(self, keys: Sequence[str]) -> None:
        super().__init__(f"rows changed meanwhile: {', '.join(keys)}")
        self.keys = tuple(keys)


class TableUnavailable(TableError):
    """Report that a call did not reach the table, so that nothing was written."""


class TableThrottled(TableUnavailable):
    """Report that the table refused a call because of its rate."""


class TableUncertain(TableError):
    """Report that a commit's answer was lost: it may have taken effect or not."""


class Table(Protocol):
    """Read rows and commit transactions."""

    def get(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows present among `keys`, read at one moment.

        Parameters
        ----------
        keys : sequence of str
            The keys wanted.

        Returns
        -------
        mapping of str to Row
            Only the rows that exist.

        Raises
        ------
        TableUnavailable
            The table did not answer.
        """
        ...

    def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows by prefix in order of key.

        Parameters
        ----------
        prefix : str
            What each key starts with.
        after : str, default=""
            Only keys greater than this one.
        limit : int, default=1000
            The most rows returned.

        Returns
        -------
        list of Row

        Raises
        ------
        TableUnavailable
            The table did not answer.
        """
        ...

    def commit(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        """Make all writes at once if all checks hold.

        Parameters
        ----------
        checks : sequence of Check
            What must hold.
        writes : sequence of Write
            What is written.

        Returns
        -------
        int
            The version of the written rows.

        Raises
        ------
        TableConflict
            A check did not hold; nothing was written.
        TableUnavailable
            The call did not reach the table; nothing was written.
        TableUncertain
            The answer was lost; the writes may have taken effect.
        """
        ...

"""Following a table's changes, with gaps noticed and mended."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

import gevent
import structlog

from toucanspool.backing.table import Row, TableError

# Mean time between tries while the store is away or has dropped its history.
RETRY_S = 0.6

_log = structlog.get_logger()


class HistoryGone(TableError):
    """Report that the changes after a version are not kept any more."""


@dataclass(slots=True, frozen=True)
class Changes:
    """Hold rows and the version that they bring a reader to.

    Parameters
    ----------
    rows : sequence of Row
        Rows present, or set since.
    gone : sequence of str
        Keys of rows deleted since.
    version : int
        To go on from.
    """

    rows: Sequence[Row]
    gone: Sequence[str]
    version: int


class Feed(Protocol):
    """Read a table whole, and then its changes."""

    def snapshot(self, table: str) -> Changes:
        """Return all rows of a table.

        Parameters
        ----------
        table : str
            The table.

        Returns
        -------
        Changes

        Raises
        ------
        TableUnavailable
            The store did not answer.
        """
        ...

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return what has changed after a version.

        Parameters
        ----------
        table : str
            The table.
        after : int
            The version known.
        wait_s : float
            The longest wait for a change, in seconds.

        Returns
        -------
        Changes

        Raises
        ------
        HistoryGone
            Changes may have been missed.
        TableUnavailable
            The store did not answer.
        """
        ...


class FeedFollower:
    """Keep a reader at the newest state of a table, in a task of its own.

    Parameters
    ----------
    feed : Feed
        The source.
    table : str
        The table.
    on_snapshot, on_changes : callable
        Take `Changes`: all rows, or those changed.
    wait_s : float
        The longest wait of one call for a change, in seconds.
    pause_s : float, default=0
        Time between calls, for tables that change all the time, in seconds.
    rng : random.Random
        Spreads retries.
    """

    __slots__ = (
        "_feed",
        "_greenlet",
        "_on_changes",
        "_on_snapshot",
        "_pause_s",
        "_reachable",
        "_rng",
        "_table",
        "_version",
        "_wait_s",
    )

    def __init__(
        self,
        feed: Feed,
        table: str,
        on_snapshot: Callable[[Changes], None],
        on_changes: Callable[[Changes], None],
        *,
        wait_s: float,
        pause_s: float = 0.0,
        rng: random.Random,
    ) -> None:
        self._feed = feed
        self._table = table
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._rng = rng
        self._version: int | None = None
        self._reachable = True
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to follow."""
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop following; the next start reads the table whole."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        self._version = None

    def step(self) -> bool:
        """Read once.

        Returns
        -------
        bool
            Whether the reader is at the newest state.
        """
        try:
            if self._version is None:
                found = self._feed.snapshot(self._table)
                self._on_snapshot(found)
            else:
                found = self._feed.changes(self._table, self._version, self._wait_s)
                self._on_changes(found)
        except HistoryGone:
            _log.warning("history gone", table=self._table, after=self._version)
            self._version = None
            return False
        except TableError as exc:
            self._lost(exc)
            return False
        self._version = found.version
        if not self._reachable:
            self._reachable = True
            _log.info("store regained", table=self._table, version=found.version)
        return True

    def _run(self) -> None:
        while True:
            if self.step():
                gevent.sleep(self._pause_s)
            else:
                gevent.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))

    def _lost(self, exc: TableError) -> None:
        if self._reachable:
            self._reachable = False
            _log.warning(
                "store lost",
                table=self._table,
                version=self._version,
                error=type(exc).__name__,
                detail=str(exc),
            )

"""Followers of a table's change feed, which reload the table after a gap."""

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

import gevent
import structlog

from toucanspool.backing.table import Row, TableError

# Mean retry delay while the store is unreachable.
MEAN_RETRY_S = 0.6
# Mean delay before a snapshot that could not be applied is read again. Its rows fail
# again until one of them changes, and reading a whole table is expensive.
FAILED_SNAPSHOT_RETRY_S = 5.0

_log = structlog.get_logger()


class HistoryGone(TableError):
    """Report that the store no longer keeps the changes after a version."""


class StoreLapsed(HistoryGone):
    """Report that the store came back from an older copy of itself.

    Rows may be missing or outdated until their writers have written them again.
    """


@dataclass(slots=True, frozen=True)
class Changes:
    """Hold changed rows and the version that a reader has after applying them.

    Parameters
    ----------
    rows : sequence of Row
        All rows of a snapshot, or the rows written since a version.
    deleted : sequence of str
        Keys of the rows deleted since a version.
    version : int
        Version to request the next changes after.
    """

    rows: Sequence[Row]
    deleted: Sequence[str]
    version: int


class Feed(Protocol):
    """Read a full table, and then its changes."""

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
            Version that the reader has.
        wait_s : float
            Longest time to wait for a change, in seconds.

        Returns
        -------
        Changes

        Raises
        ------
        HistoryGone
            The store no longer keeps all changes after this version.
        TableUnavailable
            The store did not answer.
        """
        ...


class FeedFollower:
    """Follow a table's changes in a background greenlet.

    Parameters
    ----------
    feed : Feed
        Source of the changes.
    table : str
        The table.
    on_snapshot, on_changes : callable
        Take `Changes` with all rows, or with the changed ones. If one fails on changes,
        it gets each of them alone, so that one row keeps no other out.
    wait_s : float
        Longest time that one call waits for a change, in seconds. Calls don't wait
        during an outage, so that its end is noticed at once.
    pause_s : float, default=0
        Time between calls, in seconds. Batches the changes of a table that changes
        all the time.
    rng : random.Random
        Source of the retry jitter.
    on_regained : callable, optional
        Called when the store is back after an outage or from an older copy of itself,
        before the first rows that it returns are passed on.

    Attributes
    ----------
    answered_at : float or None
        When the store last answered, in seconds on the monotonic clock.
    """

    __slots__ = (
        "_feed",
        "_greenlet",
        "_on_changes",
        "_on_regained",
        "_on_snapshot",
        "_pause_s",
        "_reachable",
        "_rng",
        "_table",
        "_version",
        "_wait_s",
        "answered_at",
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
        on_regained: Callable[[], None] = lambda: None,
    ) -> None:
        self._feed = feed
        self._on_regained = on_regained
        self._table = table
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._rng = rng
        self._version: int | None = None
        self._reachable = True
        self._greenlet: gevent.Greenlet | None = None
        self.answered_at: float | None = None

    def start(self) -> None:
        """Start following."""
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop following; the next start reloads the full table."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        self._version = None

    def step(self) -> bool:
        """Read the table or its next changes once.

        Returns
        -------
        bool
            Whether the read succeeded.
        """
        try:
            if self._version is None:
                changes = self._feed.snapshot(self._table)
                self._mark_reachable(changes)
                self._on_snapshot(changes)
            else:
                wait_s = self._wait_s if self._reachable else 0.0
                changes = self._feed.changes(self._table, self._version, wait_s)
                self._mark_reachable(changes)
                self._apply(changes)
        except StoreLapsed as exc:
            self._mark_unreachable(exc)
            self._version = None
            return False
        except HistoryGone:
            _log.warning("history gone", table=self._table, after=self._version)
            self._version = None
            return False
        except TableError as exc:
            self._mark_unreachable(exc)
            return False
        self._version = changes.version
        return True

    def _run(self) -> None:
        while True:
            before = self._version, self._reachable
            try:
                succeeded = self.step()
            except (Exception, gevent.Timeout):
                _log.exception("feed failed", table=self._table, version=self._version)
                retry_s = MEAN_RETRY_S
                if self._version is None:
                    retry_s = FAILED_SNAPSHOT_RETRY_S
                gevent.sleep(retry_s * self._rng.uniform(0.5, 1.5))
                continue
            if succeeded:
                gevent.sleep(self._pause_s)
            elif before == (self._version, self._reachable):
                # The first retry is immediate: it may be just one connection that
                # failed, or the history.
                gevent.sleep(MEAN_RETRY_S * self._rng.uniform(0.5, 1.5))

    def _apply(self, changes: Changes) -> None:
        """Pass changes on, each one alone if they can't be applied together."""
        try:
            self._on_changes(changes)
            return
        except Exception:
            _log.exception("changes failed", table=self._table, version=changes.version)
        single = [Changes([row], (), changes.version) for row in changes.rows]
        single += [Changes((), [key], changes.version) for key in changes.deleted]
        for change in single:
            try:
                self._on_changes(change)
            except Exception as exc:
                key = change.rows[0].key if change.rows else change.deleted[0]
                _log.warning(
                    "change ignored", table=self._table, key=key, error=repr(exc)
                )

    def _mark_reachable(self, changes: Changes) -> None:
        self.answered_at = time.monotonic()
        if not self._reachable:
            self._reachable = True
            self._on_regained()
            _log.info("store regained", table=self._table, version=changes.version)

    def _mark_unreachable(self, exc: TableError) -> None:
        if self._reachable:
            self._reachable = False
            _log.warning(
                "store lost",
                table=self._table,
                version=self._version,
                error=type(exc).__name__,
                detail=str(exc),
            )

"""The configuration in force in one process, kept up to date."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from toucanspool.config.failures import ChangesPruned
from toucanspool.config.records import Change, decode_change
from toucanspool.config.view import View

PULL_PAGE_CHANGES = 256
RECENT_CHANGES = 1024
MAX_PENDING_CHANGES = 256


class NoConfiguration(Exception):
    """Report that this process has no configuration yet and may serve nothing."""

    def __init__(self) -> None:
        super().__init__("this process has no configuration yet")


class ConfigSource(Protocol):
    """Give configuration: the table, or another process of the project."""

    def load(self) -> View:
        """Return the whole configuration, for the caller to keep.

        Returns
        -------
        View
        """
        ...

    def changes_after(self, revision: int, limit: int) -> Sequence[Change]:
        """Return changes that follow a revision, in order.

        Parameters
        ----------
        revision : int
            The last revision known.
        limit : int
            The most changes returned.

        Returns
        -------
        sequence of Change
            Empty if there is none newer.

        Raises
        ------
        ChangesPruned
            The next change is no longer kept.
        """
        ...


class Follower:
    """Own a process's view of the configuration; it only moves forward.

    A follower is itself a `ConfigSource` for others, so that a change accepted just
    before the table went away still reaches every process.

    Parameters
    ----------
    table : ConfigSource
        The table, as `ConfigReader` reads it.
    recent : int, default=1024
        How many of the latest changes are kept for others.
    on_change : callable, optional
        Called with each change put in force, after it is.
    on_load : callable, optional
        Called with the view when the whole configuration was replaced.
    """

    __slots__ = ("_pending", "_on_change", "_on_load", "_recent", "_table", "_view")

    def __init__(
        self,
        table: ConfigSource,
        *,
        recent: int = RECENT_CHANGES,
        on_change: Callable[[Change], None] | None = None,
        on_load: Callable[[View], None] | None = None,
    ) -> None:
        self._table = table
        self._view = View()
        self._recent: deque[Change] = deque(maxlen=recent)
        self._pending: dict[int, Change] = {}
        self._on_change = on_change
        self._on_load = on_load

    @property
    def revision(self) -> int:
        """Revision in force; 0 without a configuration."""
        return self._view.revision

    @property
    def view(self) -> View:
        """View in force.

        Raises
        ------
        NoConfiguration
            There is none yet.
        """
        if not self._view.revision:
            raise NoConfiguration
        return self._view

    @property
    def has_gap(self) -> bool:
        """Whether a change was heard of that can't be put in force yet."""
        return bool(self._pending)

    def poll(self) -> int:
        """Pull what is new from the table.

        Returns
        -------
        int
            The revision in force.

        Raises
        ------
        TableUnavailable
            The table did not answer; what was pulled before is in force.
        """
        return self.pull(self._table)

    def pull(self, source: ConfigSource) -> int:
        """Pull what is new from a source.

        Parameters
        ----------
        source : ConfigSource
            The table or another process.

        Returns
        -------
        int
            The revision in force.
        """
        if not self._view.revision:
            self._replace_view(source.load())
        while True:
            try:
                changes = source.changes_after(self.revision, PULL_PAGE_CHANGES)
            except ChangesPruned:
                if not self._replace_view(source.load()):
                    return self.revision
                continue
            self._receive(changes)
            if len(changes) < PULL_PAGE_CHANGES:
                return self.revision

    def offer(self, changes: Iterable[bytes]) -> bool:
        """Take changes heard from another process, in any order.

        Parameters
        ----------
        changes : iterable of bytes
            Changes made by `encode`.

        Returns
        -------
        bool
            Whether all changes heard of so far are in force; if not, the caller
            pulls from the peer or the table.

        Raises
        ------
        BadRecord
            An item is no change; none was taken.
        """
        self._receive([decode_change(data) for data in changes])
        return not self._pending

    def load(self) -> View:
        """Return a copy of the view in force; see `ConfigSource`.

        Raises
        ------
        NoConfiguration
            There is none yet.
        """
        return self.view.copy()

    def changes_after(
        self, revision: int, limit: int = PULL_PAGE_CHANGES
    ) -> Sequence[Change]:
        """Return recent changes that follow a revision; see `ConfigSource`.

        Raises
        ------
        ChangesPruned
            The next change is no longer kept here.
        """
        if revision >= self.revision:
            return []
        oldest = self._recent[0].revision if self._recent else self.revision + 1
        if revision + 1 < oldest:
            raise ChangesPruned(revision, oldest)
        start = revision + 1 - oldest
        return [c for n, c in enumerate(self._recent) if start <= n < start + limit]

    def _receive(self, changes: Iterable[Change]) -> None:
        for change in changes:
            if self.revision < change.revision:
                self._pending[change.revision] = change
            self._apply_pending()
        # A process far behind pulls anyway: only the nearest are worth keeping.
        for revision in sorted(self._pending)[MAX_PENDING_CHANGES:]:
            del self._pending[revision]

    def _apply_pending(self) -> None:
        while self._view.revision:
            change = self._pending.pop(self.revision + 1, None)
            if change is None:
                return
            self._view.apply(change)
            self._recent.append(change)
            if self._on_change is not None:
                self._on_change(change)

    def _replace_view(self, view: View) -> bool:
        if view.revision <= self.revision:
            return False
        self._view = view
        self._recent.clear()
        self._pending = {r: c for r, c in self._pending.items() if r > view.revision}
        if self._on_load is not None:
            self._on_load(view)
        self._apply_pending()
        return True

"""A process's active configuration, kept current from the table and from peers."""

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
    """Report that no configuration is loaded yet, so nothing may be served."""

    def __init__(self) -> None:
        super().__init__("this process has no configuration yet")


class ConfigSource(Protocol):
    """Provide configuration, from the table or from another process."""

    def load(self) -> View:
        """Return the complete configuration; the caller owns the result.

        Returns
        -------
        View
        """
        ...

    def changes_after(self, revision: int, limit: int) -> Sequence[Change]:
        """Return the changes that follow a revision, in order of revision.

        Parameters
        ----------
        revision : int
            The last revision known to the caller.
        limit : int
            Maximum number of changes.

        Returns
        -------
        sequence of Change
            Empty if there are no newer changes.

        Raises
        ------
        ChangesPruned
            The next change is no longer stored.
        """
        ...


class Follower:
    """Maintain a process's view of the configuration; its revision never decreases.

    A follower is also a `ConfigSource` for its peers, so that a change accepted just
    before the table becomes unavailable still reaches every process.

    Parameters
    ----------
    table : ConfigSource
        Source that `poll` pulls from, normally a `ConfigReader`.
    recent : int, default=1024
        Number of latest changes kept to serve peers.
    on_change : callable, optional
        Called with each change after it has been applied.
    on_load : callable, optional
        Called with the new view after the complete configuration was replaced.
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
        """Active revision; 0 if no configuration is loaded."""
        return self._view.revision

    @property
    def view(self) -> View:
        """Active view.

        Raises
        ------
        NoConfiguration
            No configuration is loaded yet.
        """
        if not self._view.revision:
            raise NoConfiguration
        return self._view

    @property
    def has_gap(self) -> bool:
        """Whether received changes wait for an earlier one that is missing."""
        return bool(self._pending)

    def poll(self) -> int:
        """Pull new changes from the table.

        Returns
        -------
        int
            The active revision.

        Raises
        ------
        TableUnavailable
            The table did not answer; changes pulled before that are applied.
        """
        return self.pull(self._table)

    def pull(self, source: ConfigSource) -> int:
        """Pull new changes from a source.

        Parameters
        ----------
        source : ConfigSource
            The table or another process.

        Returns
        -------
        int
            The active revision.
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
        """Accept changes sent by another process, in any order.

        Parameters
        ----------
        changes : iterable of bytes
            Changes encoded by `encode`.

        Returns
        -------
        bool
            Whether all changes received so far are applied; if not, the caller
            pulls the missing ones from the peer or the table.

        Raises
        ------
        BadRecord
            An item can't be decoded as a change; none was accepted.
        """
        self._receive([decode_change(data) for data in changes])
        return not self._pending

    def load(self) -> View:
        """Return a copy of the active view; see `ConfigSource`.

        Raises
        ------
        NoConfiguration
            No configuration is loaded yet.
        """
        return self.view.copy()

    def changes_after(
        self, revision: int, limit: int = PULL_PAGE_CHANGES
    ) -> Sequence[Change]:
        """Return recent changes that follow a revision; see `ConfigSource`.

        Raises
        ------
        ChangesPruned
            The next change is no longer kept by this follower.
        """
        if revision >= self.revision:
            return []
        oldest = self._recent[0].revision if self._recent else self.revision + 1
        if revision + 1 < oldest:
            raise ChangesPruned(revision, oldest)
        start = revision + 1 - oldest
        return [c for i, c in enumerate(self._recent) if start <= i < start + limit]

    def _receive(self, changes: Iterable[Change]) -> None:
        for change in changes:
            if self.revision < change.revision:
                self._pending[change.revision] = change
            self._apply_pending()
        # Keeps only the changes closest to the active revision: a process that is
        # far behind pulls the rest anyway.
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

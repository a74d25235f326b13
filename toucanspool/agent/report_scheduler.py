"""Whom an agent reports its load to now, within a bound on reports a second."""

from collections.abc import Callable, Hashable, Sequence
from typing import Generic, TypeVar

REPORTS_PER_S = 10.0
IDLE_SHARE = 0.2

T = TypeVar("T", bound=Hashable)


class ReportScheduler(Generic[T]):
    """Share a bounded number of reports among connections, in turn.

    Connections with calls in progress come first; a share is kept for the others,
    so that an entry that has not called for a while still learns of a change.

    Parameters
    ----------
    reports_per_s : float, default=10.0
        Reports a second at most, over all connections.
    idle_share : float, default=0.2
        The part of them kept for connections without calls, where there are any.
    """

    __slots__ = ("_allowed", "_at", "_idle_share", "_rate", "_told")

    def __init__(
        self, *, reports_per_s: float = REPORTS_PER_S, idle_share: float = IDLE_SHARE
    ) -> None:
        self._rate = reports_per_s
        self._idle_share = idle_share
        self._allowed = {True: 0.0, False: 0.0}
        self._at: float | None = None
        self._told: dict[T, int] = {}

    def due(self, conns: Sequence[T], busy: Callable[[T], bool], now: float) -> list[T]:
        """Return the connections to report to now; each counts as reported to.

        Parameters
        ----------
        conns : sequence
            All connections.
        busy : callable
            Whether calls of a connection are in progress.
        now : float
            Monotonic seconds.

        Returns
        -------
        list
            The busy ones first; in each part, those that have waited longest.
        """
        groups = {True: [], False: []}
        for conn in conns:
            groups[bool(busy(conn))].append(conn)
        self._grant(groups, now)
        newest = max(self._told.values(), default=0)
        self._told = {conn: self._told.get(conn, 0) for conn in conns}
        due = [c for kind in (True, False) for c in self._next(groups[kind], kind)]
        for number, conn in enumerate(due, newest + 1):
            self._told[conn] = number
        return due

    def _grant(self, groups: dict[bool, list[T]], now: float) -> None:
        passed_s = 0.0 if self._at is None else max(0.0, now - self._at)
        self._at = now
        shares = {True: 1.0 - self._idle_share, False: self._idle_share}
        for kind, other in ((True, False), (False, True)):
            share = shares[kind] if groups[other] else 1.0
            granted = passed_s * self._rate * share if groups[kind] else 0.0
            # What was not used within a second is not saved up.
            most = max(1.0, self._rate * share)
            self._allowed[kind] = min(most, self._allowed[kind] + granted)

    def _next(self, conns: list[T], kind: bool) -> list[T]:
        count = min(len(conns), int(self._allowed[kind]))
        self._allowed[kind] -= count
        return sorted(conns, key=lambda conn: self._told[conn])[:count]

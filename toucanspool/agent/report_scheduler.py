"""Rate-limited scheduling of an agent's load reports over its connections."""

from collections.abc import Callable, Hashable, Sequence
from typing import Generic, TypeVar

REPORTS_PER_S = 10.0
IDLE_SHARE = 0.2

T = TypeVar("T", bound=Hashable)


class ReportScheduler(Generic[T]):
    """Select the connections to report to, round robin within a rate limit.

    Connections with calls in progress are served first. A share of the rate is
    reserved for the other connections, so that an entry without calls still receives
    load changes.

    Parameters
    ----------
    reports_per_s : float, default=10.0
        Maximum reports per second over all connections.
    idle_share : float, default=0.2
        Fraction of the rate that is reserved for connections without calls, if there
        are any.
    """

    __slots__ = (
        "_allowance",
        "_refilled_at",
        "_idle_share",
        "_reports_per_s",
        "_last_turns",
    )

    def __init__(
        self, *, reports_per_s: float = REPORTS_PER_S, idle_share: float = IDLE_SHARE
    ) -> None:
        self._reports_per_s = reports_per_s
        self._idle_share = idle_share
        self._allowance = {True: 0.0, False: 0.0}
        self._refilled_at: float | None = None
        self._last_turns: dict[T, int] = {}

    def due(
        self, conns: Sequence[T], is_busy: Callable[[T], bool], now: float
    ) -> list[T]:
        """Return the connections to report to now, and record their turns.

        Parameters
        ----------
        conns : sequence
            All open connections.
        is_busy : callable
            Returns whether a connection has calls in progress.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list
            Busy connections first; within each group, the longest-waiting first.
        """
        groups = {True: [], False: []}
        for conn in conns:
            groups[bool(is_busy(conn))].append(conn)
        self._refill(groups, now)
        last_turn = max(self._last_turns.values(), default=0)
        self._last_turns = {conn: self._last_turns.get(conn, 0) for conn in conns}
        due = [c for busy in (True, False) for c in self._take(groups[busy], busy)]
        for turn, conn in enumerate(due, last_turn + 1):
            self._last_turns[conn] = turn
        return due

    def _refill(self, groups: dict[bool, list[T]], now: float) -> None:
        elapsed_s = (
            0.0 if self._refilled_at is None else max(0.0, now - self._refilled_at)
        )
        self._refilled_at = now
        shares = {True: 1.0 - self._idle_share, False: self._idle_share}
        for busy, other in ((True, False), (False, True)):
            share = shares[busy] if groups[other] else 1.0
            refill = elapsed_s * self._reports_per_s * share if groups[busy] else 0.0
            # At most one second's reports accumulate, which bounds a burst.
            burst = max(1.0, self._reports_per_s * share)
            self._allowance[busy] = min(burst, self._allowance[busy] + refill)

    def _take(self, conns: list[T], busy: bool) -> list[T]:
        count = min(len(conns), int(self._allowance[busy]))
        self._allowance[busy] -= count
        return sorted(conns, key=lambda conn: self._last_turns[conn])[:count]

"""Rows of rank agents, from which gateways read the slowdowns of their engines."""

from collections.abc import Callable, Mapping

from toucanspool.groups.rank_record import RankRecord, decode_rank
from toucanspool.recovery.feed import Changes


class RankRows:
    """Keep the records of the rank agents, and pass on the slowdowns in them.

    Parameters
    ----------
    on_slowdowns : callable
        Takes the slowdown factors by name of the upstream, after each change.
    """

    __slots__ = ("_on_slowdowns", "_ranks")

    def __init__(self, on_slowdowns: Callable[[Mapping[str, float]], None]) -> None:
        self._on_slowdowns = on_slowdowns
        self._ranks: dict[str, RankRecord] = {}

    def replace(self, changes: Changes) -> None:
        """Apply a snapshot of the table.

        Parameters
        ----------
        changes : Changes
            All rows of the table.
        """
        self._ranks.clear()
        self.update(changes)

    def update(self, changes: Changes) -> None:
        """Apply changes of the table.

        Parameters
        ----------
        changes : Changes
            Changed and deleted rows of the table.
        """
        for key in changes.deleted:
            self._ranks.pop(key, None)
        for row in changes.rows:
            if record := decode_rank(row):
                self._ranks[row.key] = record
        self._on_slowdowns({r.upstream: r.pace for r in self._ranks.values()})

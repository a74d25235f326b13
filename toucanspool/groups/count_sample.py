"""Choice of the ranks whose expert counts are read when a link can't carry them all."""

from collections.abc import Collection, Sequence

# Part of the sample that is replaced by other ranks at each read.
REPLACED_PART = 0.25


class CountSample:
    """Choose the ranks to read, most of them the same as at the read before.

    The counts of a rank cover the time since it was last read. If all ranks took turns,
    that would be several reads, and counts after a shift of demand would tell mostly of
    the time before it. So a rank stays in the sample for some reads, and the first
    counts of a rank that joins it are left out.
    """

    __slots__ = ("_previous", "_start")

    def __init__(self) -> None:
        self._start = 0
        self._previous: frozenset[int] = frozenset()

    def take(
        self, ranks: Sequence[int], max_ranks: int
    ) -> tuple[list[int], Collection[int]]:
        """Return the ranks to read now, and those of them whose counts are to be used.

        Parameters
        ----------
        ranks : sequence of int
            All ranks, in order.
        max_ranks : int
            Maximum number of ranks to read, at least 1.

        Returns
        -------
        chosen : list of int
        usable : collection of int
        """
        if max_ranks >= len(ranks):
            self._previous = frozenset(ranks)
            return list(ranks), self._previous
        start = self._start % len(ranks)
        chosen = [*ranks[start:], *ranks[:start]][:max_ranks]
        self._start = start + max(1, int(REPLACED_PART * max_ranks))
        # A sample of one rank has no rank that stays.
        usable = self._previous.intersection(chosen) if max_ranks > 1 else set(chosen)
        self._previous = frozenset(chosen)
        return chosen, usable

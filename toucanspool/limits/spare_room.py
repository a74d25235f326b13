"""Room that other entries leave unused, for an entry with more callers for a moment.

An equal part of the room for each entry refuses callers by chance: of 34 entries with
room for 10 streams each and 8 callers on average, one caller in nine meets a full one.
All entries together hardly ever are full. Each tells the others how much it carries.
"""

from collections.abc import Sequence

from toucanspool.limits._ewma import ewma_weight

# How many times the mean unused room an entry may carry beyond its part: with more, all
# overrun while full, as some places are always between two callers.
LENT = 1.5
# Times its part that an entry carries at most: the others' news is a second old.
MOST = 1.5
TIME_CONSTANT_S = 0.5


class SpareRoom:
    """Work out how much an entry may carry beyond its equal part.

    Attributes
    ----------
    carried : float
        What this entry carried of late.
    """

    __slots__ = ("_at", "carried")

    def __init__(self) -> None:
        self.carried = 0.0
        self._at = 0.0

    def look(self, running: int, now: float) -> None:
        """Take note of what is carried.

        Parameters
        ----------
        running : int
            Streams under way.
        now : float
            Seconds on the monotonic clock.
        """
        self.carried += ewma_weight(now - self._at, TIME_CONSTANT_S) * (
            running - self.carried
        )
        self._at = now

    def mean(self, others: Sequence[float]) -> float:
        """Return what an entry carries on average.

        Parameters
        ----------
        others : sequence of float
            What other entries said that they carried.

        Returns
        -------
        float
        """
        return (self.carried + sum(others)) / (1 + len(others))

    def limit(self, part: float, others: Sequence[float]) -> float:
        """Return how much this entry may carry.

        Parameters
        ----------
        part : float
            Its equal part of the room.
        others : sequence of float
            What other entries said that they carried.

        Returns
        -------
        float
        """
        unused = max(0.0, part - self.mean(others))
        return min(part + LENT * unused, MOST * part)

"""Choice of how far ahead of the latest pass a switch holds one."""

import math

# Passes ahead while it is not known how long ranks take to be armed.
INITIAL_PASSES_AHEAD = 8
# The pass that runs as the order to hold arrives may end at once.
MIN_PASSES_AHEAD = 2
# Agents hold passes up to `hold_gate.MAX_PASSES_AHEAD`; some of them may be named.
MAX_PASSES_AHEAD = 12
# Weights of the latest time in the mean and in the mean deviation, after RFC 6298, 2. A
# longer time than the mean weighs more, since lost orders come in series.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
RISE_WEIGHT = 1 / 2
# Fewer than for retransmissions: to be late by some milliseconds costs callers as
# little as to use the old map for a pass more.
DEVIATIONS = 2
FIRST_DEVIATION = 1 / 4


class HoldLead:
    """Choose a pass to hold that is not due before all ranks are armed.

    A group waits for a pass that is held past its start, and all its callers with it. A
    pass further ahead delays only the new map.
    """

    __slots__ = ("_deviation_s", "_mean_s")

    def __init__(self) -> None:
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def observe(self, held_s: float) -> None:
        """Take note of the time from a hold until its release was confirmed.

        Parameters
        ----------
        held_s : float
            That time, in seconds; 0 if no pass was held.
        """
        if not held_s:
            return
        if self._mean_s is None:
            self._mean_s, self._deviation_s = held_s, FIRST_DEVIATION * held_s
            return
        error_s = held_s - self._mean_s
        weight = RISE_WEIGHT if error_s > 0 else DEVIATION_WEIGHT
        self._deviation_s += weight * (abs(error_s) - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * error_s

    def passes_ahead(self, pass_s: float) -> int:
        """Return the number of passes from the latest one to the one to hold.

        Parameters
        ----------
        pass_s : float
            The shortest time of a pass, in seconds; infinite in an idle group.

        Returns
        -------
        int
        """
        if self._mean_s is None:
            return INITIAL_PASSES_AHEAD
        needed_s = self._mean_s + DEVIATIONS * self._deviation_s
        passes = 1 + math.ceil(needed_s / pass_s)
        return min(max(passes, MIN_PASSES_AHEAD), MAX_PASSES_AHEAD)

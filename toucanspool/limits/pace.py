"""How many streams an entry may carry so that their events come in time.

All streams of a lock-step group wait for the same passes. So each entry sees in its
own streams' pauses how long passes take, and entries need not tell each other how
much they carry.
"""

from toucanspool.routing.routes import EngineModel

# Part of the pause allowed that passes may take: the rest is for their spread.
TARGET_PART = 0.75
MEMORY_PAUSES = 40.0
STEP_S = 0.25
RAISE = 0.03
MOST_CUT = 0.85
# A pass with slots full may be this much longer than the model says, since a group
# waits for its most loaded rank.
FIRST_PART = 0.6
LEAST = 1.0


class Pace:
    """Adapt the number of streams to the pauses seen.

    Parameters
    ----------
    pause_s : float
        The longest pause that is on time, in seconds.
    """

    __slots__ = ("_changed_at", "_mean_s", "limit", "pause_s", "most")

    def __init__(self, pause_s: float) -> None:
        self.pause_s = pause_s
        self.limit = 0.0
        self.most = 0.0
        self._mean_s = 0.0
        self._changed_at = 0.0

    @property
    def mean_s(self) -> float:
        """Return the mean pause of late, in seconds; 0 before the first."""
        return self._mean_s

    def size(self, engine: EngineModel, upstreams: int, entries: int) -> None:
        """Set what the upstreams could carry for this entry.

        Parameters
        ----------
        engine : EngineModel
            The upstreams' engines.
        upstreams : int
            Upstreams that take work.
        entries : int
            Entries that share them.
        """
        most = max(LEAST, engine.slots * upstreams / max(1, entries))
        if not self.limit:
            self.limit = FIRST_PART * most
        elif self.most:
            self.limit *= most / self.most
        self.most = most

    def paused(self, seconds: float) -> None:
        """Count a pause between two events of a stream.

        Parameters
        ----------
        seconds : float
            The pause.
        """
        if not self._mean_s:
            self._mean_s = seconds
        self._mean_s += (min(seconds, 4 * self.pause_s) - self._mean_s) / MEMORY_PAUSES

    def adapt(self, running: int, now: float) -> float:
        """Return the limit, changed where the pauses ask for it.

        Parameters
        ----------
        running : int
            Streams carried now.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
        """
        if now - self._changed_at < STEP_S or not self._mean_s:
            return self.limit
        self._changed_at = now
        ratio = self._mean_s / (TARGET_PART * self.pause_s)
        if ratio > 1.0:
            self.limit *= max(MOST_CUT, 1.0 / ratio**0.5)
        elif running >= self.limit - 1.0:
            self.limit *= 1.0 + RAISE * min(1.0, 4.0 * (1.0 - ratio))
        self.limit = min(self.most, max(LEAST, self.limit))
        return self.limit

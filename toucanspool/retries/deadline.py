"""The moment after which an answer is of no use to the caller."""

from dataclasses import dataclass

MS_PER_S = 1000.0


@dataclass(slots=True, frozen=True, order=True)
class Deadline:
    """Hold a moment on this process's monotonic clock.

    A deadline crosses processes as the time that is left, since their clocks
    differ.

    Parameters
    ----------
    at : float
        The moment, in seconds on the monotonic clock.
    """

    at: float

    @classmethod
    def after(cls, timeout_s: float, now: float) -> "Deadline":
        """Return the deadline a time from now.

        Parameters
        ----------
        timeout_s : float
            Time left, in seconds.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        Deadline
        """
        return cls(now + timeout_s)

    @classmethod
    def from_ms(cls, left_ms: int, now: float) -> "Deadline":
        """Return the deadline that a message carried.

        Parameters
        ----------
        left_ms : int
            Time left when it arrived, in milliseconds.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        Deadline
        """
        return cls(now + left_ms / MS_PER_S)

    def left_s(self, now: float) -> float:
        """Return the time left in seconds, never under 0.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
        """
        return max(0.0, self.at - now)

    def left_ms(self, now: float) -> int:
        """Return the time left in whole milliseconds, rounded down.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        int
        """
        return int(self.left_s(now) * MS_PER_S)

    def passed(self, now: float) -> bool:
        """Return whether the moment has come.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
        """
        return now >= self.at

    def within(self, timeout_s: float, now: float) -> "Deadline":
        """Return the earlier of this deadline and a timeout from now.

        Parameters
        ----------
        timeout_s : float
            Timeout of one attempt, in seconds.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        Deadline
        """
        return min(self, Deadline(now + timeout_s))

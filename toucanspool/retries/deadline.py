"""Deadlines of requests, on the monotonic clock of each process."""

from dataclasses import dataclass

MS_PER_S = 1000.0


@dataclass(slots=True, frozen=True, order=True)
class Deadline:
    """Hold the time after which the caller has no use for a response.

    A deadline is sent to other processes as the time left, because monotonic
    clocks differ between processes.

    Parameters
    ----------
    at : float
        Time of the deadline, in seconds on the monotonic clock.
    """

    at: float

    @classmethod
    def after(cls, timeout_s: float, now: float) -> "Deadline":
        """Return the deadline of a timeout that starts now.

        Parameters
        ----------
        timeout_s : float
            Length of the timeout, in seconds.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        Deadline
        """
        return cls(now + timeout_s)

    @classmethod
    def from_ms(cls, left_ms: int, now: float) -> "Deadline":
        """Return the deadline that was received in a message.

        Parameters
        ----------
        left_ms : int
            Time left when the message arrived, in milliseconds.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        Deadline
        """
        return cls(now + left_ms / MS_PER_S)

    def left_s(self, now: float) -> float:
        """Return the time left in seconds; 0 once the deadline has passed.

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
        """Return whether the deadline has passed.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
        """
        return now >= self.at

    def capped(self, timeout_s: float, now: float) -> "Deadline":
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

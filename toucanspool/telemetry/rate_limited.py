"""Log lines that clients cause, of which there are only so many a second."""

import time
from typing import Any

import structlog

# Of one event in one process. Clients that fail by themselves cause far fewer.
LINES_PER_S = 100


class RateLimitedLog:
    """Write a bounded number of lines a second for each event.

    A line after others that were left out tells their number as ``left_out``.

    Parameters
    ----------
    log : structlog.stdlib.BoundLogger
        Writes the lines.
    """

    __slots__ = ("_counts", "_left_out", "_log", "_second")

    def __init__(self, log: structlog.stdlib.BoundLogger) -> None:
        self._log = log
        self._second = 0
        self._counts: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    def info(self, event: str, **fields: Any) -> None:
        """Write a line unless there were too many of this event.

        Parameters
        ----------
        event : str
            Name of the event, one of a fixed number.
        **fields : Any
            Further fields of the line.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(event, 0) + 1
        if count > LINES_PER_S:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return
        self._counts[event] = count
        if left_out := self._left_out.pop(event, 0):
            fields["left_out"] = left_out
        self._log.info(event, **fields)

"""Reading of a request's head, with a bound on its size."""

from typing import BinaryIO


class HeadTooLarge(ValueError):
    """Report a request head that exceeds the size limit."""


class HeadTooSlow(TimeoutError):
    """Report a request head that exceeds the time limit."""


class LimitedReader:
    """Read the lines of a request head up to a size limit.

    Parameters
    ----------
    file : BinaryIO
        The connection's buffered bytes.
    max_bytes : int
        Limit on the lines together.
    """

    __slots__ = ("_file", "_remaining_bytes")

    def __init__(self, file: BinaryIO, max_bytes: int) -> None:
        self._file = file
        self._remaining_bytes = max_bytes

    def readline(self, size: int = -1) -> bytes:
        """Return the next line, or its first bytes.

        Parameters
        ----------
        size : int, default=-1
            Most bytes to return; -1 for no other limit.

        Raises
        ------
        HeadTooLarge
            The limit is exceeded.
        """
        max_bytes = self._remaining_bytes + 1
        line = self._file.readline(max_bytes if size < 0 else min(size, max_bytes))
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise HeadTooLarge("the request's head is too large")
        return line

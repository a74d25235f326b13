"""Log lines that are written in the background and never hold up work."""

import os
from collections import deque

import gevent
import orjson
from gevent.os import make_nonblocking

MOST_LINES = 5000
BATCH_BYTES = 64 * 1024
FLUSH_S = 0.1


class LineWriter:
    """Queue lines and write them in batches to a file that may be full.

    Where lines come faster than they can be written, the newest are left out; their
    number is written as soon as there is room.

    Parameters
    ----------
    fd : int
        File descriptor; made non-blocking.
    most_lines : int, default=5000
        Lines that may wait.
    """

    __slots__ = ("_dropped", "_fd", "_greenlet", "_lines", "_most", "_rest")

    def __init__(self, fd: int, *, most_lines: int = MOST_LINES) -> None:
        self._fd = fd
        self._most = most_lines
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._dropped = 0
        self._greenlet: gevent.Greenlet | None = None
        make_nonblocking(fd)

    def msg(self, message: str) -> None:
        """Queue a line; called by structlog.

        Parameters
        ----------
        message : str
            The line.
        """
        if len(self._lines) >= self._most:
            self._dropped += 1
            return
        self._lines.append(message.encode() + b"\n")

    log = debug = info = warning = error = critical = exception = msg

    def start(self) -> None:
        """Begin to write in the background."""
        self._greenlet = gevent.spawn(self._run)

    def flush(self) -> bool:
        """Write what waits, as far as the file takes it.

        Returns
        -------
        bool
            Whether all was written.
        """
        if self._dropped and len(self._lines) < self._most:
            told = {"event": "log lines left out", "count": self._dropped}
            self._lines.append(orjson.dumps(told) + b"\n")
            self._dropped = 0
        while self._rest or self._lines:
            batch = bytearray(self._rest)
            while self._lines and len(batch) < BATCH_BYTES:
                batch += self._lines.popleft()
            self._rest = bytes(batch)
            try:
                written = os.write(self._fd, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody reads the log any more, so there is nobody to tell.
                self._rest = b""
                self._lines.clear()
                return False
            self._rest = self._rest[written:]
        return True

    def _run(self) -> None:
        while True:
            gevent.sleep(FLUSH_S)
            self.flush()

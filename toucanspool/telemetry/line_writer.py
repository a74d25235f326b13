"""A writer of log lines that never blocks the process."""

import os
from collections import deque

import gevent
import orjson
from gevent.os import make_nonblocking

MAX_QUEUED_LINES = 5000
BATCH_BYTES = 64 * 1024
FLUSH_INTERVAL_S = 0.1


class LineWriter:
    """Queue lines and write them in batches to a file that may block, such as a pipe.

    While the queue is full, new lines are dropped. Their number is logged as soon as
    the queue is no longer full.

    Parameters
    ----------
    fd : int
        File descriptor to write to; it is made non-blocking.
    max_lines : int, default=5000
        Largest number of queued lines.
    """

    __slots__ = ("_dropped", "_fd", "_greenlet", "_lines", "_max_lines", "_unwritten")

    def __init__(self, fd: int, *, max_lines: int = MAX_QUEUED_LINES) -> None:
        self._fd = fd
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._dropped = 0
        self._greenlet: gevent.Greenlet | None = None
        make_nonblocking(fd)

    def msg(self, message: str) -> None:
        """Queue a line, or drop it if the queue is full; called by structlog.

        Parameters
        ----------
        message : str
            The line, without a line break.
        """
        if len(self._lines) >= self._max_lines:
            self._dropped += 1
            return
        self._lines.append(message.encode() + b"\n")

    log = debug = info = warning = error = critical = exception = msg

    def start(self) -> None:
        """Start a greenlet that flushes the queue at an interval."""
        self._greenlet = gevent.spawn(self._run)

    def flush(self) -> bool:
        """Write queued lines until the file would block.

        Returns
        -------
        bool
            Whether all queued lines were written.
        """
        if self._dropped and len(self._lines) < self._max_lines:
            notice = {"event": "log lines left out", "count": self._dropped}
            self._lines.append(orjson.dumps(notice) + b"\n")
            self._dropped = 0
        while self._unwritten or self._lines:
            batch = bytearray(self._unwritten)
            while self._lines and len(batch) < BATCH_BYTES:
                batch += self._lines.popleft()
            self._unwritten = bytes(batch)
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader of the log is gone, so the error can be reported nowhere.
                self._unwritten = b""
                self._lines.clear()
                return False
            self._unwritten = self._unwritten[written:]
        return True

    def _run(self) -> None:
        while True:
            gevent.sleep(FLUSH_INTERVAL_S)
            self.flush()

"""A caller's connection, watched while its call runs."""

import contextlib
import errno
from types import TracebackType
from typing import Self

import gevent
from gevent import socket

READABLE = 1


class CallerLeft(Exception):
    """Report that a caller has closed its connection before its answer's end.

    It is no `OSError`, since it is raised wherever the call's task waits, and so also
    where the upstream's connection is read.
    """


class ReplyCutOff(ConnectionResetError):
    """Demand that a caller's connection ends without the end of its answer."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "the answer can't be completed")


class CallerWatch:
    """Raise `CallerLeft` in the current task as soon as the caller closes.

    Parameters
    ----------
    sock : gevent.socket.socket
        The caller's connection, from which the whole call has been read.
    """

    __slots__ = ("_greenlet", "_raw", "_watcher")

    def __init__(self, sock: socket.socket) -> None:
        self._raw = sock._sock
        self._greenlet = gevent.getcurrent()
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), READABLE)

    def __enter__(self) -> Self:
        self._watcher.start(self._readable)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Stop watching; harmless when repeated."""
        self._watcher.stop()
        self._watcher.close()

    def _readable(self) -> None:
        try:
            left = not self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            left = True
        # Bytes of a next request tell nothing of the caller; a close behind them
        # shows when the answer is written.
        self._watcher.stop()
        if left:
            with contextlib.suppress(AttributeError):
                self._greenlet.kill(CallerLeft, block=False)

"""Source of time and waiting, which tests replace by a virtual clock."""

import time
from typing import Protocol

import gevent


class Waitable(Protocol):
    """Define what a greenlet can wait for: gevent's `Event` or `AsyncResult`."""

    def wait(self, timeout: float | None = None) -> object:
        """Block until ready.

        Parameters
        ----------
        timeout : float, optional
            Longest wait in seconds; None waits without limit.

        Returns
        -------
        object
            Ignored; call `ready` instead.
        """
        ...

    def ready(self) -> bool:
        """Return whether waiting would return at once."""
        ...


class Clock(Protocol):
    """Read the time, and wait."""

    def now(self) -> float:
        """Return monotonic seconds."""
        ...

    def sleep(self, seconds: float) -> None:
        """Block the calling greenlet.

        Parameters
        ----------
        seconds : float
            Duration of the block.
        """
        ...

    def wait(self, waitable: Waitable, seconds: float | None) -> bool:
        """Block until an object is ready or the timeout expires.

        Parameters
        ----------
        waitable : Waitable
            The object to wait for.
        seconds : float or None
            Longest wait; None waits without limit.

        Returns
        -------
        bool
            Whether the object is ready.
        """
        ...


class MonotonicClock:
    """Read the machine's monotonic clock; implements `Clock`."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        """Block the calling greenlet."""
        gevent.sleep(seconds)

    def wait(self, waitable: Waitable, seconds: float | None) -> bool:
        """Block until an object is ready or the timeout expires."""
        waitable.wait(timeout=seconds)
        return waitable.ready()

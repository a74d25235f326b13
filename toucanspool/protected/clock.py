"""Time as the protected calls see it, replaceable in tests."""

import time
from typing import Protocol

import gevent


class Waitable(Protocol):
    """Be what a greenlet waits for: gevent's `Event` or `AsyncResult`."""

    def wait(self, timeout: float | None = None) -> object:
        """Block until ready.

        Parameters
        ----------
        timeout : float, optional
            Seconds to wait at most.

        Returns
        -------
        object
            Not used.
        """
        ...

    def ready(self) -> bool:
        """Return whether the wait is over."""
        ...


class Clock(Protocol):
    """Tell the time and wait."""

    def now(self) -> float:
        """Return monotonic seconds."""
        ...

    def sleep(self, seconds: float) -> None:
        """Block the calling greenlet.

        Parameters
        ----------
        seconds : float
            How long.
        """
        ...

    def wait(self, waitable: Waitable, seconds: float | None) -> bool:
        """Block until something is ready or time is over.

        Parameters
        ----------
        waitable : Waitable
            What is waited for.
        seconds : float or None
            The most to wait; None is no limit.

        Returns
        -------
        bool
            Whether it is ready.
        """
        ...


class MonotonicClock:
    """Measure time by the machine's monotonic clock; implements `Clock`."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        """Block the calling greenlet."""
        gevent.sleep(seconds)

    def wait(self, waitable: Waitable, seconds: float | None) -> bool:
        """Block until something is ready or time is over."""
        waitable.wait(timeout=seconds)
        return waitable.ready()

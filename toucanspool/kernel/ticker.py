"""A background task that calls a function at a jittered interval."""

import random
from collections.abc import Callable

import gevent
import structlog

# Largest deviation of a pause from the interval, as a share of the interval.
JITTER_RATIO = 0.2

_log = structlog.get_logger()


class Ticker:
    """Call a function repeatedly in a greenlet of its own.

    Parameters
    ----------
    name : str
        Name of the task in the log.
    interval_s : float
        Mean pause before each call, in seconds; jittered by `JITTER_RATIO`.
    func : callable
        Function to call. An exception or timeout is logged, and the calls continue.
    rng : random.Random
        Random source of the jitter.
    """

    __slots__ = ("_func", "_greenlet", "_interval_s", "_name", "_rng")

    def __init__(
        self,
        name: str,
        interval_s: float,
        func: Callable[[], None],
        *,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._interval_s = interval_s
        self._func = func
        self._rng = rng
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet; the first call follows after one pause."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Kill the greenlet; a call in progress is interrupted."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None

    def _run(self) -> None:
        while True:
            gevent.sleep(
                self._interval_s * self._rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
            )
            try:
                self._func()
            except (Exception, gevent.Timeout) as exc:
                _log.warning("tick failed", task=self._name, error=repr(exc))

"""A task that does one thing again and again."""

import random
from collections.abc import Callable

import gevent
import structlog

JITTER = 0.2

_log = structlog.get_logger()


class Ticker:
    """Call a function at an interval, in a greenlet of its own.

    Parameters
    ----------
    name : str
        Name for the log.
    interval_s : float
        Mean time between calls, spread by a fifth either way.
    func : callable
        What is called; a failure is logged and the next call goes on.
    rng : random.Random
        Source of the spread.
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
        """Begin calling."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End calling; a call in progress is cut off."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None

    def _run(self) -> None:
        while True:
            gevent.sleep(self._interval_s * self._rng.uniform(1 - JITTER, 1 + JITTER))
            try:
                self._func()
            except Exception as exc:
                _log.warning("tick failed", task=self._name, error=repr(exc))

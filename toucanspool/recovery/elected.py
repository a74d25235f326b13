"""A duty that one entry at a time does, elected by a lease."""

import random
import time
from collections.abc import Callable
from contextlib import ExitStack

import structlog

from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.platform.table import TableError
from toucanspool.recovery.lease import Lease

_log = structlog.get_logger()


class Elected:
    """Stand for election, and act at an interval while elected.

    The act must be harmless when two processes do it at once, since a process that
    was paused may still believe that it is elected.

    Parameters
    ----------
    duty : str
        Name of the duty and of its lease.
    instance : str
        This process's instance.
    interval_s : float
        Time between acts, in seconds.
    act : callable
        Takes the kernel; a failure is logged and the next act comes.
    """

    __slots__ = ("_act", "_closing", "_duty", "_instance", "_interval_s", "_kernel")

    def __init__(
        self,
        duty: str,
        instance: str,
        interval_s: float,
        act: Callable[[Kernel], None],
    ) -> None:
        self._duty = duty
        self._instance = instance
        self._interval_s = interval_s
        self._act = act
        self._closing = ExitStack()

    def start(self, kernel: Kernel) -> None:
        """Begin to stand for election; see `Service`."""
        self._kernel = kernel
        table = kernel.find("platform").table
        lease = Lease(table, self._duty, self._instance, now=time.monotonic)
        rng = kernel.find("rng").named(self._duty)
        self._closing.callback(self._give_up, lease)
        self._tick(lease.interval_s, lease.step, rng)
        self._tick(self._interval_s, lambda: self._work(lease), rng)

    def stop(self) -> None:
        """Give the duty up; see `Service`."""
        self._closing.close()

    def _tick(
        self, interval_s: float, func: Callable[[], object], rng: random.Random
    ) -> None:
        ticker = Ticker(self._duty, interval_s, func, rng=rng)
        ticker.start()
        self._closing.callback(ticker.stop)

    def _work(self, lease: Lease) -> None:
        if lease.held(time.monotonic()):
            self._act(self._kernel)

    def _give_up(self, lease: Lease) -> None:
        try:
            lease.release()
        except TableError as exc:
            _log.info("lease not given up", duty=self._duty, error=str(exc))

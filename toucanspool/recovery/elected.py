"""A duty that one entry at a time does, elected by a lease."""

import random
import time
from collections.abc import Callable, Iterable
from contextlib import ExitStack

import structlog

from toucanspool.backing.instances import Instance
from toucanspool.backing.table import TableError
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.membership.addresses import pick_entries
from toucanspool.membership.service import InstancesService
from toucanspool.recovery.lease import Lease

LEASE_TTL_S = 60.0
CANDIDATES = 5

_log = structlog.get_logger()


def may_stand(duty: str, instance: str, listed: Iterable[Instance]) -> bool:
    """Return whether an entry is among the few that stand for a duty.

    Every candidate reads the lease's row again and again, so there are few of them,
    in different failure domains.

    Parameters
    ----------
    duty : str
        Name of the duty.
    instance : str
        The entry's instance.
    listed : iterable of Instance
        All instances listed.

    Returns
    -------
    bool
    """
    return any(i.name == instance for i in pick_entries(duty, listed, CANDIDATES))


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

    __slots__ = (
        "_act",
        "_closing",
        "_duty",
        "_instance",
        "_instances",
        "_interval_s",
        "_kernel",
    )

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
        self._instances: InstancesService = kernel.find("instances")
        lease = Lease(
            table, self._duty, self._instance, ttl_s=LEASE_TTL_S, now=time.monotonic
        )
        rng = kernel.find("rng").named(self._duty)
        self._closing.callback(self._give_up, lease)
        self._tick(lease.interval_s, lambda: self._stand(lease), rng)
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

    def _stand(self, lease: Lease) -> None:
        listed = self._instances.instances
        if may_stand(self._duty, self._instance, listed):
            lease.step()

    def _work(self, lease: Lease) -> None:
        if lease.held(time.monotonic()):
            self._act(self._kernel)

    def _give_up(self, lease: Lease) -> None:
        try:
            lease.release()
        except TableError as exc:
            _log.info("lease not given up", duty=self._duty, error=str(exc))

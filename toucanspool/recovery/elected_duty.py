"""A duty that one entry at a time performs, elected by a lease."""

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
MAX_CANDIDATES = 5

_log = structlog.get_logger()


def is_candidate(duty: str, instance: str, listed: Iterable[Instance]) -> bool:
    """Return whether an entry is a candidate for a duty.

    Each candidate polls the lease row, so only a few entries are candidates. They
    are in different failure domains.

    Parameters
    ----------
    duty : str
        Name of the duty.
    instance : str
        Name of the entry's instance.
    listed : iterable of Instance
        All listed instances.

    Returns
    -------
    bool
    """
    return any(i.name == instance for i in pick_entries(duty, listed, MAX_CANDIDATES))


class ElectedDuty:
    """Run for election, and run an action at an interval while elected.

    The action must be safe to run in two processes at once, since a process that was
    paused may still believe that it is elected.

    Parameters
    ----------
    duty : str
        Name of the duty and of its lease.
    instance : str
        Name of this process's instance.
    interval_s : float
        Time between runs of the action, in seconds.
    action : callable
        Takes the kernel. A failure is logged, and the action runs again at the next
        interval.
    """

    __slots__ = (
        "_action",
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
        action: Callable[[Kernel], None],
    ) -> None:
        self._duty = duty
        self._instance = instance
        self._interval_s = interval_s
        self._action = action
        self._closing = ExitStack()

    def start(self, kernel: Kernel) -> None:
        """Start running for election; see `Service`."""
        self._kernel = kernel
        table = kernel.find("platform").table
        self._instances: InstancesService = kernel.find("instances")
        lease = Lease(
            table, self._duty, self._instance, ttl_s=LEASE_TTL_S, now=time.monotonic
        )
        rng = kernel.find("rng").named(self._duty)
        self._closing.callback(self._release, lease)
        self._start_ticker(lease.interval_s, lambda: self._campaign(lease), rng)
        self._start_ticker(self._interval_s, lambda: self._run_if_held(lease), rng)

    def stop(self) -> None:
        """Stop, and release the lease; see `Service`."""
        self._closing.close()

    def _start_ticker(
        self, interval_s: float, func: Callable[[], object], rng: random.Random
    ) -> None:
        ticker = Ticker(self._duty, interval_s, func, rng=rng)
        ticker.start()
        self._closing.callback(ticker.stop)

    def _campaign(self, lease: Lease) -> None:
        listed = self._instances.instances
        if is_candidate(self._duty, self._instance, listed):
            lease.step()

    def _run_if_held(self, lease: Lease) -> None:
        if lease.held(time.monotonic()):
            self._action(self._kernel)

    def _release(self, lease: Lease) -> None:
        try:
            lease.release()
        except TableError as exc:
            _log.info("could not release the lease", duty=self._duty, error=str(exc))

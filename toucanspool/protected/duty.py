"""The elected duty of one entry: clean up the claims of all agents."""

import contextlib
import time
from contextlib import ExitStack

import structlog

from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.platform.instances import ROLE_AGENT
from toucanspool.platform.table import TableError
from toucanspool.protected.janitor import RETENTION_S, Cleaned, Janitor
from toucanspool.recovery.lease import Lease

NAME = "janitor"
LEASE_TTL_S = 60.0
PAGE_INTERVAL_S = 0.5

_log = structlog.get_logger()


class JanitorDuty:
    """Stand for election, and clean a page at a time while elected.

    Parameters
    ----------
    instance : str
        This process's instance.
    retention_s : float, default=7 days
        Seconds for which a finished key is kept at least.
    """

    __slots__ = ("_closing", "_instance", "_instances", "_janitor", "_lease", "_retain")

    def __init__(self, instance: str, *, retention_s: float = RETENTION_S) -> None:
        self._instance = instance
        self._retain = retention_s
        self._closing = ExitStack()

    def start(self, kernel: Kernel) -> None:
        """Begin to stand for election; see `Service`."""
        platform = kernel.find("platform")
        self._instances = kernel.find("instances")
        self._janitor = Janitor(
            platform.table,
            platform.objects,
            now=time.monotonic,
            retention_s=self._retain,
        )
        self._lease = Lease(
            platform.table,
            NAME,
            self._instance,
            ttl_s=LEASE_TTL_S,
            now=time.monotonic,
        )
        rng = kernel.find("rng").named(NAME)
        self._closing.callback(self._release)
        for interval_s, func in (
            (self._lease.interval_s, self._lease.step),
            (PAGE_INTERVAL_S, self.clean),
        ):
            ticker = Ticker(NAME, interval_s, func, rng=rng)
            ticker.start()
            self._closing.callback(ticker.stop)

    def stop(self) -> None:
        """End the duty and give the lease up; see `Service`."""
        self._closing.close()

    def clean(self) -> Cleaned | None:
        """Clean one page, where this process is elected and knows the agents.

        Returns
        -------
        Cleaned or None
            None where nothing was done.

        Raises
        ------
        TableError
            The table failed; the next call goes on.
        """
        agents = {i.name for i in self._instances.instances if i.role == ROLE_AGENT}
        if not agents or not self._lease.held(time.monotonic()):
            return None
        cleaned = self._janitor.step(agents)
        if cleaned.removed or cleaned.abandoned:
            _log.info(
                "claims cleaned", removed=cleaned.removed, abandoned=cleaned.abandoned
            )
        return cleaned

    def _release(self) -> None:
        with contextlib.suppress(TableError):
            self._lease.release()

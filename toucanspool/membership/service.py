"""The platform's list of instances, polled at an interval."""

from collections.abc import Callable
from contextlib import ExitStack

import structlog

from toucanspool.backing.instances import (
    ROLE_ENTRY,
    STATE_LIVE,
    Instance,
    InstanceList,
    InstancesUnavailable,
)
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker

Listener = Callable[[list[Instance]], None]

_log = structlog.get_logger()


class InstancesService:
    """Poll the list of instances; during an outage the last list stays in use.

    Parameters
    ----------
    interval_s : float
        Time between reads, in seconds.
    """

    __slots__ = (
        "_closing",
        "_instances",
        "_interval_s",
        "_listeners",
        "_live_entries",
        "_source",
    )

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._instances: list[Instance] = []
        self._live_entries = 0
        self._listeners: list[Listener] = []
        self._closing = ExitStack()

    @property
    def live_entries(self) -> int:
        """Return the number of entries that are listed as live."""
        return self._live_entries

    @property
    def instances(self) -> list[Instance]:
        """Return the newest list."""
        return self._instances

    def on_update(self, listener: Listener) -> None:
        """Register a function to call with each changed list.

        Parameters
        ----------
        listener : callable
            Takes the list of instances.
        """
        self._listeners.append(listener)

    def start(self, kernel: Kernel) -> None:
        """Read the list and start polling; see `Service`."""
        self._source: InstanceList = kernel.find("platform").instances
        rng = kernel.find("rng").named("instances")
        ticker = Ticker("instances", self._interval_s, self.read, rng=rng)
        self.read()
        ticker.start()
        self._closing.callback(ticker.stop)

    def stop(self) -> None:
        """Stop polling; see `Service`."""
        self._closing.close()

    def read(self) -> None:
        """Read the list, and call the listeners if it changed."""
        try:
            instances = self._source.read()
        except InstancesUnavailable as exc:
            _log.warning("instance list unavailable", error=str(exc))
            return
        if instances is self._instances:
            return
        self._instances = instances
        self._live_entries = sum(
            i.role == ROLE_ENTRY and i.state == STATE_LIVE for i in self._instances
        )
        for listener in self._listeners:
            listener(self._instances)

"""The platform's list of instances, read at an interval."""

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
    """Keep the newest list; an outage keeps the last one in use.

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
        """Number of entries listed as live."""
        return self._live_entries

    @property
    def instances(self) -> list[Instance]:
        """The newest list."""
        return self._instances

    def on_list(self, listener: Listener) -> None:
        """Call a function with each list read.

        Parameters
        ----------
        listener : callable
            Takes the list.
        """
        self._listeners.append(listener)

    def start(self, kernel: Kernel) -> None:
        """Begin reading; see `Service`."""
        self._source: InstanceList = kernel.find("platform").instances
        rng = kernel.find("rng").named("instances")
        ticker = Ticker("instances", self._interval_s, self.read, rng=rng)
        self.read()
        ticker.start()
        self._closing.callback(ticker.stop)

    def stop(self) -> None:
        """End reading; see `Service`."""
        self._closing.close()

    def read(self) -> None:
        """Read the list once."""
        try:
            read = self._source.read()
        except InstancesUnavailable as exc:
            _log.warning("instance list unavailable", error=str(exc))
            return
        if read is self._instances:
            return
        self._instances = read
        self._live_entries = sum(
            i.role == ROLE_ENTRY and i.state == STATE_LIVE for i in self._instances
        )
        for listener in self._listeners:
            listener(self._instances)

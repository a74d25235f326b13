"""The task of an elected coordinator: recover, switch, and watch the group go on."""

from collections.abc import Callable

import structlog

from toucanspool.backing.objects import ObjectsUnavailable
from toucanspool.backing.table import TableError
from toucanspool.groups.coordinator import Coordinator
from toucanspool.groups.coordinator_failures import (
    LeaseLapsed,
    Superseded,
    SwitchFailed,
)

PROBE_INTERVAL_S = 1.0
RETRY_S = 0.1

log = structlog.get_logger()


class CoordinatorTask:
    """Run a coordinator for as long as it holds its lease.

    Parameters
    ----------
    coordinator : Coordinator
        The coordinator.
    ranks : int
        Number of ranks.
    next_map : callable
        Called with a timeout in seconds; returns the next expert map proposed, or
        None where none came.
    sleep : callable
        Waits for a number of seconds.
    """

    __slots__ = (
        "_coordinator",
        "_next_map",
        "_rank",
        "_ranks",
        "_recovered",
        "_sleep",
        "_step",
    )

    def __init__(
        self,
        coordinator: Coordinator,
        *,
        ranks: int,
        next_map: Callable[[float], bytes | None],
        sleep: Callable[[float], None],
    ) -> None:
        self._coordinator = coordinator
        self._ranks = ranks
        self._next_map = next_map
        self._sleep = sleep
        self._recovered = False
        self._rank = 0
        self._step: int | None = None

    def run(self) -> None:
        """Work until the lease lapses or a later coordinator is at work."""
        while True:
            try:
                self._work()
            except (LeaseLapsed, Superseded) as exc:
                log.info("coordinator ends", reason=type(exc).__name__)
                return
            except SwitchFailed as exc:
                log.warning("map switch failed", reason=exc.outcome.value)
            except (TableError, ObjectsUnavailable) as exc:
                log.warning("coordinator waits for the platform", error=str(exc))
                self._recovered = False
                self._sleep(RETRY_S)

    def _work(self) -> None:
        self._coordinator.check_lease()
        if not self._recovered:
            version = self._coordinator.recover()
            self._recovered = True
            self._step = None
            log.info("group recovered", version=version)
        experts = self._next_map(PROBE_INTERVAL_S)
        if experts is not None:
            self._coordinator.switch(experts)
            self._step = None
            return
        self._watch()

    def _watch(self) -> None:
        """Recover again when the group has not moved between two probes."""
        step = self._coordinator.probe(self._rank)
        self._rank = (self._rank + 1) % self._ranks
        if step is not None and step != self._step:
            self._step = step
            return
        self._recovered = False

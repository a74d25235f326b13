"""Main loop of an elected coordinator: recover, switch, and monitor the group."""

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
RETRY_DELAY_S = 0.1

log = structlog.get_logger()


class CoordinatorTask:
    """Run a coordinator for as long as it holds its lease.

    Parameters
    ----------
    coordinator : Coordinator
        Switches the group's map, and recovers from interrupted switches.
    ranks : int
        Number of ranks in the group.
    next_map : callable
        Called with a timeout in seconds; returns the next proposed map, encoded, or
        None on a timeout.
    sleep : callable
        Blocks for a number of seconds.
    """

    __slots__ = (
        "_coordinator",
        "_last_step",
        "_next_map",
        "_probe_rank",
        "_ranks",
        "_recovered",
        "_sleep",
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
        self._probe_rank = 0
        self._last_step: int | None = None

    def run(self) -> None:
        """Run until the lease lapses or a later coordinator is active."""
        while True:
            try:
                self._run_once()
            except (LeaseLapsed, Superseded) as exc:
                log.info("coordinator stopped", reason=type(exc).__name__)
                return
            except SwitchFailed as exc:
                log.warning("map switch failed", reason=exc.outcome.value)
            except (TableError, ObjectsUnavailable) as exc:
                log.warning("platform unavailable; coordinator retries", error=str(exc))
                self._recovered = False
                self._sleep(RETRY_DELAY_S)

    def _run_once(self) -> None:
        self._coordinator.check_lease()
        if not self._recovered:
            version = self._coordinator.recover()
            self._recovered = True
            self._last_step = None
            log.info("group recovered", version=version)
        experts = self._next_map(PROBE_INTERVAL_S)
        if experts is not None:
            self._coordinator.switch(experts)
            self._last_step = None
            return
        self._check_progress()

    def _check_progress(self) -> None:
        """Trigger a recovery if the probe gets no reply or shows no new step."""
        step = self._coordinator.probe(self._probe_rank)
        self._probe_rank = (self._probe_rank + 1) % self._ranks
        if step is not None and step != self._last_step:
            self._last_step = step
            return
        self._recovered = False

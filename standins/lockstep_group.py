"""In-memory group of ranks that run in lock-step on an expert map.

A step starts when every rank has finished the previous step and none is held. The
map version of each rank is fixed when the step starts and recorded in
`LockstepGroup.steps`, where tests check that no step mixed two maps. A rank that
restarts aborts the current step and loses its map. It rejoins only when it is resumed,
which starts a new incarnation of the group.
"""

from collections.abc import Collection
from dataclasses import dataclass

from standins.faults import FaultDown, FaultLostAnswer, Faults
from toucanspool.groups.engine import (
    NO_MAP,
    EngineRefused,
    EngineState,
    EngineUnavailable,
)


@dataclass(slots=True, frozen=True)
class StepRecord:
    """Record the map versions used in a step.

    Parameters
    ----------
    step : int
        Number of the step within the group.
    incarnation : int
        Number of the group's incarnation.
    versions : tuple of int
        Map version of each rank.
    """

    step: int
    incarnation: int
    versions: tuple[int, ...]


class RankEngine:
    """Simulate the engine of one rank; implements `groups.engine.Engine`.

    An engine that ignores fencing tokens also switches while it is not held and
    resumes on any map. Only its agent prevents unsafe orders.

    Parameters
    ----------
    group : LockstepGroup
        The group that the rank belongs to.
    version : int
        Version of the initial map.
    checks_fence : bool
        Whether orders with a stale fencing token are refused.
    """

    __slots__ = (
        "_checks_fence",
        "_fence",
        "_group",
        "_hold_wanted",
        "_staged_version",
        "_version",
        "faults",
        "in_group",
        "in_step",
        "loading_version",
        "load_ticks_left",
        "lost",
        "stall_left",
    )

    def __init__(
        self, group: "LockstepGroup", *, version: int, checks_fence: bool
    ) -> None:
        self._group = group
        self._checks_fence = checks_fence
        self.faults = Faults()
        self.lost = False
        self.restart()
        self._version = version
        self.in_group = version != NO_MAP

    @property
    def version(self) -> int:
        """Return the version of the map in use."""
        return self._version

    @property
    def ready(self) -> bool:
        """Return whether the rank may start a step."""
        free = self.in_group and not self._hold_wanted
        return free and not self.lost and not self.stall_left

    def restart(self) -> None:
        """Reset all state, drop the map and leave the group."""
        self._version = NO_MAP
        self._staged_version = NO_MAP
        self._fence = 0
        self._hold_wanted = False
        self.in_group = False
        self.in_step = False
        self.loading_version = NO_MAP
        self.load_ticks_left = 0
        self.stall_left = 0

    def finish_load(self) -> None:
        """Make the loaded map the staged one."""
        self._staged_version = self.loading_version
        self.loading_version = NO_MAP

    def state(self) -> EngineState:
        """Return the rank's state."""
        self._check_available()
        held = not self.in_step and (self._hold_wanted or not self.in_group)
        return EngineState(self._version, self._staged_version, held, self._group.step)

    def load(self, version: int, experts: bytes, fence: int) -> None:
        """Start to load the experts of a map while the current map stays in use."""
        self._check_order(fence)
        if version not in (self._version, self._staged_version, self.loading_version):
            self.loading_version = version
            self.load_ticks_left = self._group.load_ticks
        self._check_answered()

    def hold(self, fence: int) -> None:
        """Hold the rank at the next step boundary."""
        self._check_order(fence)
        self._hold_wanted = True
        self._check_answered()

    def switch(self, version: int, fence: int) -> None:
        """Activate the staged map and stage the one used until now."""
        self._check_order(fence)
        if version != self._version:
            if version != self._staged_version or version == NO_MAP:
                raise EngineRefused("map is not loaded")
            self._version, self._staged_version = version, self._version
        self._check_answered()

    def resume(self, fence: int) -> None:
        """Let the rank start steps again."""
        self._check_order(fence)
        if self._version == NO_MAP:
            raise EngineRefused("no active map")
        self._hold_wanted = False
        if not self.in_group:
            self.in_group = True
            self._group.incarnation += 1
        self._check_answered()

    def _check_order(self, fence: int) -> None:
        self._check_available()
        if self._checks_fence and fence < self._fence:
            raise EngineRefused("stale fencing token")
        self._fence = max(self._fence, fence)

    def _check_available(self) -> None:
        if self.lost:
            raise EngineUnavailable("rank is lost")
        try:
            self.faults.before()
        except FaultDown as exc:
            raise EngineUnavailable("injected fault: engine down") from exc

    def _check_answered(self) -> None:
        try:
            self.faults.after_write()
        except FaultLostAnswer as exc:
            raise EngineUnavailable("injected fault: answer lost") from exc


class LockstepGroup:
    """Advance ranks in lock-step.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    version : int, default=0
        Version of the initial map of every rank.
    checks_fence : collection of int, default=()
        The ranks whose engines refuse stale fencing tokens.
    load_ticks : int, default=3
        Ticks that a load of one rank's experts takes.
    store_slots : int, default=4
        Number of loads that the rate-limited weight store serves at a time.

    Attributes
    ----------
    steps : list of StepRecord
        All steps that were started.
    step : int
        Number of steps finished.
    incarnation : int
        Number of the group's incarnation.
    """

    def __init__(
        self,
        ranks: int,
        *,
        version: int = NO_MAP,
        checks_fence: Collection[int] = (),
        load_ticks: int = 3,
        store_slots: int = 4,
    ) -> None:
        self.load_ticks = load_ticks
        self._store_slots = store_slots
        self.steps: list[StepRecord] = []
        self.step = 0
        self.incarnation = 1
        self._stepping = False
        self.engines = [
            RankEngine(self, version=version, checks_fence=rank in checks_fence)
            for rank in range(ranks)
        ]

    def tick(self) -> None:
        """Advance loads and the current step by one tick."""
        self._advance_loads()
        for engine in self.engines:
            if engine.stall_left:
                engine.stall_left -= 1
            elif not engine.lost:
                engine.in_step = False
        if self._stepping and not any(e.in_step for e in self.engines):
            self._stepping = False
            self.step += 1
        if not self._stepping and all(e.ready for e in self.engines):
            self._start_step()

    def restart(self, rank: int) -> None:
        """Restart a rank's engine, or replace that of a lost rank.

        Parameters
        ----------
        rank : int
            Number of the rank.
        """
        self.engines[rank].lost = False
        self.engines[rank].restart()
        self._abort_step()

    def lose(self, rank: int) -> None:
        """Make a rank unavailable until `restart` replaces it.

        Parameters
        ----------
        rank : int
            Number of the rank.
        """
        self.engines[rank].lost = True

    def stall(self, rank: int, ticks: int) -> None:
        """Keep a rank from making progress.

        Parameters
        ----------
        rank : int
            Number of the rank.
        ticks : int
            Length of the stall.
        """
        self.engines[rank].stall_left = ticks

    def mixed_steps(self) -> list[StepRecord]:
        """Return the steps in which ranks used different maps."""
        return [s for s in self.steps if len(set(s.versions)) > 1]

    def _start_step(self) -> None:
        versions = tuple(engine.version for engine in self.engines)
        self.steps.append(StepRecord(self.step, self.incarnation, versions))
        self._stepping = True
        for engine in self.engines:
            engine.in_step = True

    def _abort_step(self) -> None:
        self._stepping = False
        for engine in self.engines:
            engine.in_step = False

    def _advance_loads(self) -> None:
        waiting = [
            e for e in self.engines if e.loading_version != NO_MAP and not e.lost
        ]
        for engine in waiting[: self._store_slots]:
            engine.load_ticks_left -= 1
            if engine.load_ticks_left <= 0:
                engine.finish_load()

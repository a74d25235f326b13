"""A group of ranks that run in lock-step on an expert map.

A step starts when every rank has arrived at its boundary and none is held; no rank
starts a step before all have finished the one before. Each rank's map version is
bound when the step starts and recorded: `LockstepGroup.steps` is what oracles read.
A rank that restarts ends the step under way, has no map, and takes part again only
when it is resumed, in a new incarnation of the group.
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
    """Hold what a step used.

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
    """Stand for the engine of one rank; implements `groups.engine.Engine`.

    An engine that ignores fencing numbers also switches when it isn't held and
    resumes on any map: only its agent keeps it safe.

    Parameters
    ----------
    group : LockstepGroup
        The group.
    version : int
        Version of the map at first.
    checks_fence : bool
        Whether orders with an old fencing number are refused.
    """

    __slots__ = (
        "_checks_fence",
        "_fence",
        "_group",
        "_hold_wanted",
        "_spare",
        "_version",
        "faults",
        "in_group",
        "in_step",
        "loading",
        "load_left",
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
        """Forget everything and leave the group."""
        self._version = NO_MAP
        self._spare = NO_MAP
        self._fence = 0
        self._hold_wanted = False
        self.in_group = False
        self.in_step = False
        self.loading = NO_MAP
        self.load_left = 0
        self.stall_left = 0

    def loaded(self) -> None:
        """End a load."""
        self._spare = self.loading
        self.loading = NO_MAP

    def state(self) -> EngineState:
        """Return the rank's state."""
        self._before()
        held = not self.in_step and (self._hold_wanted or not self.in_group)
        return EngineState(self._version, self._spare, held, self._group.step)

    def load(self, version: int, experts: bytes, fence: int) -> None:
        """Start to load the experts of a map beside those in use."""
        self._order(fence)
        if version not in (self._version, self._spare, self.loading):
            self.loading = version
            self.load_left = self._group.load_ticks
        self._after()

    def hold(self, fence: int) -> None:
        """Hold the rank at the next step boundary."""
        self._order(fence)
        self._hold_wanted = True
        self._after()

    def switch(self, version: int, fence: int) -> None:
        """Use the map loaded beside, and keep the one in use until now beside."""
        self._order(fence)
        if version != self._version:
            if version != self._spare or version == NO_MAP:
                raise EngineRefused("that map is not loaded")
            self._version, self._spare = version, self._version
        self._after()

    def resume(self, fence: int) -> None:
        """Let the rank start steps again."""
        self._order(fence)
        if self._version == NO_MAP:
            raise EngineRefused("no map")
        self._hold_wanted = False
        if not self.in_group:
            self.in_group = True
            self._group.incarnation += 1
        self._after()

    def _order(self, fence: int) -> None:
        self._before()
        if self._checks_fence and fence < self._fence:
            raise EngineRefused("old fencing number")
        self._fence = max(self._fence, fence)

    def _before(self) -> None:
        if self.lost:
            raise EngineUnavailable("lost")
        try:
            self.faults.before()
        except FaultDown as exc:
            raise EngineUnavailable("down") from exc

    def _after(self) -> None:
        try:
            self.faults.after_write()
        except FaultLostAnswer as exc:
            raise EngineUnavailable("answer lost") from exc


class LockstepGroup:
    """Advance ranks in lock-step.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    version : int, default=0
        Version of every rank's map at first.
    checks_fence : collection of int, default=()
        The ranks whose engines refuse old fencing numbers.
    load_ticks : int, default=3
        Ticks that the weight store takes to load one rank's experts.
    store_slots : int, default=4
        Loads that the rate-limited weight store serves at a time.

    Attributes
    ----------
    steps : list of StepRecord
        Every step started.
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
        """Let loads, and the step under way, go on by one tick."""
        self._load()
        for engine in self.engines:
            if engine.stall_left:
                engine.stall_left -= 1
            elif not engine.lost:
                engine.in_step = False
        if self._stepping and not any(e.in_step for e in self.engines):
            self._stepping = False
            self.step += 1
        if not self._stepping and all(e.ready for e in self.engines):
            self._start()

    def restart(self, rank: int) -> None:
        """Restart a rank's engine, or put a new one in a lost one's place.

        Parameters
        ----------
        rank : int
            The rank.
        """
        self.engines[rank].lost = False
        self.engines[rank].restart()
        self._break_off()

    def lose(self, rank: int) -> None:
        """Lose a rank for good; `restart` puts a new one in its place.

        Parameters
        ----------
        rank : int
            The rank.
        """
        self.engines[rank].lost = True

    def stall(self, rank: int, ticks: int) -> None:
        """Let a rank make no progress.

        Parameters
        ----------
        rank : int
            The rank.
        ticks : int
            For how long.
        """
        self.engines[rank].stall_left = ticks

    def mixed_steps(self) -> list[StepRecord]:
        """Return the steps in which ranks used different maps."""
        return [s for s in self.steps if len(set(s.versions)) > 1]

    def _start(self) -> None:
        versions = tuple(engine.version for engine in self.engines)
        self.steps.append(StepRecord(self.step, self.incarnation, versions))
        self._stepping = True
        for engine in self.engines:
            engine.in_step = True

    def _break_off(self) -> None:
        self._stepping = False
        for engine in self.engines:
            engine.in_step = False

    def _load(self) -> None:
        waiting = [e for e in self.engines if e.loading != NO_MAP and not e.lost]
        for engine in waiting[: self._store_slots]:
            engine.load_left -= 1
            if engine.load_left <= 0:
                engine.loaded()

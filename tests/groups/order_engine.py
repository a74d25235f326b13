"""Engines as seen from a machine, to which orders may be lost or late."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import gevent

from standins.pass_group import PassEngine
from toucanspool.groups.rank_engine import (
    ExpertCounts,
    OrderLost,
    OrderRefused,
    RankEngineError,
    RankState,
)

if TYPE_CHECKING:
    from tests.groups.order_machines import Machine
    from tests.groups.order_world import World

ANSWER_S = {"arm": 0.1, "hold": 0.1, "go": 0.1}
OTHER_ANSWER_S = 0.2


@dataclass(slots=True)
class OrderFaults:
    """Shares of the orders to one engine that are lost, and late by a range."""

    lost: float = 0.0
    late: float = 0.0
    late_s: tuple[float, float] = (0.0, 0.0)


class RemoteEngine(PassEngine):
    """Engine of a rank as seen from a machine; implements `RankEngine`."""

    def __init__(self, world: "World", rank: int, machine: "Machine") -> None:
        super().__init__(world.group, rank)
        self._world = world
        self._machine = machine
        self._local = machine.rank == rank
        self._lag_s = 0.0 if self._local else world.rng.uniform(*world.lag_s)

    def state(self) -> RankState:
        """Return the rank's state, of a while ago from another machine."""
        return self._call(lambda: self._world.told(self._rank, self._lag_s))

    def expert_counts(self) -> ExpertCounts:
        """Return how often each expert was selected."""
        return self._call(lambda: PassEngine.expert_counts(self))

    def experts(self) -> list[list[int]]:
        """Return this rank's experts."""
        return self._call(lambda: PassEngine.experts(self))

    def _send_order(self, epoch: int, name: str, *args: Any) -> None:
        world, timeout_s = self._world, ANSWER_S.get(name, OTHER_ANSWER_S)
        world.count_order(name)
        fate, late_s = world.fate(self._rank, name, args)
        shown = (name, *(a for a in args if not isinstance(a, bytes)))

        def execute() -> None:
            note = f"m{self._machine.rank} to rank {self._rank}: {shown} {fate}"
            if fate == "lost":
                world.note(note)
                return
            try:
                world.group.execute(self._rank, name, args)
            except OrderRefused as exc:
                world.note(f"{note} refused: {exc}")
                raise
            finally:
                world.keep_states()
            world.note(f"{note} done, {world.shown(self._rank)}")

        if fate:
            world.note(f"m{self._machine.rank} to rank {self._rank}: {shown} is {fate}")
        silent = bool(fate)
        self._call(execute, timeout_s, error=OrderLost, late_s=late_s, silent=silent)

    def _call(
        self,
        act: Callable[[], Any],
        timeout_s: float = OTHER_ANSWER_S,
        *,
        error: type[RankEngineError] = RankEngineError,
        late_s: float = 0.0,
        silent: bool = False,
    ) -> Any:
        world, engine_machine = self._world, self._world.machines[self._rank]
        # The process may freeze between its check of the token and the order.
        world.sleep(world.rng.uniform(0.0, 0.002))
        result = world.result()

        def arrive() -> None:
            if not engine_machine.engine_running:
                engine_machine.backlog.append(arrive)
                return
            reply = result.set
            try:
                value = act()
            except OrderRefused as exc:
                reply, value = result.set_exception, exc
            if not silent:
                world.later(world.latency_s(), reply, value)

        world.later(world.latency_s() + late_s, arrive)
        try:
            return result.get(timeout=timeout_s)
        except gevent.Timeout:
            raise error("no answer") from None

"""One group's machines, engines and clock, for tests of interleavings.

The production code of members, coordinators, agents and links runs unchanged, in
virtual time. The world records all orders, and what the members log.
"""

import heapq
import math
import random
from collections.abc import Callable
from typing import Any

import gevent
import numpy as np
from gevent.event import AsyncResult, Event

from standins.pass_group import MixedMaps, PassEngine, PassGroup
from tests.groups.order_engine import OrderFaults
from tests.groups.order_machines import MODEL, RANKS, DelayedTable, Machine
from toucanspool.groups.rank_engine import RankState
from toucanspool.routing.routes import EngineModel


class World:
    """Hold the machines of one group, its engines and the clock.

    Parameters
    ----------
    rng : random.Random
        Source of all random choices.
    lag_s : pair of float, default=(0.0, 0.3)
        Range of the lag with which an engine tells its state to other machines.
    timeouts_first : float, default=0.5
        Probability that a process that wakes finds an answer to be late that came
        meanwhile.
    tick_s : float, default=0.05
        Time between the passes of a busy group.
    min_skew_gain : float, default=0.02
        The least gain for which a coordinator changes the map.
    ranks : int, default=4
        Number of ranks, each on a machine of its own.
    model : EngineModel
        Numbers of layer sets, experts and expert slots.
    latency_range_s : pair of float, default=(0.0002, 0.006)
        Range of the time of one message.
    link_bits_per_s : float, default=inf
        Rate at which a machine receives messages, one after the other.
    handling_s : float, default=0.0
        Processor time that a machine needs for each message.
    group_options : dict
        Options of the `PassGroup`.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        lag_s: tuple[float, float] = (0.0, 0.3),
        timeouts_first: float = 0.5,
        tick_s: float = 0.05,
        min_skew_gain: float = 0.02,
        ranks: int = RANKS,
        model: EngineModel = MODEL,
        latency_range_s: tuple[float, float] = (0.0002, 0.006),
        link_bits_per_s: float = math.inf,
        handling_s: float = 0.0,
        **group_options: Any,
    ) -> None:
        self.rng = rng
        self.lag_s = lag_s
        self.timeouts_first = timeouts_first
        self.tick_s = tick_s
        self.min_skew_gain = min_skew_gain
        self.strict = True
        self.now = 100.0
        self.model = model
        self.latency_range_s = latency_range_s
        self.link_bits_per_s = link_bits_per_s
        self.handling_s = handling_s
        spare = model.copies_per_set
        self.group = PassGroup(ranks, rng, spare=spare, **group_options)
        for row in self.group.rows:
            row.counts = np.ones((model.layer_sets, model.experts), dtype=int)
        self.faults = [OrderFaults() for _ in range(ranks)]
        self.pass_starts: list[float] = []
        self.held_ticks = 0
        self.trace: list[str] = []
        self.errors: list[str] = []
        self.busy = True
        self.hot = 0
        self._calm = False
        self._waiting: list[list] = []
        self._states: list[list[tuple[float, RankState]]] = [[] for _ in range(ranks)]
        self._due: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._n_due = 0
        self.keep_states()
        self.table = DelayedTable(self)
        self.machines = [Machine(self, rank) for rank in range(ranks)]

    def run(self, duration_s: float) -> None:
        """Run all machines and the group for a while."""
        end = self.now + duration_s
        next_tick = self.now
        while (now := self.now) < end:
            if now >= next_tick:
                self._tick()
                next_tick += self.tick_s
            at = min(next_tick, self._due[0][0] if self._due else end)
            self.now = max(now, at)
            while self._due and self._due[0][0] <= self.now:
                _, _, call, args = heapq.heappop(self._due)
                call(*args)
            gevent.idle()

    def later(self, delay_s: float, call: Callable[..., None], *args: Any) -> None:
        """Make a call, which must not block, after a delay."""
        self._n_due += 1
        due = (self.now + delay_s, self._n_due, call, args)
        heapq.heappush(self._due, due)

    def after_orders(
        self, count: int, call: Callable[[], None], name: str = ""
    ) -> None:
        """Make a call, which must not block, as an agent gives a later order."""
        self._waiting.append([count, name, call])

    def count_order(self, name: str) -> None:
        """Count an order, and make the calls that wait for it."""
        for item in list(self._waiting):
            if item[1] in ("", name):
                item[0] -= 1
                if item[0] <= 0:
                    self._waiting.remove(item)
                    item[2]()

    def fault(self, delay_s: float, call: Callable[..., None], *args: Any) -> None:
        """Make a call after a delay, unless faults have ended by then."""
        self.later(delay_s, lambda: None if self._calm else call(*args))

    def end_faults(self) -> None:
        """Let all machines run, all orders be answered, and the group be busy."""
        self.note("faults end")
        self._calm = self.busy = True
        self._waiting.clear()
        self.fate = lambda rank, name, args: ("", 0.0)
        for machine in self.machines:
            machine.wake()
            if machine.agent is None:
                machine.start()

    def sleep(self, seconds: float = 0.0) -> None:
        """Wait, and then until the calling process isn't frozen."""
        done = Event()
        self.later(seconds, done.set)
        done.wait()
        self.gate()

    def fate(self, rank: int, name: str, args: tuple) -> tuple[str, float]:
        """Return whether an order is lost or late, and its delay in seconds."""
        faults, sample = self.faults[rank], self.rng.random()
        if sample < faults.lost:
            return "lost", 0.0
        if sample < faults.lost + faults.late:
            return "late", self.rng.uniform(*faults.late_s)
        return "", 0.0

    def gate(self) -> None:
        """Wait until the calling process isn't frozen."""
        locals_ = getattr(gevent.getcurrent(), "spawn_tree_locals", None) or {}
        machine = locals_.get("machine")
        while machine is not None and not machine.running.is_set():
            machine.running.wait()

    def result(self) -> "VirtualResult":
        """Return a result whose timeouts are in virtual time."""
        result = VirtualResult()
        result.world = self
        return result

    def latency_s(self) -> float:
        """Return the time of one message."""
        return self.rng.uniform(*self.latency_range_s)

    def note(self, line: str) -> None:
        """Record a line."""
        self.trace.append(f"{self.now:.4f} pass {self.group.step} {line}")

    def shown(self, rank: int) -> str:
        """Return a rank's state in words."""
        row = self.group.rows[rank]
        prepared = row.prepared and row.prepared[0]
        return f"map {row.map[0]} prepared {prepared} armed {row.armed} held {row.held}"

    def keep_states(self) -> None:
        """Record the states of all ranks, which may be told later."""
        for rank, states in enumerate(self._states):
            state = PassEngine(self.group, rank).state()
            if not states or states[-1][1] != state:
                states.append((self.now, state))

    def told(self, rank: int, lag_s: float) -> RankState:
        """Return the state of a rank that was current a while ago."""
        at = self.now - lag_s
        states = self._states[rank]
        return next((s for t, s in reversed(states) if t <= at), states[0][1])

    def _tick(self) -> None:
        for row in self.group.rows:
            # Plans go on while the group is idle.
            row.counts = row.counts + 5
            row.counts[:, self.hot] += 150
        before, step = [row.map for row in self.group.rows], self.group.step
        self.held_ticks += self.busy and self.group.held
        try:
            self.group.tick(busy=self.busy)
        except MixedMaps as exc:
            self.note(str(exc))
            if self.strict:
                raise
        finally:
            self.keep_states()
            if self.group.step != step:
                self.pass_starts.append(self.now)
            if [row.map for row in self.group.rows] != before:
                shown = map(self.shown, range(len(before)))
                self.note("ranks switch: " + "; ".join(shown))


class VirtualResult(AsyncResult):
    """A result whose timeouts are in virtual time."""

    world: World

    def get(self, block: bool = True, timeout: float | None = None) -> Any:
        """Return the value; see `AsyncResult`."""
        world = self.world
        end = world.now + (timeout or 0.0)
        if timeout is not None and not self.ready():
            expired = Event()
            world.later(timeout, expired.set)
            gevent.wait([self, expired], count=1)
        world.gate()
        # As a process wakes, timeouts may come before answers.
        woke_late = world.now > end and world.rng.random() < world.timeouts_first
        if timeout is not None and (not self.ready() or woke_late):
            raise gevent.Timeout(timeout)
        return super().get()

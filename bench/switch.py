"""Measure how long a map switch stalls a group: ``python -m bench.switch``.

Agents and the coordinator are the real code and ranks are the lock-step stand-in, all
in one process; messages have a random delay each way. Steps follow the wall clock.
The stall is the longest gap between two step starts around the switch, minus the time
of one step.
"""

import itertools
import logging
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import structlog
from absl import app as absl_app
from absl import flags
from gevent.event import Event

from standins.lockstep_group import LockstepGroup
from standins.memory import MemoryObjects, MemoryTable
from toucanspool.groups.coordinator import Coordinator
from toucanspool.groups.orders import GreenletOrderSender
from toucanspool.groups.rank_agent import RankAgent
from toucanspool.groups.record import MapStore, RecordStore
from toucanspool.groups.switch_intent import RoundTimings
from toucanspool.wire.gen.messages.ttypes import Order, OrderKind, OrderReply

GROUP = "bench"
SETTLE_S = 0.4

RANKS = flags.DEFINE_list("ranks", ["8", "32", "128"], "Numbers of ranks.")
SEEDS = flags.DEFINE_integer("seeds", 5, "Number of seeds, from 1.")
STEP_MS = flags.DEFINE_float("step_ms", 30.0, "Time of one step, in milliseconds.")
LINK_MS = flags.DEFINE_float("link_ms", 1.0, "Mean time of a message one way.")


@dataclass(slots=True)
class BenchLease:
    """Lease that is always held."""

    token: int

    def held(self, now: float) -> bool:
        """Return True."""
        return True


class GroupStepper:
    """Step a group by the wall clock and record the start time of each step.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    step_s : float
        Time of one step, in seconds.
    """

    def __init__(self, ranks: int, step_s: float) -> None:
        self.group = LockstepGroup(ranks, load_ticks=2, store_slots=ranks)
        self.step_starts: list[float] = []
        self._step_s = step_s
        self._ends_at = 0.0
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop stepping."""
        self._greenlet.kill()

    def longest_gap_since(self, since: float) -> float:
        """Return the longest gap between step starts since a time, in seconds."""
        starts = [at for at in self.step_starts if at >= since - 2 * self._step_s]
        return max(b - a for a, b in itertools.pairwise(starts))

    def _run(self) -> None:
        while True:
            step_count = len(self.group.steps)
            if time.monotonic() >= self._ends_at:
                self.group.tick()
            if len(self.group.steps) > step_count:
                self.step_starts.append(time.monotonic())
                self._ends_at = self.step_starts[-1] + self._step_s
            # A waiting group polls for its next step every half millisecond.
            gevent.sleep(max(0.0005, self._ends_at - time.monotonic()))


class DelayedOrders:
    """Deliver orders to agents in this process after a random delay.

    Parameters
    ----------
    agents : list of RankAgent
        Agents by rank.
    rng : random.Random
        Random source of the exponential delays.
    mean_s : float
        Mean delay one way, in seconds.
    """

    def __init__(
        self, agents: list[RankAgent], rng: random.Random, mean_s: float
    ) -> None:
        self._agents = agents
        self._rng = rng
        self._mean_s = mean_s
        self.on_order: Callable[[Order], None] = lambda order: None

    def send(self, rank: int, order: Order) -> OrderReply:
        """Send an order; see `OrderTransport`."""
        self.on_order(order)
        gevent.sleep(self._rng.expovariate(1 / self._mean_s))
        reply = self._agents[rank].handle(order)
        gevent.sleep(self._rng.expovariate(1 / self._mean_s))
        return reply


class BenchGroup:
    """Group with its agents and an in-memory platform.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    seed : int
        Seed of the delays.
    """

    def __init__(self, ranks: int, seed: int) -> None:
        self.stepper = GroupStepper(ranks, STEP_MS.value / 1000)
        self.ranks = ranks
        self._table = MemoryTable()
        self._objects = MemoryObjects()
        store = RecordStore(self._table, GROUP)
        agents = [
            RankAgent(engine=e, fence_source=store) for e in self.stepper.group.engines
        ]
        for agent in agents:
            agent.read_recorded_fence()
        rng = random.Random(seed)
        self.orders = DelayedOrders(agents, rng, LINK_MS.value / 1000)

    def coordinator(self, token: int) -> Coordinator:
        """Return a coordinator whose lease has a token."""
        return Coordinator(
            group=GROUP,
            ranks=self.ranks,
            store=RecordStore(self._table, GROUP),
            maps=MapStore(self._objects, GROUP),
            lease=BenchLease(token),
            order_sender=GreenletOrderSender(self.orders),
            clock=time.monotonic,
            timings=RoundTimings(load_poll_interval_s=0.1),
        )

    def measure_stall(self, action: Callable[[], object]) -> float:
        """Return the stall caused by an action, in seconds."""
        gevent.sleep(SETTLE_S)
        since = time.monotonic()
        action()
        gevent.sleep(SETTLE_S)
        if self.stepper.group.mixed_steps():
            raise SystemExit("ranks used different maps in the same step")
        return self.stepper.longest_gap_since(since) - STEP_MS.value / 1000


def switch_stall(bench: BenchGroup) -> float:
    """Return the stall of one switch without faults."""
    coordinator = bench.coordinator(1)
    coordinator.switch(b"map a")
    return bench.measure_stall(lambda: coordinator.switch(b"map b"))


def takeover_stall(bench: BenchGroup, kind: int) -> float:
    """Return the stall when the coordinator fails after half of a phase's orders.

    The successor starts immediately, so the time to acquire the lease is excluded.
    """
    bench.coordinator(1).switch(b"map a")
    failing = bench.coordinator(2)
    failing.recover()
    return bench.measure_stall(lambda: _fail_and_take_over(bench, failing, kind))


def _fail_and_take_over(bench: BenchGroup, failing: Coordinator, kind: int) -> None:
    greenlet = gevent.spawn(failing.switch, b"map b")
    order_count = itertools.count(1)
    threshold_reached = Event()

    def on_order(order: Order) -> None:
        if order.kind == kind and next(order_count) * 2 > bench.ranks:
            threshold_reached.set()

    bench.orders.on_order = on_order
    threshold_reached.wait()
    greenlet.kill()
    bench.orders.on_order = lambda order: None
    bench.coordinator(3).recover()


def restart_stall(bench: BenchGroup) -> float:
    """Return the stall of a fresh incarnation, where all engines restart."""
    coordinator = bench.coordinator(1)
    coordinator.switch(b"map a")
    return bench.measure_stall(lambda: _restart_all(bench, coordinator))


def _restart_all(bench: BenchGroup, coordinator: Coordinator) -> None:
    for rank in range(bench.ranks):
        bench.stepper.group.restart(rank)
    coordinator.recover()


CASES: dict[str, Callable[[BenchGroup], float]] = {
    "switch": switch_stall,
    "coordinator dies while holding": lambda b: takeover_stall(b, OrderKind.HOLD),
    "coordinator dies while switching": lambda b: takeover_stall(b, OrderKind.SWITCH),
    "coordinator dies while resuming": lambda b: takeover_stall(b, OrderKind.RESUME),
    "all engines restart (fresh incarnation)": restart_stall,
}


def main(argv: list[str]) -> None:
    """Print a table of stalls."""
    warning_logger = structlog.make_filtering_bound_logger(logging.WARNING)
    structlog.configure(wrapper_class=warning_logger)
    print(f"step {STEP_MS.value:g} ms, link {LINK_MS.value:g} ms one way (mean)\n")
    print("| case | ranks | stall ms, median | min | max | seeds |")
    print("| --- | --- | --- | --- | --- | --- |")
    for (name, case), ranks in itertools.product(CASES.items(), RANKS.value):
        stalls = []
        for seed in range(1, SEEDS.value + 1):
            bench = BenchGroup(int(ranks), seed)
            stalls.append(case(bench) * 1000)
            bench.stepper.close()
        median = statistics.median(stalls)
        cells = f"{median:.1f} | {min(stalls):.1f} | {max(stalls):.1f}"
        print(f"| {name} | {ranks} | {cells} | {len(stalls)} |", flush=True)


if __name__ == "__main__":
    absl_app.run(main)

"""Measure how long a map switch stalls a group: ``python -m bench.switch``.

Ranks, agents and the coordinator are the product's code and the lock-step stand-in
in one process; each message takes a drawn time each way. Steps are taken by the
clock, so the stall is what the steps show: the longest gap between two step starts
around the switch, less the time of one step.
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
    """A lease that is always held."""

    token: int

    def held(self, now: float) -> bool:
        """Return True."""
        return True


class TimedGroup:
    """Step a group by the clock and keep the time of each step's start.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    step_s : float
        Time of one step, in seconds.
    """

    def __init__(self, ranks: int, step_s: float) -> None:
        self.group = LockstepGroup(ranks, load_ticks=2, store_slots=ranks)
        self.starts: list[float] = []
        self._step_s = step_s
        self._ends_at = 0.0
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop stepping."""
        self._greenlet.kill()

    def gap_after(self, since: float) -> float:
        """Return the longest gap between step starts, in seconds, since a time."""
        starts = [at for at in self.starts if at >= since - 2 * self._step_s]
        return max(b - a for a, b in itertools.pairwise(starts))

    def _run(self) -> None:
        while True:
            started = len(self.group.steps)
            if time.monotonic() >= self._ends_at:
                self.group.tick()
            if len(self.group.steps) > started:
                self.starts.append(time.monotonic())
                self._ends_at = self.starts[-1] + self._step_s
            # A waiting group looks for its next step every half millisecond.
            gevent.sleep(max(0.0005, self._ends_at - time.monotonic()))


class DelayedOrders:
    """Carry orders to agents in this process after a drawn delay.

    Parameters
    ----------
    agents : list of RankAgent
        The agents by rank.
    rng : random.Random
        Draws exponential delays.
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


class Bench:
    """One group with its agents and platform.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    seed : int
        Seed of the delays.
    """

    def __init__(self, ranks: int, seed: int) -> None:
        self.timed = TimedGroup(ranks, STEP_MS.value / 1000)
        self.ranks = ranks
        self._table = MemoryTable()
        self._objects = MemoryObjects()
        store = RecordStore(self._table, GROUP)
        agents = [
            RankAgent(engine=e, fence_source=store) for e in self.timed.group.engines
        ]
        for agent in agents:
            agent.read_recorded_fence()
        rng = random.Random(seed)
        self.orders = DelayedOrders(agents, rng, LINK_MS.value / 1000)

    def coordinator(self, token: int) -> Coordinator:
        """Return a coordinator with a lease of that token."""
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

    def stall_of(self, act: Callable[[], object]) -> float:
        """Return the stall, in seconds, around something done."""
        gevent.sleep(SETTLE_S)
        since = time.monotonic()
        act()
        gevent.sleep(SETTLE_S)
        if self.timed.group.mixed_steps():
            raise SystemExit("a step used two maps")
        return self.timed.gap_after(since) - STEP_MS.value / 1000


def switch_stall(bench: Bench) -> float:
    """Return the stall of one switch without faults."""
    coordinator = bench.coordinator(1)
    coordinator.switch(b"map a")
    return bench.stall_of(lambda: coordinator.switch(b"map b"))


def takeover_stall(bench: Bench, kind: int) -> float:
    """Return the stall when the coordinator dies at half of a phase's orders.

    The successor starts at once: the time to win the lease comes on top.
    """
    bench.coordinator(1).switch(b"map a")
    victim = bench.coordinator(2)
    victim.recover()
    return bench.stall_of(lambda: _die_and_take_over(bench, victim, kind))


def _die_and_take_over(bench: Bench, victim: Coordinator, kind: int) -> None:
    greenlet = gevent.spawn(victim.switch, b"map b")
    seen = itertools.count(1)
    done = Event()

    def watch(order: Order) -> None:
        if order.kind == kind and next(seen) * 2 > bench.ranks:
            done.set()

    bench.orders.on_order = watch
    done.wait()
    greenlet.kill()
    bench.orders.on_order = lambda order: None
    bench.coordinator(3).recover()


def restart_stall(bench: Bench) -> float:
    """Return the stall of a fresh incarnation: every engine restarts on the new map."""
    coordinator = bench.coordinator(1)
    coordinator.switch(b"map a")
    return bench.stall_of(lambda: _restart_all(bench, coordinator))


def _restart_all(bench: Bench, coordinator: Coordinator) -> None:
    for rank in range(bench.ranks):
        bench.timed.group.restart(rank)
    coordinator.recover()


CASES: dict[str, Callable[[Bench], float]] = {
    "switch": switch_stall,
    "coordinator dies while holding": lambda b: takeover_stall(b, OrderKind.HOLD),
    "coordinator dies while switching": lambda b: takeover_stall(b, OrderKind.SWITCH),
    "coordinator dies while resuming": lambda b: takeover_stall(b, OrderKind.RESUME),
    "all engines restart (fresh incarnation)": restart_stall,
}


def main(argv: list[str]) -> None:
    """Print a table of stalls."""
    quiet = structlog.make_filtering_bound_logger(logging.WARNING)
    structlog.configure(wrapper_class=quiet)
    print(f"step {STEP_MS.value:g} ms, link {LINK_MS.value:g} ms one way (mean)\n")
    print("| case | ranks | stall ms, median | min | max | seeds |")
    print("| --- | --- | --- | --- | --- | --- |")
    for (name, case), ranks in itertools.product(CASES.items(), RANKS.value):
        stalls = []
        for seed in range(1, SEEDS.value + 1):
            bench = Bench(int(ranks), seed)
            stalls.append(case(bench) * 1000)
            bench.timed.close()
        middle = statistics.median(stalls)
        cells = f"{middle:.1f} | {min(stalls):.1f} | {max(stalls):.1f}"
        print(f"| {name} | {ranks} | {cells} | {len(stalls)} |", flush=True)


if __name__ == "__main__":
    absl_app.run(main)

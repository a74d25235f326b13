"""Simulation of coordinators, agents and a lock-step group, with fault injection.

The coordinators run their blocking production code, each in a greenlet that yields
to the scheduler at every read, write and wait. An act is what runs between two such
yields, or the delivery of one message. A test can pause, kill or delay anything
between any two acts.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import greenlet

from standins.lockstep_group import LockstepGroup
from standins.memory import MemoryObjects, MemoryTable
from toucanspool.groups.coordinator import Coordinator
from toucanspool.groups.coordinator_task import CoordinatorTask
from toucanspool.groups.orders import AnsweredOrder
from toucanspool.groups.rank_agent import RankAgent
from toucanspool.groups.record import MapStore, RecordStore
from toucanspool.groups.switch_intent import RoundTimings
from toucanspool.wire.gen.messages.ttypes import Order, OrderReply

GROUP = "guide"
LAST_MAP = b"last map"
TICK_S = 0.01
TIMINGS = RoundTimings(
    resend_interval_s=0.05,
    load_poll_interval_s=0.03,
    fence_timeout_s=0.5,
    load_timeout_s=1.0,
    hold_timeout_s=0.3,
)


@dataclass(slots=True)
class FakeLease:
    """A lease that lapses when the test sets `lapsed`."""

    token: int
    lapsed: bool = False

    def held(self, now: float) -> bool:
        """Return whether the lease has not lapsed."""
        return not self.lapsed


@dataclass(slots=True, frozen=True)
class Message:
    """An order in flight to an agent, or its reply in flight to the coordinator."""

    sender: "Driver"
    rank: int
    order: Order
    reply: OrderReply | None = None


class YieldingTable:
    """Yield to the scheduler before and after each call to the table."""

    def __init__(self, table: MemoryTable, driver: "Driver") -> None:
        self._table = table
        self._driver = driver

    def get(self, keys):
        """Read; see `Table`."""
        return self._call_and_yield(lambda: self._table.get(keys))

    def commit(self, checks, writes):
        """Commit; see `Table`."""
        return self._call_and_yield(lambda: self._table.commit(checks, writes))

    def _call_and_yield(self, call):
        self._driver.yield_control()
        try:
            return call()
        finally:
            self._driver.yield_control()


@dataclass(slots=True)
class Driver:
    """A coordinator process that recovers, then makes the proposed switches."""

    world: "World"
    lease: FakeLease
    proposals: list[bytes] = field(default_factory=list)
    inbox: list[AnsweredOrder] = field(default_factory=list)
    paused: bool = False
    _greenlet: greenlet.greenlet | None = None

    def start(self, new_coordinator: Callable[..., Coordinator]) -> None:
        """Start the process."""
        ranks = len(self.world.agents)
        coordinator = new_coordinator(
            group=GROUP,
            ranks=ranks,
            store=RecordStore(YieldingTable(self.world.table, self), GROUP),
            maps=MapStore(self.world.objects, GROUP),
            lease=self.lease,
            order_sender=self,
            clock=lambda: self.world.now,
            timings=TIMINGS,
        )
        task = CoordinatorTask(
            coordinator, ranks=ranks, next_map=self.next_map, sleep=self.sleep
        )
        self._greenlet = greenlet.greenlet(task.run)

    @property
    def alive(self) -> bool:
        """Return whether the process is running."""
        return self._greenlet is not None and not self._greenlet.dead

    def kill(self) -> None:
        """Kill the process immediately."""
        if self._greenlet is not None and self._greenlet:
            self._greenlet.throw(greenlet.GreenletExit)
        self._greenlet = None

    def act(self) -> None:
        """Run the process until its next read, write or wait."""
        if self.alive and not self.paused:
            self._greenlet.switch()

    def yield_control(self) -> None:
        """Suspend the process until the scheduler resumes it."""
        greenlet.getcurrent().parent.switch()

    def post(self, order: Order) -> None:
        """Send an order; see `OrderSender`."""
        self.world.network.append(Message(self, order.rank, order))

    def collect(self, timeout_s: float) -> list[AnsweredOrder]:
        """Return all queued replies; see `OrderSender`."""
        self.yield_control()
        answered, self.inbox = self.inbox, []
        return answered

    def next_map(self, timeout_s: float) -> bytes | None:
        """Return the next proposal, or None after a wait."""
        if not self.proposals:
            self.sleep(timeout_s)
            return None
        return self.proposals.pop(0)

    def sleep(self, wait_s: float) -> None:
        """Yield to the scheduler until the time has passed."""
        until = self.world.now + wait_s
        self.yield_control()
        while self.world.now < until:
            self.yield_control()


class World:
    """Hold all processes of one group, and schedule their acts.

    Parameters
    ----------
    ranks : int
        Number of ranks; every second engine ignores fencing tokens.
    coordinator, agent : type
        Classes under test; a mutation test passes a subclass without some safeguard.
    checks_fence : bool
        False to let every engine ignore fencing tokens.
    """

    def __init__(
        self, ranks=3, *, coordinator=Coordinator, agent=RankAgent, checks_fence=True
    ) -> None:
        self.now = 0.0
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.group = LockstepGroup(
            ranks,
            checks_fence=range(0, ranks, 2) if checks_fence else (),
            load_ticks=2,
            store_slots=8,
        )
        self._coordinator = coordinator
        self._agent = agent
        self.agents = [self._new_agent(rank) for rank in range(ranks)]
        self.network: list[Message] = []
        self.history: list[Message] = []
        self.drivers: list[Driver] = []
        self.acts = 0
        self.partitioned_ranks: set[int] = set()
        self._scheduled: list[tuple[int, Callable[[], object]]] = []

    def schedule(self, act: int, call: Callable[[], object]) -> None:
        """Schedule a call to run before the act with that number."""
        self._scheduled.append((act, call))

    def elect(self, *proposals: bytes) -> Driver:
        """Start a coordinator with a new lease."""
        driver = Driver(self, FakeLease(len(self.drivers) + 1), list(proposals))
        self.drivers.append(driver)
        driver.start(self._coordinator)
        return driver

    def restart_agent(self, rank: int) -> None:
        """Replace an agent by one that has seen no orders."""
        self.agents[rank] = self._new_agent(rank)

    def deliver(self, index: int = 0) -> None:
        """Deliver one message to its receiver."""
        message = self.network.pop(index)
        self.history.append(message)
        self._receive(message)

    def repeat(self, index: int) -> None:
        """Deliver a message again that was delivered before."""
        self._receive(self.history[index])

    def turn(self) -> None:
        """Let every process act once, then advance the group by one tick."""
        for driver in list(self.drivers):
            self._act(driver.act)
        for _ in range(len(self.network)):
            self._act(self._deliver_first)
        self.tick()

    def tick(self) -> None:
        """Advance the group and the clock by one tick."""
        self.now += TICK_S
        self.group.tick()

    def run(self, turns: int, *, until: Callable[[], bool] = lambda: False) -> int:
        """Run turns until a condition holds; return the number of turns run."""
        for count in range(turns):
            if until():
                return count
            self.turn()
        return turns

    def heal(self) -> None:
        """End all faults; elect a coordinator if none is running with a lease."""
        for _, call in self._scheduled:
            call()
        self._scheduled.clear()
        self.table.faults.clear()
        self.objects.faults.clear()
        self.partitioned_ranks.clear()
        for rank, engine in enumerate(self.group.engines):
            engine.stall_left = 0
            engine.faults.clear()
            if engine.lost:
                self.group.restart(rank)
        for driver in self.drivers:
            driver.paused = False
        eligible = [d for d in self.drivers if d.alive and not d.lease.lapsed]
        driver = eligible[-1] if eligible else self.elect()
        driver.proposals[:] = [LAST_MAP] * 3

    def reaches_last_map(self, turns: int = 400) -> bool:
        """Return whether the group uses the last map within a number of turns."""
        self.run(turns, until=self._uses_last_map)
        return self._uses_last_map()

    def _uses_last_map(self) -> bool:
        if not self.group.steps:
            return False
        version = self.group.steps[-1].versions[0]
        return self.objects.get(f"group/{GROUP}/map/{version}") == LAST_MAP

    def _act(self, act: Callable[[], object]) -> None:
        for due in [due for due in self._scheduled if due[0] <= self.acts]:
            self._scheduled.remove(due)
            due[1]()
        self.acts += 1
        act()

    def _deliver_first(self) -> None:
        if self.network:
            self.deliver()

    def _receive(self, message: Message) -> None:
        if message.rank in self.partitioned_ranks:
            return
        if message.reply is not None:
            message.sender.inbox.append(AnsweredOrder(message.order, message.reply))
            return
        reply = self.agents[message.rank].handle(message.order)
        self.network.append(Message(message.sender, message.rank, message.order, reply))

    def _new_agent(self, rank: int) -> RankAgent:
        store = RecordStore(self.table, GROUP)
        engine = self.group.engines[rank]
        agent = self._agent(
            engine=engine, fence_source=store, sleep=lambda wait_s: None
        )
        agent.read_recorded_fence()
        return agent


def _elect_second_coordinator(world: World, act: int) -> None:
    world.elect(b"map c")


def _kill_coordinator(world: World, act: int) -> None:
    world.drivers[0].kill()
    world.elect(b"map c")


def _freeze_coordinator(world: World, act: int) -> None:
    """Freeze the coordinator while another runs; it resumes with its old lease."""
    world.drivers[0].paused = True
    world.elect(b"map c")
    world.schedule(act + 60, lambda: setattr(world.drivers[0], "paused", False))


def _lapse_lease(world: World, act: int) -> None:
    world.drivers[0].lease.lapsed = True
    world.schedule(act + 60, lambda: world.elect(b"map c"))


def _lose_rank(world: World, act: int) -> None:
    rank = act % len(world.agents)
    world.group.lose(rank)
    world.schedule(act + 60, lambda: world.group.restart(rank))
    world.schedule(act + 60, lambda: world.restart_agent(rank))


def _table_down(world: World, act: int) -> None:
    world.table.faults.down = True
    world.schedule(act + 60, world.table.faults.clear)


def _engine_down(world: World, act: int) -> None:
    faults = world.group.engines[act % len(world.agents)].faults
    faults.set(down=True)
    world.schedule(act + 60, faults.clear)


def _lose_engine_answer(world: World, act: int) -> None:
    world.group.engines[act % len(world.agents)].faults.set(lose_answers=1)


def _lose_answer_and_table(world: World, act: int) -> None:
    world.table.faults.set(lose_answers=1)
    world.schedule(act + 2, lambda: _table_down(world, act + 2))


def _kill_and_table_down(world: World, act: int) -> None:
    world.drivers[0].kill()
    _table_down(world, act)
    world.schedule(act + 60, lambda: world.elect(b"map c"))


def _partition_rank(world: World, act: int) -> None:
    """Drop all messages to and from one rank for 60 acts."""
    world.partitioned_ranks.add(act % len(world.agents))
    world.schedule(act + 60, world.partitioned_ranks.clear)


def _delay_messages(world: World, act: int) -> None:
    """Delay the messages in flight by 60 acts, and reverse their order."""
    delayed, world.network[:] = world.network[::-1], []
    world.schedule(act + 60, lambda: world.network.extend(delayed))


def _duplicate_messages(world: World, act: int) -> None:
    world.schedule(
        act + 30, lambda: [world.repeat(i) for i in range(len(world.history))]
    )


FAULTS: dict[str, Callable[[World, int], object]] = {
    "two coordinators": _elect_second_coordinator,
    "coordinator killed": _kill_coordinator,
    "coordinator frozen": _freeze_coordinator,
    "lease lapsed": _lapse_lease,
    "agent restarted": lambda w, act: w.restart_agent(act % len(w.agents)),
    "engine restarted": lambda w, act: w.group.restart(act % len(w.agents)),
    "engine stalled": lambda w, act: w.group.stall(act % len(w.agents), 60),
    "engine down": _engine_down,
    "engine answer lost": _lose_engine_answer,
    "rank lost and replaced": _lose_rank,
    "table down": _table_down,
    "table answer lost": lambda w, act: w.table.faults.set(lose_answers=1),
    "table answer lost, then down": _lose_answer_and_table,
    "object store down": lambda w, act: w.objects.faults.set(down=True),
    "killed and table down": _kill_and_table_down,
    "link cut": _partition_rank,
    "messages late": _delay_messages,
    "messages repeated": _duplicate_messages,
}

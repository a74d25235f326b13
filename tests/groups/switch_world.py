"""A world in which coordinators, agents and a lock-step group meet, one act at a time.

The coordinators are the product's blocking code, each in a greenlet that gives way
to the scheduler at every read, write and wait, so that a test may stop, kill or
delay anything between any two acts.
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
    """A lease that lapses when the test says so."""

    token: int
    lapsed: bool = False

    def held(self, now: float) -> bool:
        """Return whether the lease is held."""
        return not self.lapsed


@dataclass(slots=True, frozen=True)
class Message:
    """An order on its way to an agent, or a reply on its way back."""

    sender: "Driver"
    rank: int
    order: Order
    reply: OrderReply | None = None


class YieldingTable:
    """Give way before and after each call to the table."""

    def __init__(self, table: MemoryTable, driver: "Driver") -> None:
        self._table = table
        self._driver = driver

    def get(self, keys):
        """Read; see `Table`."""
        return self._around(lambda: self._table.get(keys))

    def commit(self, checks, writes):
        """Commit; see `Table`."""
        return self._around(lambda: self._table.commit(checks, writes))

    def _around(self, call):
        self._driver.give_way()
        try:
            return call()
        finally:
            self._driver.give_way()


@dataclass(slots=True)
class Driver:
    """A coordinator process that recovers, then makes the proposed switches."""

    world: "World"
    lease: FakeLease
    proposals: list[bytes] = field(default_factory=list)
    inbox: list[AnsweredOrder] = field(default_factory=list)
    paused: bool = False
    _thread: greenlet.greenlet | None = None

    def start(self, make: Callable[..., Coordinator]) -> None:
        """Start the process."""
        ranks = len(self.world.agents)
        coordinator = make(
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
        self._thread = greenlet.greenlet(task.run)

    @property
    def alive(self) -> bool:
        """Return whether the process runs."""
        return self._thread is not None and not self._thread.dead

    def kill(self) -> None:
        """End the process at once."""
        if self._thread is not None and self._thread:
            self._thread.throw(greenlet.GreenletExit)
        self._thread = None

    def act(self) -> None:
        """Let the process go on to its next read, write or wait."""
        if self.alive and not self.paused:
            self._thread.switch()

    def give_way(self) -> None:
        """Stop until the scheduler lets the process go on."""
        greenlet.getcurrent().parent.switch()

    def post(self, order: Order) -> None:
        """Send an order; see `OrderSender`."""
        self.world.network.append(Message(self, order.rank, order))

    def collect(self, timeout_s: float) -> list[AnsweredOrder]:
        """Return the replies that have come; see `OrderSender`."""
        self.give_way()
        answers, self.inbox = self.inbox, []
        return answers

    def next_map(self, timeout_s: float) -> bytes | None:
        """Return the next proposal; wait for one."""
        if not self.proposals:
            self.sleep(timeout_s)
            return None
        return self.proposals.pop(0)

    def sleep(self, wait_s: float) -> None:
        """Give way until the time has passed."""
        until = self.world.now + wait_s
        self.give_way()
        while self.world.now < until:
            self.give_way()


class World:
    """Hold all processes of one group, and let them act.

    Parameters
    ----------
    ranks : int
        Number of ranks; every second engine ignores fencing numbers.
    coordinator, agent : type
        What is tested; a test that switches a mechanism off gives its own.
    checks_fence : bool
        False to let every engine ignore fencing numbers.
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
        self.cut_ranks: set[int] = set()
        self._due: list[tuple[int, Callable[[], object]]] = []

    def later(self, act: int, call: Callable[[], object]) -> None:
        """Call something before the act of that number."""
        self._due.append((act, call))

    def elect(self, *proposals: bytes) -> Driver:
        """Start a coordinator with a new lease."""
        driver = Driver(self, FakeLease(len(self.drivers) + 1), list(proposals))
        self.drivers.append(driver)
        driver.start(self._coordinator)
        return driver

    def restart_agent(self, rank: int) -> None:
        """Replace an agent by one without a memory."""
        self.agents[rank] = self._new_agent(rank)

    def deliver(self, index: int = 0) -> None:
        """Bring one message to its receiver."""
        message = self.network.pop(index)
        self.history.append(message)
        self._receive(message)

    def repeat(self, index: int) -> None:
        """Bring a message once more that has come before."""
        self._receive(self.history[index])

    def turn(self) -> None:
        """Let every process act once, and the group go on by one tick."""
        for driver in list(self.drivers):
            self._act(driver.act)
        for _ in range(len(self.network)):
            self._act(self._deliver_first)
        self.tick()

    def tick(self) -> None:
        """Let the group and the clock go on."""
        self.now += TICK_S
        self.group.tick()

    def run(self, turns: int, *, until: Callable[[], bool] = lambda: False) -> int:
        """Take turns until a condition holds; return how many were taken."""
        for count in range(turns):
            if until():
                return count
            self.turn()
        return turns

    def heal(self) -> None:
        """End all faults; elect a coordinator if none lives."""
        for _, call in self._due:
            call()
        self._due.clear()
        self.table.faults.clear()
        self.objects.faults.clear()
        self.cut_ranks.clear()
        for rank, engine in enumerate(self.group.engines):
            engine.stall_left = 0
            engine.faults.clear()
            if engine.lost:
                self.group.restart(rank)
        for driver in self.drivers:
            driver.paused = False
        able = [d for d in self.drivers if d.alive and not d.lease.lapsed]
        driver = able[-1] if able else self.elect()
        driver.proposals[:] = [LAST_MAP] * 3

    def reaches_last_map(self, turns: int = 400) -> bool:
        """Return whether the group steps on the last map within some turns."""
        self.run(turns, until=self._uses_last_map)
        return self._uses_last_map()

    def _uses_last_map(self) -> bool:
        if not self.group.steps:
            return False
        version = self.group.steps[-1].versions[0]
        return self.objects.get(f"group/{GROUP}/map/{version}") == LAST_MAP

    def _act(self, act: Callable[[], object]) -> None:
        for due in [due for due in self._due if due[0] <= self.acts]:
            self._due.remove(due)
            due[1]()
        self.acts += 1
        act()

    def _deliver_first(self) -> None:
        if self.network:
            self.deliver()

    def _receive(self, message: Message) -> None:
        if message.rank in self.cut_ranks:
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


def _elect_another(world: World, act: int) -> None:
    world.elect(b"map c")


def _kill(world: World, act: int) -> None:
    world.drivers[0].kill()
    world.elect(b"map c")


def _freeze(world: World, act: int) -> None:
    """Freeze the coordinator until another has worked; it wakes with its lease."""
    world.drivers[0].paused = True
    world.elect(b"map c")
    world.later(act + 60, lambda: setattr(world.drivers[0], "paused", False))


def _lapse(world: World, act: int) -> None:
    world.drivers[0].lease.lapsed = True
    world.later(act + 60, lambda: world.elect(b"map c"))


def _lose_rank(world: World, act: int) -> None:
    rank = act % len(world.agents)
    world.group.lose(rank)
    world.later(act + 60, lambda: world.group.restart(rank))
    world.later(act + 60, lambda: world.restart_agent(rank))


def _table_down(world: World, act: int) -> None:
    world.table.faults.down = True
    world.later(act + 60, world.table.faults.clear)


def _engine_down(world: World, act: int) -> None:
    faults = world.group.engines[act % len(world.agents)].faults
    faults.set(down=True)
    world.later(act + 60, faults.clear)


def _lose_engine_answer(world: World, act: int) -> None:
    world.group.engines[act % len(world.agents)].faults.set(lose_answers=1)


def _lose_answer_and_table(world: World, act: int) -> None:
    world.table.faults.set(lose_answers=1)
    world.later(act + 2, lambda: _table_down(world, act + 2))


def _kill_and_table_down(world: World, act: int) -> None:
    world.drivers[0].kill()
    _table_down(world, act)
    world.later(act + 60, lambda: world.elect(b"map c"))


def _cut(world: World, act: int) -> None:
    """Lose all messages to and from one rank for a while."""
    world.cut_ranks.add(act % len(world.agents))
    world.later(act + 60, world.cut_ranks.clear)


def _late(world: World, act: int) -> None:
    """Deliver what is under way only much later, newest first."""
    late, world.network[:] = world.network[::-1], []
    world.later(act + 60, lambda: world.network.extend(late))


def _repeat_all(world: World, act: int) -> None:
    world.later(act + 30, lambda: [world.repeat(i) for i in range(len(world.history))])


FAULTS: dict[str, Callable[[World, int], object]] = {
    "two coordinators": _elect_another,
    "coordinator killed": _kill,
    "coordinator frozen": _freeze,
    "lease lapsed": _lapse,
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
    "link cut": _cut,
    "messages late": _late,
    "messages repeated": _repeat_all,
}

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
from toucanspool.groups.coordinator import (
    Coordinator,
    LeaseLapsed,
    Superseded,
    SwitchFailed,
)
from toucanspool.groups.orders import Answer
from toucanspool.groups.rank_agent import RankAgent
from toucanspool.groups.record import MapStore, RecordStore
from toucanspool.groups.switch import Limits
from toucanspool.platform.objects import ObjectsUnavailable
from toucanspool.platform.table import TableError
from toucanspool.wire.gen.messages.ttypes import Order, OrderReply

GROUP = "guide"
TICK_S = 0.01
LIMITS = Limits(resend_s=0.05, fence_s=0.5, load_s=1.0, hold_s=0.3)


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
    """One coordinator process: settle, then make the switches proposed."""

    world: "World"
    lease: FakeLease
    proposals: list[bytes] = field(default_factory=list)
    inbox: list[Answer] = field(default_factory=list)
    paused: bool = False
    _thread: greenlet.greenlet | None = None

    def start(self, make: Callable[..., Coordinator]) -> None:
        """Start the process."""
        coordinator = make(
            group=GROUP,
            ranks=len(self.world.agents),
            store=RecordStore(YieldingTable(self.world.table, self), GROUP),
            maps=MapStore(self.world.objects, GROUP),
            lease=self.lease,
            courier=self,
            clock=lambda: self.world.now,
            limits=LIMITS,
        )
        self._thread = greenlet.greenlet(lambda: self._run(coordinator))

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
        """Send an order; see `Courier`."""
        self.world.network.append(Message(self, order.rank, order))

    def collect(self, timeout_s: float) -> list[Answer]:
        """Return the replies that have come; see `Courier`."""
        self.give_way()
        answers, self.inbox = self.inbox, []
        return answers

    def _run(self, coordinator: Coordinator) -> None:
        settled = False
        while True:
            self.give_way()
            try:
                if not settled:
                    coordinator.settle()
                    settled = True
                elif self.proposals:
                    coordinator.switch(self.proposals.pop(0))
            except (LeaseLapsed, Superseded):
                return
            except (TableError, ObjectsUnavailable, SwitchFailed):
                settled = False


class World:
    """Hold all processes of one group, and let them act.

    Parameters
    ----------
    ranks : int
        Number of ranks; every second engine ignores fencing numbers.
    coordinator, agent : type
        What is tested; a test that switches a mechanism off gives its own.
    """

    def __init__(self, ranks=3, *, coordinator=Coordinator, agent=RankAgent) -> None:
        self.now = 0.0
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.group = LockstepGroup(
            ranks, checks_fence=range(0, ranks, 2), load_ticks=2, store_slots=8
        )
        self._coordinator = coordinator
        self._agent = agent
        self.agents = [self._new_agent(rank) for rank in range(ranks)]
        self.network: list[Message] = []
        self.history: list[Message] = []
        self.drivers: list[Driver] = []
        self.acts = 0
        self.before_act: Callable[[int], None] = lambda act: None

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
            self._act(lambda: self.network and self.deliver())
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
        """End all faults and elect one coordinator that lives."""
        self.table.faults.clear()
        self.objects.faults.clear()
        self.before_act = lambda act: None
        for rank, engine in enumerate(self.group.engines):
            engine.stall_left = 0
            if engine.lost:
                self.group.restart(rank)
        for driver in self.drivers:
            driver.paused = False
        self.elect()

    def steps_again(self, turns: int = 200) -> bool:
        """Return whether the group finishes a step within some turns."""
        goal = self.group.step + 2
        self.run(turns, until=lambda: self.group.step >= goal)
        return self.group.step >= goal

    def _act(self, act: Callable[[], object]) -> None:
        self.before_act(self.acts)
        self.acts += 1
        act()

    def _receive(self, message: Message) -> None:
        if message.reply is not None:
            message.sender.inbox.append(Answer(message.rank, message.reply))
            return
        reply = self.agents[message.rank].handle(message.order)
        self.network.append(Message(message.sender, message.rank, message.order, reply))

    def _new_agent(self, rank: int) -> RankAgent:
        store = RecordStore(self.table, GROUP)
        return self._agent(engine=self.group.engines[rank], fences=store)

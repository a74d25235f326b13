"""Machines with agents, and the connections between them.

A machine may freeze or restart. Messages take time on the world's clock.
"""

import math
from collections.abc import Callable
from copy import copy
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event

from standins.memory import MemoryTable
from tests.groups.order_engine import RemoteEngine
from tests.limits.test_adaptive_limit import ENGINE
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.rank_member import WATCH_INTERVAL_S, RankMember
from toucanspool.groups.rank_record import PREFIX
from toucanspool.routing.routes import EngineModel
from toucanspool.wire.codec import encode
from toucanspool.wire.connection import ConnectionLost
from toucanspool.wire.gen.messages.ttypes import Frame

if TYPE_CHECKING:
    from tests.groups.order_world import World

RANKS, EXPERTS, SLOTS, SPARE = 4, 16, 6, 4


def model_of(model: EngineModel, **overrides: float) -> EngineModel:
    """Return a model with some of its fields replaced."""
    fields = {name: getattr(model, name) for name in EngineModel.__slots__}
    return EngineModel(**{**fields, **overrides})


MODEL = model_of(
    ENGINE,
    layer_sets=1,
    experts=EXPERTS,
    expert_slots=SLOTS,
    copies_per_set=SPARE,
    expert_copy_s=0.01,
)


class Machine:
    """A machine with the agent of one rank, which may freeze or restart."""

    def __init__(self, world: "World", rank: int) -> None:
        self.world = world
        self.rank = rank
        self.running = Event()
        self.running.set()
        self.engine_running = True
        self.backlog: list[Callable[[], None]] = []
        self.received_at = 0.0
        self.sent_at = 0.0
        self.greenlets: set[gevent.Greenlet] = set()
        self.channels: set[Channel] = set()
        self.agent: FencedEngine | None = None

    def start(self) -> None:
        """Start the agent's process unless it runs."""
        if self.agent is not None:
            return
        engine = RemoteEngine(self.world, self.rank, self)
        self.agent = FencedEngine(engine)
        self.member = RankMember(
            f"m{self.rank}",
            "10.0.0.1",
            1 + self.rank,
            engine=engine,
            engine_address=f"10.0.0.1:{1 + self.rank}",
            find_upstream=lambda: "u",
            connect=self._connect,
            fenced_engine=self.agent,
            table=self.world.table,
            engine_model=lambda: self.world.model,
            link_bits_per_s=min(1e9, self.world.link_bits_per_s),
            rank_feed=lambda member: RecordFeed(self.world.table, member),
        )
        self.spawn(self._watch)
        self.spawn(self.member.run)

    def kill(self) -> None:
        """Kill the agent's process; its connections close."""
        self.world.note(f"m{self.rank} is killed")
        self.agent = None
        for task in list(self.greenlets):
            task.kill(block=False)
        for channel in list(self.channels):
            channel.break_off()

    @property
    def coordinates(self) -> bool:
        """Whether the process takes itself for the coordinator."""
        return self.agent is not None and self.member._coordinator is not None

    def stand(self) -> None:
        """Make the process stand for election."""
        if self.agent is not None:
            self.world.note(f"m{self.rank} stands")
            self.agent.last_request_at -= 60.0

    def freeze(self, *, engine: bool) -> None:
        """Stop the process, and the engine too if asked."""
        self.world.note(f"m{self.rank} freezes{' with its engine' if engine else ''}")
        self.running.clear()
        self.engine_running = not engine

    def wake(self) -> None:
        """Let the process and the engine go on."""
        if self.running.is_set():
            return
        self.world.note(f"m{self.rank} wakes")
        self.running.set()
        self.engine_running = True
        backlog, self.backlog = self.backlog, []
        for call in backlog:
            call()

    def spawn(self, call: Callable[..., Any], *args: Any) -> gevent.Greenlet:
        """Run a call in the process."""
        task = gevent.Greenlet(call, *args)
        task.spawn_tree_locals = {"machine": self}
        self.greenlets.add(task)
        task.rawlink(self._ended)
        task.start()
        return task

    def _ended(self, task: gevent.Greenlet) -> None:
        self.greenlets.discard(task)
        if task.exception is not None:
            self.world.errors.append(repr(task.exception))

    def _connect(self, address: str) -> "RemoteEngine":
        return RemoteEngine(self.world, int(address.split(":")[1]) - 1, self)

    def _watch(self) -> None:
        while True:
            self.member.watch()
            self.world.sleep(WATCH_INTERVAL_S)


class RecordFeed:
    """Read all rank records once; implements `RankFeed`."""

    def __init__(self, table: MemoryTable, member: RankMember) -> None:
        self._table = table
        self._member = member

    def step(self) -> bool:
        """Read the records."""
        self._member.replace(self._table.scan(PREFIX))
        return True

    def start(self) -> None:
        """Do nothing: agents keep their addresses."""

    stop = start


class DelayedTable(MemoryTable):
    """Take time for each call; a frozen process makes none."""

    def __init__(self, world: "World") -> None:
        super().__init__()
        self._world = world

    def get(self, keys):
        """Return rows; see `Table`."""
        return self._call(lambda: MemoryTable.get(self, keys))

    def commit(self, checks, writes):
        """Write rows; see `Table`."""
        return self._call(lambda: MemoryTable.commit(self, checks, writes))

    def _call(self, call: Callable[[], Any]) -> Any:
        self._world.sleep(self._world.latency_s())
        value = call()
        self._world.sleep(self._world.latency_s())
        return value


class Channel:
    """One end of a connection between two machines; stands in for `Connection`."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.receiver: Any = None
        self.peer: Channel
        self.closed = False
        self._last_at = 0.0
        machine.channels.add(self)

    def send(self, frame: Frame) -> None:
        """Send a frame, which arrives after those sent before."""
        self.machine.world.gate()
        if self.closed:
            raise ConnectionLost
        # The sender changes a request that it sends again.
        sent = Frame(rank_ask=copy(frame.rank_ask), rank_answer=copy(frame.rank_answer))
        limited = math.isfinite(self.machine.world.link_bits_per_s)
        n_bytes = len(encode(sent)) if limited else 0
        self._pass_on(self.peer._receive, sent, n_bytes=n_bytes)

    def close(self) -> None:
        """Close the connection; the peer still reads what was sent."""
        if not self.closed:
            self._pass_on(self.peer._end)
            self._end()

    def break_off(self) -> None:
        """Close the connection as the process ends."""
        if not self.closed:
            self.closed = True
            self._pass_on(self.peer._end)
        self.machine.channels.discard(self)

    def _pass_on(self, call: Callable[..., None], *args: Any, n_bytes: int = 0) -> None:
        world, machine = self.machine.world, self.peer.machine
        transfer_s = 8.0 * n_bytes / world.link_bits_per_s
        sender = self.machine
        sender.sent_at = max(sender.sent_at, world.now) + transfer_s
        at = max(self._last_at, sender.sent_at + world.latency_s())
        duration_s = transfer_s + world.handling_s
        if duration_s:
            at = machine.received_at = max(at, machine.received_at) + duration_s
        self._last_at = at

        def arrive() -> None:
            if self.peer in machine.channels:
                machine.spawn(self._run_awake, call, *args)

        world.later(at - world.now, arrive)

    def _run_awake(self, call: Callable[..., None], *args: Any) -> None:
        self.machine.world.gate()
        call(*args)

    def _receive(self, frame: Frame) -> None:
        self.receiver.received(self, frame)

    def _end(self) -> None:
        self.machine.channels.discard(self)
        if not self.closed:
            self.closed = True
            self.receiver.lost(self)

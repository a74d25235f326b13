"""Virtual time, gates that hold greenlets, and a table behind such gates.

Whoever holds a call's greenlet at a gate has frozen that step; a commit goes on
its way in a greenlet of its own, so that it may take effect after its sender died.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import AsyncResult, Event

from standins.faults import Faults
from standins.memory import MemoryTable
from toucanspool.backing.table import (
    Check,
    Row,
    TableError,
    TableUnavailable,
    TableUncertain,
    Write,
)


class VirtualClock:
    """Advance only when told; implements `toucanspool.protected.clock.Clock`."""

    def __init__(self) -> None:
        self.time = 0.0
        self._alarms: list[tuple[float, Event]] = []

    def now(self) -> float:
        """Return virtual seconds."""
        return self.time

    def sleep(self, seconds: float) -> None:
        """Wait for `advance`."""
        self.wait(Event(), seconds)

    def wait(self, waitable: Any, seconds: float | None) -> bool:
        """Wait for something, or for `advance`."""
        alarm = Event()
        if seconds is not None:
            self._alarms.append((self.time + seconds, alarm))
        gevent.wait([waitable, alarm], count=1)
        return waitable.ready()

    def advance(self, seconds: float) -> None:
        """Let time pass, waking each sleeper in its turn.

        Parameters
        ----------
        seconds : float
            How much.
        """
        end = self.time + seconds
        while due := [alarm for alarm in self._alarms if alarm[0] <= end]:
            first = min(due, key=lambda alarm: alarm[0])
            self._alarms.remove(first)
            self.time = max(self.time, first[0])
            first[1].set()
            settle()
        self.time = end
        settle()


@dataclass(slots=True)
class Held:
    """Hold a greenlet at a gate.

    Parameters
    ----------
    name : str
        The gate.
    event : Event
        Set to let it go on.
    """

    name: str
    event: Event = field(default_factory=Event)


class Gates:
    """Hold greenlets where a test wants them to stop.

    Attributes
    ----------
    closed : set of str
        Gates that hold who comes.
    traps : set of str
        Gates that hold only the next who comes.
    held : list of Held
        Who waits, in order.
    """

    def __init__(self) -> None:
        self.closed: set[str] = set()
        self.traps: set[str] = set()
        self.held: list[Held] = []

    def close(self, names: Iterable[str]) -> None:
        """Close gates.

        Parameters
        ----------
        names : iterable of str
            The gates.
        """
        self.closed.update(names)

    def cross(self, name: str) -> None:
        """Go through a gate, or wait at it.

        Parameters
        ----------
        name : str
            The gate.
        """
        if name not in self.closed | self.traps:
            return
        self.traps.discard(name)
        held = Held(name)
        self.held.append(held)
        try:
            held.event.wait()
        finally:
            if held in self.held:
                self.held.remove(held)

    def let(self, index: int = 0) -> None:
        """Let one go on.

        Parameters
        ----------
        index : int, default=0
            Which, in order of arrival.
        """
        self.held.pop(index).event.set()
        settle()

    def open(self) -> None:
        """Open all gates and let everyone go on."""
        self.closed.clear()
        self.traps.clear()
        while self.held:
            self.let()


class GatedTable(MemoryTable):
    """Put gates before and after each call; implements the table.

    Parameters
    ----------
    gates : Gates
        The gates ``commit.before``, ``commit.after``, ``get.before`` and
        ``get.after``.
    faults : Faults, optional
        The faults in force.

    Attributes
    ----------
    lose_requests : int
        So many commits are lost on their way to the table.
    repeat_requests : int
        So many commits reach the table twice; the second is answered.
    """

    def __init__(self, gates: Gates, *, faults: Faults | None = None) -> None:
        super().__init__(faults=faults)
        self.gates = gates
        self.lose_requests = 0
        self.repeat_requests = 0
        self._unanswered: list[tuple[AsyncResult, TableError]] = []

    def get(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows present among `keys`."""
        return self._carry("get", lambda: MemoryTable.get(self, keys))

    def commit(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        """Make all writes at once if all checks hold."""
        return self._carry("commit", lambda: self.arrive(checks, writes))

    def arrive(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        """Take a commit that came through, or lose it.

        Parameters
        ----------
        checks : sequence of Check
            What must hold.
        writes : sequence of Write
            What is written.

        Returns
        -------
        int
            The version.
        """
        if self.lose_requests:
            self.lose_requests -= 1
            raise TableUncertain("the request was lost")
        if self.repeat_requests:
            self.repeat_requests -= 1
            MemoryTable.commit(self, checks, writes)
        return MemoryTable.commit(self, checks, writes)

    def time_out(self) -> None:
        """Let those who wait for an answer give up; their calls go on."""
        for reply, exc in self._unanswered[:]:
            reply.set_exception(exc)
        settle()

    def _carry(self, kind: str, work: Callable[[], Any]) -> Any:
        reply: AsyncResult = AsyncResult()
        failure = TableUncertain if kind == "commit" else TableUnavailable
        waiting = (reply, failure("no answer in time"))
        self._unanswered.append(waiting)
        gevent.spawn(self._travel, kind, work, reply)
        try:
            return reply.get()
        finally:
            self._unanswered.remove(waiting)

    def _travel(self, kind: str, work: Callable[[], Any], reply: AsyncResult) -> None:
        self.gates.cross(f"{kind}.before")
        try:
            result = work()
        except Exception as exc:
            self.gates.cross(f"{kind}.after")
            if not reply.ready():
                reply.set_exception(exc)
        else:
            self.gates.cross(f"{kind}.after")
            if not reply.ready():
                reply.set(result)


def settle() -> None:
    """Run all greenlets until each waits."""
    gevent.idle()

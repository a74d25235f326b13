"""Virtual clock, gates that block greenlets, and a table with gates around its calls.

A gate lets a test control the order of concurrent steps: a greenlet that reaches a
closed gate waits until the test releases it. Each table call runs in its own greenlet,
so a commit may take effect after its sender has died.
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
    """Advance only by `advance`; implements `toucanspool.protected.clock.Clock`."""

    def __init__(self) -> None:
        self.time = 0.0
        self._timers: list[tuple[float, Event]] = []

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.time

    def sleep(self, seconds: float) -> None:
        """Wait until `advance` has passed this many seconds."""
        self.wait(Event(), seconds)

    def wait(self, waitable: Any, seconds: float | None) -> bool:
        """Wait until something is ready or the virtual timeout expires."""
        timer = Event()
        if seconds is not None:
            self._timers.append((self.time + seconds, timer))
        gevent.wait([waitable, timer], count=1)
        return waitable.ready()

    def advance(self, seconds: float) -> None:
        """Advance the time and wake sleepers in the order of their timers.

        Parameters
        ----------
        seconds : float
            Virtual time to pass.
        """
        end = self.time + seconds
        while due := [timer for timer in self._timers if timer[0] <= end]:
            first = min(due, key=lambda timer: timer[0])
            self._timers.remove(first)
            self.time = max(self.time, first[0])
            first[1].set()
            settle()
        self.time = end
        settle()


@dataclass(slots=True)
class Held:
    """Represent a greenlet that waits at a gate.

    Parameters
    ----------
    name : str
        Name of the gate.
    event : Event
        Set to release the greenlet.
    """

    name: str
    event: Event = field(default_factory=Event)


class Gates:
    """Block greenlets at points that a test selects by name.

    Attributes
    ----------
    closed : set of str
        Gates that block every greenlet.
    traps : set of str
        Gates that block only the next greenlet.
    held : list of Held
        Waiting greenlets, in order of arrival.
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
            Names of the gates.
        """
        self.closed.update(names)

    def cross(self, name: str) -> None:
        """Pass a gate, or wait there while it blocks.

        Parameters
        ----------
        name : str
            Name of the gate.
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
        """Release one waiting greenlet.

        Parameters
        ----------
        index : int, default=0
            Index in `held`.
        """
        self.held.pop(index).event.set()
        settle()

    def open(self) -> None:
        """Open all gates and release all waiting greenlets."""
        self.closed.clear()
        self.traps.clear()
        while self.held:
            self.let()


class GatedTable(MemoryTable):
    """Put gates before and after the effect of each call; implements `Table`.

    Parameters
    ----------
    gates : Gates
        The gates ``commit.before``, ``commit.after``, ``get.before`` and
        ``get.after``.
    faults : Faults, optional
        The active faults.

    Attributes
    ----------
    lose_requests : int
        Number of next commits that are lost before they reach the table.
    repeat_requests : int
        Number of next commits that reach the table twice; the second is answered.
    """

    def __init__(self, gates: Gates, *, faults: Faults | None = None) -> None:
        super().__init__(faults=faults)
        self.gates = gates
        self.lose_requests = 0
        self.repeat_requests = 0
        self._unanswered: list[tuple[AsyncResult, TableError]] = []

    def get(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows present among `keys`."""
        return self._call("get", lambda: MemoryTable.get(self, keys))

    def commit(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        """Apply all writes atomically if all checks hold."""
        return self._call("commit", lambda: self.arrive(checks, writes))

    def arrive(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        """Apply a commit that reached the table, or lose or repeat it.

        Parameters
        ----------
        checks : sequence of Check
            Conditions of the commit.
        writes : sequence of Write
            Rows to write or delete.

        Returns
        -------
        int
            Version of the commit.
        """
        if self.lose_requests:
            self.lose_requests -= 1
            raise TableUncertain("injected fault: request lost")
        if self.repeat_requests:
            self.repeat_requests -= 1
            MemoryTable.commit(self, checks, writes)
        return MemoryTable.commit(self, checks, writes)

    def time_out(self) -> None:
        """Time out all callers that wait for an answer; their calls continue."""
        for reply, exc in self._unanswered[:]:
            reply.set_exception(exc)
        settle()

    def _call(self, operation: str, work: Callable[[], Any]) -> Any:
        reply: AsyncResult = AsyncResult()
        failure = TableUncertain if operation == "commit" else TableUnavailable
        waiting = (reply, failure("no answer in time"))
        self._unanswered.append(waiting)
        gevent.spawn(self._deliver, operation, work, reply)
        try:
            return reply.get()
        finally:
            self._unanswered.remove(waiting)

    def _deliver(
        self, operation: str, work: Callable[[], Any], reply: AsyncResult
    ) -> None:
        self.gates.cross(f"{operation}.before")
        try:
            result = work()
        except Exception as exc:
            self.gates.cross(f"{operation}.after")
            if not reply.ready():
                reply.set_exception(exc)
        else:
            self.gates.cross(f"{operation}.after")
            if not reply.ready():
                reply.set(result)


def settle() -> None:
    """Run all greenlets until each one waits."""
    gevent.idle()

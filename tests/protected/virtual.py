"""Virtual time and a table whose every call can be held at a gate."""

import gevent
from gevent.event import AsyncResult, Event

from standins.memory import MemoryTable


class VirtualClock:
    """Advance only when told; implements `Clock`."""

    def __init__(self):
        self.time = 0.0
        self._alarms = []

    def now(self):
        """Return virtual seconds."""
        return self.time

    def sleep(self, seconds):
        """Wait for `advance`."""
        self.wait(Event(), seconds)

    def wait(self, waitable, seconds):
        """Wait for something, or for `advance`."""
        alarm = Event()
        if seconds is not None:
            self._alarms.append((self.time + seconds, alarm))
        gevent.wait([waitable, alarm], count=1)
        return waitable.ready()

    def advance(self, seconds):
        """Let time pass, waking each sleeper in its turn."""
        end = self.time + seconds
        while due := [a for a in self._alarms if a[0] <= end]:
            first = min(due, key=lambda a: a[0])
            self._alarms.remove(first)
            self.time = max(self.time, first[0])
            first[1].set()
            settle()
        self.time = end
        settle()


class GatedTable(MemoryTable):
    """Hold calls at gates before and after their work, where `gated` says so."""

    def __init__(self):
        super().__init__()
        self.gated = ()
        self.held = []

    def get(self, keys):
        """Read rows."""
        self._pass("get.before")
        found = super().get(keys)
        self._pass("get.after")
        return found

    def commit(self, checks, writes):
        """Commit rows."""
        self._pass("commit.before")
        try:
            return super().commit(checks, writes)
        finally:
            self._pass("commit.after")

    def open(self, index=0):
        """Let one held call go on."""
        self.held.pop(index)[1].set(True)
        settle()

    def open_all(self):
        """Let all held calls go on."""
        while self.held:
            self.open()

    def _pass(self, gate):
        if gate in self.gated:
            released = AsyncResult()
            self.held.append((gate, released))
            released.get()


def settle():
    """Run all greenlets until each waits."""
    gevent.idle()

"""The connections of a process's clients, and which of them to close for others."""

import time
from enum import IntEnum
from itertools import islice
from typing import Protocol

# Time that a client has to begin or send a request, or to read a reply, before its
# connection may be closed for another client.
MIN_CLIENT_S = 0.25
# Of so many connections that have kept the process waiting for longest, the slowest one
# is closed.
COMPARED = 16


class Phase(IntEnum):
    """What a connection waits for."""

    # The client has been refused, and what it still sends is discarded; or it sends
    # more requests than any that behaves.
    CLOSING = 0
    IDLE = 1
    # The client sends a request.
    ARRIVING = 2
    # The client has not read what is ready for it.
    SENDING = 3
    # The process works on a request, or has not begun to read it.
    RUNNING = 4


# Phases in which a connection costs nothing that its client would miss.
FREE_PHASES = (Phase.CLOSING, Phase.IDLE)
# Phases in which the process waits for the client.
CLIENT_PHASES = (Phase.ARRIVING, Phase.SENDING)


class Evictable(Protocol):
    """A connection that can be closed for others."""

    @property
    def transferred_bytes(self) -> int:
        """Return how many bytes the client has sent or read in its phase."""
        ...

    def evict(self, phase: Phase) -> None:
        """Reset the connection, which is in that phase; must not wait."""
        ...


class OpenConnections:
    """Bound the connections of all listeners of a process together.

    A new connection takes the place of the one that has been idle for longest, or else
    of a slow one among those that have kept the process waiting for longest. So clients
    that are slow or silent keep no place that others need, while a call that has
    arrived keeps its place until its reply is ready.

    Parameters
    ----------
    max_connections : int, optional
        Bound on the connections; none by default.

    Attributes
    ----------
    evicted : int
        Connections that were closed for others.
    """

    __slots__ = ("_by_phase", "_phases", "evicted", "max_connections")

    def __init__(self, max_connections: float = float("inf")) -> None:
        self.max_connections = max_connections
        self.evicted = 0
        self._phases: dict[Evictable, Phase] = {}
        # In each phase, the time since which a connection is in it, oldest first.
        self._by_phase: dict[Phase, dict[Evictable, float]] = {p: {} for p in Phase}

    def __len__(self) -> int:
        return len(self._phases)

    @property
    def full(self) -> bool:
        """Return whether there is no place for a new one; closes others before."""
        while len(self._phases) >= self.max_connections:
            if not self.evict_any():
                return True
        return False

    def add(self, conn: Evictable) -> bool:
        """Add a new connection, and close others if there are too many.

        Parameters
        ----------
        conn : Evictable
            The connection.

        Returns
        -------
        bool
            False if all others are at work.
        """
        if self.full:
            return False
        self._phases[conn] = Phase.IDLE
        self._by_phase[Phase.IDLE][conn] = time.monotonic()
        return True

    def move(self, conn: Evictable, phase: Phase, *, renew: bool = False) -> None:
        """Set the phase of a connection; does nothing for one that was closed.

        Parameters
        ----------
        conn : Evictable
            The connection.
        phase : Phase
            Its phase.
        renew : bool, default=False
            Whether the phase begins anew if the connection is in it already.
        """
        before = self._phases.get(conn)
        if before is None or (before is phase and not renew):
            return
        del self._by_phase[before][conn]
        self._phases[conn] = phase
        self._by_phase[phase][conn] = time.monotonic()

    def remove(self, conn: Evictable) -> None:
        """Remove a connection that has ended."""
        phase = self._phases.pop(conn, None)
        if phase is not None:
            del self._by_phase[phase][conn]

    def evict_slow(self) -> bool:
        """Close the connection of a slow client that the process waits for.

        Returns
        -------
        bool
            False if there is none for which it has waited `MIN_CLIENT_S`.
        """
        latest = time.monotonic() - MIN_CLIENT_S
        slowest, lowest_rate = None, float("inf")
        for phase in CLIENT_PHASES:
            for conn, since in islice(self._by_phase[phase].items(), COMPARED):
                if since > latest:
                    break
                rate = conn.transferred_bytes / (time.monotonic() - since)
                if rate < lowest_rate:
                    slowest, lowest_rate = conn, rate
        if slowest is None:
            return False
        self._evict(slowest)
        return True

    def evict_any(self) -> bool:
        """Close the connection that is missed least; see `OpenConnections`.

        Returns
        -------
        bool
            False if there is none that may be closed.
        """
        return self._evict_free() or self.evict_slow()

    def evict(self, conn: Evictable) -> None:
        """Close a connection unless it has ended."""
        if conn in self._phases:
            self._evict(conn)

    def _evict_free(self) -> bool:
        latest = time.monotonic() - MIN_CLIENT_S
        for phase in FREE_PHASES:
            conn, since = next(iter(self._by_phase[phase].items()), (None, latest))
            if conn is not None and since <= latest:
                self._evict(conn)
                return True
        return False

    def _evict(self, conn: Evictable) -> None:
        phase = self._phases[conn]
        self.remove(conn)
        self.evicted += 1
        conn.evict(phase)

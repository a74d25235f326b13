"""An entry's connection to one agent, shared by all calls to it."""

import itertools
import time
from collections.abc import Callable
from typing import Protocol

from gevent.lock import Semaphore

from toucanspool.entry.linked_call import LinkedCall
from toucanspool.wire.connection import Connection, ConnectionLost, connect
from toucanspool.wire.gen.messages.ttypes import (
    Cancel,
    End,
    Frame,
    Hello,
    Open,
    Outcome,
    Pull,
    Refusal,
    Report,
)

CONNECT_TIMEOUT_S = 0.5
WINDOW_CHUNKS = 32
NEWEST = 2**62


class LinkEvents(Protocol):
    """Take what agents say besides calls."""

    def reported(self, report: Report) -> None:
        """Take a load report."""
        ...

    def exchanged(self, conn: Connection, frame: Frame) -> None:
        """Take a message of the exchange of configuration."""
        ...


class Link:
    """Own the connection to one agent and open it when needed.

    Parameters
    ----------
    host : str
        The agent's IP number.
    port : int
        The agent's port.
    events : LinkEvents
        Who takes what is not of a call.
    hello : callable
        Returns the introduction that is sent first.

    Attributes
    ----------
    opened : int
        How often the connection was opened.
    """

    __slots__ = (
        "_calls",
        "_conn",
        "_events",
        "_heard_at",
        "_hello",
        "_lock",
        "_numbers",
        "_used_at",
        "host",
        "opened",
        "port",
    )

    def __init__(
        self, host: str, port: int, events: LinkEvents, hello: Callable[[], Hello]
    ) -> None:
        self.host = host
        self.port = port
        self._events = events
        self._hello = hello
        self.opened = 0
        self._conn: Connection | None = None
        self._calls: dict[int, LinkedCall] = {}
        self._heard_at = 0.0
        self._used_at = 0.0
        self._numbers = itertools.count(1)
        self._lock = Semaphore()

    @property
    def connected(self) -> bool:
        """Whether the connection is open."""
        return self._conn is not None and not self._conn.closed

    @property
    def calls(self) -> int:
        """Calls that have not ended."""
        return len(self._calls)

    def ensure(self) -> Connection:
        """Return the connection, opened if need be.

        Returns
        -------
        Connection

        Raises
        ------
        ConnectionLost
            It can't be opened.
        """
        self._used_at = time.monotonic()
        with self._lock:
            if not self.connected:
                self._conn = connect(
                    self.host, self.port, self, timeout_s=CONNECT_TIMEOUT_S
                )
                self.opened += 1
                self._heard_at = time.monotonic()
                self._conn.send(Frame(hello=self._hello()))
            return self._conn

    def open(self, opened: Open) -> LinkedCall:
        """Hand a call over.

        Parameters
        ----------
        opened : Open
            The call; its number and window are set here.

        Returns
        -------
        LinkedCall

        Raises
        ------
        ConnectionLost
            The call was not handed over.
        """
        conn = self.ensure()
        call = LinkedCall(next(self._numbers), self)
        opened.call = call.number
        opened.window = WINDOW_CHUNKS
        self._calls[call.number] = call
        try:
            conn.send(Frame(open=opened))
        except ConnectionLost:
            self._calls.pop(call.number, None)
            raise
        return call

    def tell(self, frame: Frame) -> None:
        """Send a message if the connection is open.

        Parameters
        ----------
        frame : Frame
            The message.
        """
        if self.connected:
            self._conn.send(frame)

    def forget(self, call: LinkedCall) -> None:
        """Drop a call.

        Parameters
        ----------
        call : LinkedCall
            The call.
        """
        known = self._calls.pop(call.number, None)
        if known is not None and not call.ended:
            self.tell(Frame(cancel=Cancel(call=call.number)))

    def check_silence(self, now: float, limit_s: float) -> None:
        """Ask a connection that owes answers and is silent; then close it.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        limit_s : float
            The longest silence, in seconds.
        """
        silence_s = now - self._heard_at
        if not self._calls or silence_s <= limit_s / 2:
            return
        if silence_s > limit_s:
            self.close()
        else:
            # An agent answers this at once, whatever the turn of its reports.
            self.tell(Frame(pull=Pull(call=0, after=NEWEST, limit=0)))

    def check_idle(self, now: float, limit_s: float) -> None:
        """Close a connection that nobody uses.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        limit_s : float
            The longest time without use, in seconds.
        """
        if not self._calls and now - self._used_at > limit_s:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()

    def received(self, conn: Connection, frame: Frame) -> None:
        """Take a message of the agent; see `Receiver`."""
        self._heard_at = time.monotonic()
        message = frame.chunk or frame.head or frame.end
        if message is not None:
            call = self._calls.get(message.call)
            if call is not None:
                call.deliver(message)
        elif frame.report is not None:
            self._events.reported(frame.report)
        else:
            self._events.exchanged(conn, frame)

    def lost(self, conn: Connection) -> None:
        """End all calls with an unknown outcome; see `Receiver`."""
        if conn is not self._conn:
            return
        calls, self._calls = self._calls, {}
        for call in calls.values():
            call.deliver(_lost_end(call.number))


def _lost_end(number: int) -> End:
    return End(
        call=number,
        outcome=Outcome.UNKNOWN,
        refusal=Refusal.BROKEN,
        detail="The connection to the upstream's agent was lost.",
        retry_after_ms=0,
    )

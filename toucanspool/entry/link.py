"""An entry's connection to one agent, shared by all calls to it."""

import itertools
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

from gevent.event import Event
from gevent.lock import Semaphore

from toucanspool.wire.connection import Connection, ConnectionLost, connect
from toucanspool.wire.gen.messages.ttypes import (
    Cancel,
    Chunk,
    Credit,
    End,
    Frame,
    Head,
    Hello,
    Open,
    Outcome,
    Refusal,
    Report,
)

CONNECT_TIMEOUT_S = 0.5
CREDIT_BATCH = 8
WINDOW_CHUNKS = 32

Message = Head | Chunk | End


class LinkEvents(Protocol):
    """Take what agents say besides calls."""

    def reported(self, report: Report) -> None:
        """Take a load report."""
        ...

    def exchanged(self, conn: Connection, frame: Frame) -> None:
        """Take a message of the exchange of configuration."""
        ...


class CallTimeout(Exception):
    """Report that no message of a call came in time."""


class LinkedCall:
    """Receive the messages of one call.

    Parameters
    ----------
    number : int
        The call's number on its link.
    link : Link
        The link.
    """

    __slots__ = ("_link", "_messages", "_read", "_ready", "ended", "number")

    def __init__(self, number: int, link: "Link") -> None:
        self.number = number
        self.ended = False
        self._link = link
        self._messages: deque[Message] = deque()
        self._ready = Event()
        self._read = 0

    def deliver(self, message: Message) -> None:
        """Queue a message.

        Parameters
        ----------
        message : Head, Chunk or End
            The message.
        """
        self._messages.append(message)
        self._ready.set()

    def next(self, timeout_s: float) -> Message:
        """Return the next message; chunks that wait are joined into one.

        Parameters
        ----------
        timeout_s : float
            The longest wait, in seconds.

        Returns
        -------
        Head, Chunk or End

        Raises
        ------
        CallTimeout
            None came in time.
        """
        if not self._messages:
            self._ready.clear()
            if not self._ready.wait(max(0.0, timeout_s)):
                raise CallTimeout
        message = self._messages.popleft()
        if isinstance(message, Chunk):
            return self._joined(message)
        if isinstance(message, End):
            self.ended = True
        return message

    def cancel(self) -> None:
        """Tell the agent to stop, and the waiting task that it has."""
        self._link.tell(Frame(cancel=Cancel(call=self.number)))
        self.deliver(
            End(
                call=self.number,
                outcome=Outcome.UNKNOWN,
                refusal=Refusal.CANCELLED,
                detail="The caller cancelled the request.",
                retry_after_ms=0,
            )
        )

    def close(self) -> None:
        """Take no more messages; the agent is told unless the call has ended."""
        self._link.forget(self)

    def _joined(self, first: Chunk) -> Chunk:
        end = first.offset + len(first.data)
        parts = [first.data]
        messages = self._messages
        while messages and isinstance(messages[0], Chunk) and messages[0].offset == end:
            data = messages.popleft().data
            parts.append(data)
            end += len(data)
        self._count_read(len(parts))
        if len(parts) == 1:
            return first
        return Chunk(call=self.number, offset=first.offset, data=b"".join(parts))

    def _count_read(self, chunks: int) -> None:
        self._read += chunks
        if self._read >= CREDIT_BATCH:
            self._link.tell(Frame(credit=Credit(call=self.number, chunks=self._read)))
            self._read = 0


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
    """

    __slots__ = (
        "_calls",
        "_conn",
        "_events",
        "_heard_at",
        "_hello",
        "_lock",
        "_numbers",
        "host",
        "port",
    )

    def __init__(
        self, host: str, port: int, events: LinkEvents, hello: Callable[[], Hello]
    ) -> None:
        self.host = host
        self.port = port
        self._events = events
        self._hello = hello
        self._conn: Connection | None = None
        self._calls: dict[int, LinkedCall] = {}
        self._heard_at = 0.0
        self._numbers = itertools.count(1)
        self._lock = Semaphore()

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
        with self._lock:
            if self._conn is None or self._conn.closed:
                self._conn = connect(
                    self.host, self.port, self, timeout_s=CONNECT_TIMEOUT_S
                )
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
        if self._conn is not None and not self._conn.closed:
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
        """Close a connection that owes answers and says nothing.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        limit_s : float
            The longest silence, in seconds.
        """
        if self._calls and now - self._heard_at > limit_s:
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

"""A connection to one agent or entry that multiplexes calls."""

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
MAX_REVISION = 2**62


class LinkHandler(Protocol):
    """Handle messages of the other side that belong to no call."""

    def on_report(self, report: Report) -> None:
        """Handle a load report."""
        ...

    def on_message(self, conn: Connection, frame: Frame) -> None:
        """Handle any other message."""
        ...


class Link:
    """Own the connection to one agent or entry and open it when needed.

    Parameters
    ----------
    host : str
        IP address of the other side.
    port : int
        Port of the other side.
    handler : LinkHandler
        Handler of messages that belong to no call.
    hello : callable
        Returns the first message to send on a new connection.

    Attributes
    ----------
    connect_count : int
        Number of connections opened so far.
    """

    __slots__ = (
        "_call_numbers",
        "_calls",
        "_conn",
        "_connect_lock",
        "_handler",
        "_hello",
        "_last_received_at",
        "_last_used_at",
        "connect_count",
        "host",
        "port",
    )

    def __init__(
        self, host: str, port: int, handler: LinkHandler, hello: Callable[[], Hello]
    ) -> None:
        self.host = host
        self.port = port
        self._handler = handler
        self._hello = hello
        self.connect_count = 0
        self._conn: Connection | None = None
        self._calls: dict[int, LinkedCall] = {}
        self._last_received_at = 0.0
        self._last_used_at = 0.0
        self._call_numbers = itertools.count(1)
        self._connect_lock = Semaphore()

    @property
    def connected(self) -> bool:
        """Return whether the connection is open."""
        return self._conn is not None and not self._conn.closed

    @property
    def calls(self) -> int:
        """Return the number of calls that have not ended."""
        return len(self._calls)

    def connect(self) -> Connection:
        """Return the connection; open it if it is closed.

        Returns
        -------
        Connection

        Raises
        ------
        ConnectionLost
            The connection can't be opened.
        """
        self._last_used_at = time.monotonic()
        with self._connect_lock:
            if not self.connected:
                self._conn = connect(
                    self.host, self.port, self, timeout_s=CONNECT_TIMEOUT_S
                )
                self.connect_count += 1
                self._last_received_at = time.monotonic()
                self._conn.send(Frame(hello=self._hello()))
            return self._conn

    def open(self, message: Open) -> LinkedCall:
        """Start a call.

        Parameters
        ----------
        message : Open
            First message of the call; its number and window are set here.

        Returns
        -------
        LinkedCall

        Raises
        ------
        ConnectionLost
            The call was not sent.
        """
        conn = self.connect()
        call = LinkedCall(next(self._call_numbers), self)
        message.call = call.number
        message.window = WINDOW_CHUNKS
        self._calls[call.number] = call
        try:
            conn.send(Frame(open=message))
        except ConnectionLost:
            self._calls.pop(call.number, None)
            raise
        return call

    def send_if_connected(self, frame: Frame) -> None:
        """Send a message if the connection is open, else drop it.

        Parameters
        ----------
        frame : Frame
            The message.
        """
        if self.connected:
            self._conn.send(frame)

    def release(self, call: LinkedCall) -> None:
        """Remove a call; cancel it if it has not ended.

        Parameters
        ----------
        call : LinkedCall
            Call to remove.
        """
        known = self._calls.pop(call.number, None)
        if known is not None and not call.ended:
            self.send_if_connected(Frame(cancel=Cancel(call=call.number)))

    def check_silence(self, now: float, timeout_s: float) -> None:
        """Probe a connection with calls that is silent; close it after a timeout.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        timeout_s : float
            Longest silence, in seconds; a probe is sent after half of it.
        """
        silence_s = now - self._last_received_at
        if not self._calls or silence_s <= timeout_s / 2:
            return
        if silence_s > timeout_s:
            self.close()
        else:
            # An agent replies to this at once, independent of its report interval.
            self.send_if_connected(
                Frame(pull=Pull(call=0, after=MAX_REVISION, limit=0))
            )

    def check_idle(self, now: float, timeout_s: float) -> None:
        """Close a connection that has not been used for a time.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        timeout_s : float
            Longest time without use, in seconds.
        """
        if not self._calls and now - self._last_used_at > timeout_s:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()

    def received(self, conn: Connection, frame: Frame) -> None:
        """Dispatch a received message; see `Receiver`."""
        self._last_received_at = time.monotonic()
        message = frame.chunk or frame.head or frame.end
        if message is not None:
            call = self._calls.get(message.call)
            if call is not None:
                call.deliver(message)
        elif frame.report is not None:
            self._handler.on_report(frame.report)
        else:
            self._handler.on_message(conn, frame)

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

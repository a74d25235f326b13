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
MAX_REVISION = 2**62


class LinkHandler(Protocol):
    """Take what agents say besides calls."""

    def on_report(self, report: Report) -> None:
        """Take a load report."""
        ...

    def on_message(self, conn: Connection, frame: Frame) -> None:
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
    handler : LinkHandler
        Who takes what is not of a call.
    hello : callable
        Returns the introduction that is sent first.

    Attributes
    ----------
    connect_count : int
        How often the connection was opened.
    """

    __slots__ = (
        "_calls",
        "_conn",
        "_handler",
        "_last_received_at",
        "_hello",
        "_connect_lock",
        "_call_numbers",
        "_last_used_at",
        "host",
        "connect_count",
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
        """Whether the connection is open."""
        return self._conn is not None and not self._conn.closed

    @property
    def calls(self) -> int:
        """Calls that have not ended."""
        return len(self._calls)

    def connect(self) -> Connection:
        """Return the connection, opened if need be.

        Returns
        -------
        Connection

        Raises
        ------
        ConnectionLost
            It can't be opened.
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
        """Hand a call over.

        Parameters
        ----------
        message : Open
            The call; its number and window are set here.

        Returns
        -------
        LinkedCall

        Raises
        ------
        ConnectionLost
            The call was not handed over.
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
        """Send a message if the connection is open.

        Parameters
        ----------
        frame : Frame
            The message.
        """
        if self.connected:
            self._conn.send(frame)

    def release(self, call: LinkedCall) -> None:
        """Drop a call.

        Parameters
        ----------
        call : LinkedCall
            The call.
        """
        known = self._calls.pop(call.number, None)
        if known is not None and not call.ended:
            self.send_if_connected(Frame(cancel=Cancel(call=call.number)))

    def check_silence(self, now: float, timeout_s: float) -> None:
        """Ask a connection that owes answers and is silent; then close it.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        timeout_s : float
            The longest silence, in seconds.
        """
        silence_s = now - self._last_received_at
        if not self._calls or silence_s <= timeout_s / 2:
            return
        if silence_s > timeout_s:
            self.close()
        else:
            # An agent answers this at once, whatever the turn of its reports.
            self.send_if_connected(
                Frame(pull=Pull(call=0, after=MAX_REVISION, limit=0))
            )

    def check_idle(self, now: float, timeout_s: float) -> None:
        """Close a connection that nobody uses.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        timeout_s : float
            The longest time without use, in seconds.
        """
        if not self._calls and now - self._last_used_at > timeout_s:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()

    def received(self, conn: Connection, frame: Frame) -> None:
        """Take a message of the agent; see `Receiver`."""
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

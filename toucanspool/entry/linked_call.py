"""One call on a link, with its queue of received messages."""

from collections import deque
from typing import Protocol

from gevent.event import Event

from toucanspool.wire.gen.messages.ttypes import (
    Cancel,
    Chunk,
    Credit,
    End,
    Frame,
    Head,
    Outcome,
    Refusal,
)

CREDIT_BATCH_CHUNKS = 8

Message = Head | Chunk | End


class CallLink(Protocol):
    """Send the messages of a call to its agent."""

    def send_if_connected(self, frame: Frame) -> None:
        """Send a message if the connection is open, else drop it."""
        ...

    def release(self, call: "LinkedCall") -> None:
        """Remove a call; cancel it if it has not ended."""
        ...


class CallTimeout(Exception):
    """Report that no message of a call arrived in time."""


class LinkedCall:
    """Receive the messages of one call and return flow-control credit.

    Parameters
    ----------
    number : int
        Number of the call, unique on its link.
    link : CallLink
        Link that the call runs on.
    """

    __slots__ = (
        "_available",
        "_link",
        "_messages",
        "_uncredited_chunks",
        "ended",
        "number",
    )

    def __init__(self, number: int, link: CallLink) -> None:
        self.number = number
        self.ended = False
        self._link = link
        self._messages: deque[Message] = deque()
        self._available = Event()
        self._uncredited_chunks = 0

    def deliver(self, message: Message) -> None:
        """Add a received message to the queue.

        Parameters
        ----------
        message : Head, Chunk or End
            Received message.
        """
        self._messages.append(message)
        self._available.set()

    def next(self, timeout_s: float) -> Message:
        """Return the next message; contiguous queued chunks are joined into one.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        Head, Chunk or End

        Raises
        ------
        CallTimeout
            No message arrived in time.
        """
        if not self._messages:
            self._available.clear()
            if not self._available.wait(max(0.0, timeout_s)):
                raise CallTimeout
        message = self._messages.popleft()
        if isinstance(message, Chunk):
            return self._join_chunks(message)
        if isinstance(message, End):
            self.ended = True
        return message

    def cancel(self) -> None:
        """Cancel the call at the agent, and end it for the waiting reader."""
        self._link.send_if_connected(Frame(cancel=Cancel(call=self.number)))
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
        """Remove the call from its link; cancel it if it has not ended."""
        self._link.release(self)

    def _join_chunks(self, first: Chunk) -> Chunk:
        end = first.offset + len(first.data)
        parts = [first.data]
        messages = self._messages
        while messages and isinstance(messages[0], Chunk) and messages[0].offset == end:
            data = messages.popleft().data
            parts.append(data)
            end += len(data)
        self._grant_credit(len(parts))
        if len(parts) == 1:
            return first
        return Chunk(call=self.number, offset=first.offset, data=b"".join(parts))

    def _grant_credit(self, chunks: int) -> None:
        self._uncredited_chunks += chunks
        if self._uncredited_chunks >= CREDIT_BATCH_CHUNKS:
            self._link.send_if_connected(
                Frame(credit=Credit(call=self.number, chunks=self._uncredited_chunks))
            )
            self._uncredited_chunks = 0

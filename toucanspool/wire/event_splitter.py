"""Splitting of a server-sent event stream into complete events."""

import re

from toucanspool.wire.reply_parser import BrokenReply, ExcessiveReply

MAX_EVENT_BYTES = 1024 * 1024

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_EVENT_END_BYTES = 4
_EVENT_DATA = re.compile(rb"(?:^|[\r\n])data")
# A status line that begins a line, or inside one that is followed by a header. A line
# that is cut off goes on with what is written next. Text about replies has a field's
# name before each line.
_REPLY_HEAD = re.compile(
    rb"(?:^|[\r\n])HTTP/1\.[01] [0-9]{3}(?![0-9])"
    rb"|HTTP/1\.[01] [0-9]{3}(?![0-9])[^\r\n]*\r?\n"
    rb"(?!data|id|event|retry)[A-Za-z]"
)
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Split the bytes of a stream into complete events.

    Parameters
    ----------
    last_id : str, default=""
        Id of the event after which the stream begins.

    Attributes
    ----------
    last_id : str
        Id of the last event returned, or the initial one before.
    count : int
        Number of events returned.
    data_returned : bool
        Whether the last call of `feed` returned an event with data. Others, such as
        comments, don't reach the application of the caller.
    """

    __slots__ = ("_partial", "_searched_bytes", "count", "data_returned", "last_id")

    def __init__(self, *, last_id: str = "") -> None:
        self.last_id = last_id
        self.count = 0
        self.data_returned = False
        self._partial = bytearray()
        self._searched_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        Parameters
        ----------
        data : bytes
            Received bytes.

        Returns
        -------
        bytes
            Empty if no event is complete.

        Raises
        ------
        ExcessiveReply
            An event is too large.
        BrokenReply
            Another reply begins inside the stream.
        """
        self._partial += data
        end = count = 0
        if self._has_event_end():
            for match in _EVENT_END.finditer(self._partial, self._searched_bytes):
                end = match.end()
                count += 1
        events = bytes(self._partial[:end])
        check_events(events)
        self.count += count
        del self._partial[:end]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise ExcessiveReply(f"an event has more than {MAX_EVENT_BYTES} bytes")
        # The bytes of an event's end may arrive apart.
        self._searched_bytes = max(0, len(self._partial) - _EVENT_END_BYTES + 1)
        # The expressions take far longer for each byte than these searches.
        self.data_returned = (
            b"data" in events and _EVENT_DATA.search(events) is not None
        )
        if b"id:" in events and (ids := _EVENT_ID.findall(events)):
            self.last_id = ids[-1].decode("latin-1")
        return events

    def _has_event_end(self) -> bool:
        start = self._searched_bytes
        return any(self._partial.find(end, start) >= 0 for end in _EVENT_ENDS)

    def drop_partial(self) -> None:
        """Discard an incomplete event after its stream has broken."""
        self._partial.clear()
        self._searched_bytes = 0

    @property
    def partial_bytes(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._partial)

    @property
    def partial(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._partial)


def check_events(data: bytes) -> None:
    """Check that no other reply begins inside a stream.

    An upstream that breaks a stream off may write another reply on its connection.

    Parameters
    ----------
    data : bytes
        Whole events, or what stands after the last one as the stream ends.

    Raises
    ------
    BrokenReply
        The data contains the head of another reply.
    """
    if b"HTTP/1." in data and _REPLY_HEAD.search(data):
        raise BrokenReply("another reply begins inside the stream")

"""Splitting of a server-sent event stream into complete events."""

import re

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
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
    """

    __slots__ = ("_partial", "count", "last_id")

    def __init__(self, *, last_id: str = "") -> None:
        self.last_id = last_id
        self.count = 0
        self._partial = b""

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
        """
        data = self._partial + data
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
            self.count += 1
        events, self._partial = data[:end], data[end:]
        ids = _EVENT_ID.findall(events)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return events

    def drop_partial(self) -> None:
        """Discard an incomplete event after its stream has broken."""
        self._partial = b""

    @property
    def partial(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._partial

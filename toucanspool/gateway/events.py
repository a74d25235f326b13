"""Whole events of a server-sent event stream, and the id of the last one."""

import re

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Cut a stream's bytes into whole events.

    Attributes
    ----------
    last_id : str
        Id of the last whole event handed out; empty before the first.
    count : int
        Whole events handed out.
    """

    __slots__ = ("_rest", "count", "last_id")

    def __init__(self, *, last_id: str = "") -> None:
        self.last_id = last_id
        self.count = 0
        self._rest = b""

    def take(self, data: bytes) -> bytes:
        """Return the whole events that are complete with these bytes.

        Parameters
        ----------
        data : bytes
            What came.

        Returns
        -------
        bytes
            Empty where no event is complete.
        """
        data = self._rest + data
        end = 0
        for found in _END.finditer(data):
            end = found.end()
            self.count += 1
        events, self._rest = data[:end], data[end:]
        ids = _ID.findall(events)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return events

    def drop_rest(self) -> None:
        """Forget a part of an event, since its stream was broken off."""
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return bytes after the last whole event."""
        return self._rest

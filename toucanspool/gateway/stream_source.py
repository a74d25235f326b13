"""What a stream is read from, and which other replies may go on with it."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Self

from toucanspool.gateway.attempt import Attempt, NotContinued
from toucanspool.routing.upstream import Upstream
from toucanspool.wire.event_splitter import EventSplitter
from toucanspool.wire.events import EVENT_STREAM_TYPE


class NotBegun(Exception):
    """Report a stream that broke before its first event: another reply may follow."""


@dataclass(slots=True)
class StreamSource:
    """Hold what a stream is read from: an attempt whose reply has begun.

    Parameters
    ----------
    attempt : Attempt
        The attempt.
    splitter : EventSplitter
        Splits its stream.
    events : iterator of bytes
        Its complete events.
    failure_body : bytes or None
        Body of a reply that is a failure; None if there are events.
    upstream : Upstream or None
        Upstream of the attempt.
    """

    attempt: Attempt
    splitter: EventSplitter
    events: Iterator[bytes]
    failure_body: bytes | None = None
    upstream: Upstream | None = None


@dataclass(slots=True, frozen=True)
class StreamForm:
    """Hold what the head of a reply says about its stream.

    Parameters
    ----------
    status : int
        HTTP status.
    media_type : str
        Media type without parameters, in lower case; empty if it is missing.
    encoding : str
        Content coding; empty if there is none.
    framed : bool
        Whether the reply says where it ends.
    """

    status: int
    media_type: str
    encoding: str
    framed: bool

    @classmethod
    def of(cls, attempt: Attempt) -> Self:
        """Return the form of a reply whose head has been read.

        Parameters
        ----------
        attempt : Attempt
            The attempt that got the reply.

        Returns
        -------
        StreamForm
        """
        values = {name.lower(): value for name, value in attempt.reply_head.headers}
        media_type = values.get("content-type", "").partition(";")[0]
        return cls(
            attempt.status,
            media_type.strip().lower(),
            values.get("content-encoding", "").strip().lower(),
            attempt.framed,
        )

    def check_resumable(self) -> None:
        """Raise `NotContinued` unless the reply has events, after which to go on."""
        if self.media_type not in ("", EVENT_STREAM_TYPE):
            raise NotContinued(self.status, self.media_type)

    def check_continued(self, other: "StreamForm") -> None:
        """Raise unless another reply may go on with this one's stream.

        Failures may not, whatever their status: their text is no part of the stream.

        Parameters
        ----------
        other : StreamForm
            Form of the other reply.

        Raises
        ------
        NotContinued
            It has another status, media type or content coding.
        """
        own = self.status, self.media_type, self.encoding
        if own != (other.status, other.media_type, other.encoding):
            raise NotContinued(other.status, other.media_type)


def concat(first: bytes, events: Iterator[bytes]) -> Iterator[bytes]:
    """Yield a first block, unless it is empty, and then the events."""
    if first:
        yield first
    yield from events

"""A reply whose body is streamed."""

from collections.abc import Iterator
from contextlib import ExitStack

from toucanspool.wire.gen.messages.ttypes import Head


class Reply:
    """Hold a reply whose body is streamed; must be closed.

    Parameters
    ----------
    head : Head
        Status and headers of the upstream's reply.
    framed : bool
        Whether it is known where the body ends, by its framing or by the end marker of
        the chat API. If not, the caller must not be told either: the body ends with
        the connection.
    replayed : bool
        Whether it is the recorded reply of an earlier run with the same key.
    chunks : iterator of bytes
        Chunks of the body.
    closing : ExitStack
        Resources of the request, released by `close`.
    """

    __slots__ = (
        "_chunks",
        "_closing",
        "content_type",
        "framed",
        "replayed",
        "status",
    )

    def __init__(
        self,
        head: Head,
        framed: bool,
        replayed: bool,
        chunks: Iterator[bytes],
        closing: ExitStack,
    ) -> None:
        self.status = head.status
        self.content_type = head.headers.get("content-type", "")
        self.framed = framed
        self.replayed = replayed
        self._chunks = chunks
        self._closing = closing

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Release the request's resources; cancel the call if it has not ended.

        May be called repeatedly.
        """
        self._closing.close()

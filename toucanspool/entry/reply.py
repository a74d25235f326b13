"""A reply whose body is streamed."""

from collections.abc import Iterator
from contextlib import ExitStack


class Reply:
    """Hold a reply whose body is streamed; must be closed.

    Parameters
    ----------
    status : int
        HTTP status code.
    content_type : str
        Media type of the body.
    replayed : bool
        Whether it is the recorded reply of an earlier run with the same key.
    chunks : iterator of bytes
        Chunks of the body.
    closing : ExitStack
        Resources of the request, released by `close`.
    """

    __slots__ = ("_chunks", "_closing", "content_type", "replayed", "status")

    def __init__(
        self,
        status: int,
        content_type: str,
        replayed: bool,
        chunks: Iterator[bytes],
        closing: ExitStack,
    ) -> None:
        self.status = status
        self.content_type = content_type
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

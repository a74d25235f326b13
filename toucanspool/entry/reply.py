"""An answer whose body is taken piece by piece."""

from collections.abc import Iterator
from contextlib import ExitStack


class Reply:
    """Hold an answer whose body is taken piece by piece; to be closed.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Type of the body.
    replayed : bool
        Whether it was recorded of an earlier run.
    chunks : iterator of bytes
        The body.
    closing : ExitStack
        What is closed at the end.
    """

    __slots__ = ("_closing", "_chunks", "content_type", "replayed", "status")

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
        """Give up what has not been taken; harmless when repeated."""
        self._closing.close()

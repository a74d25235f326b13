"""What a caller has received of a stream, kept to resume it on another upstream."""

from toucanspool.entry.continuation import CannotContinue
from toucanspool.limits.memory_budget import MemoryBudget, MemoryExceeded

# A stream without end would otherwise be kept whole, beside those of all other callers.
MAX_STREAM_BYTES = 1024 * 1024
MAX_BYTES = 32 * 1024 * 1024

STREAM_MEMORY = MemoryBudget(MAX_BYTES)


class Relayed:
    """Keep the text of a stream as long as it can be resumed; must be closed.

    Attributes
    ----------
    count : int
        Number of chunks that were sent to the caller.
    last_chunk : bytes
        The latest of them; empty before the first.
    """

    __slots__ = ("_held", "_text", "count", "last_chunk")

    def __init__(self) -> None:
        self._text: bytearray | None = bytearray()
        self._held = STREAM_MEMORY.part()
        self.count = 0
        self.last_chunk = b""

    def add(self, chunk: bytes, *, resumable: bool) -> None:
        """Record a chunk that is sent to the caller.

        Parameters
        ----------
        chunk : bytes
            The chunk.
        resumable : bool
            Whether the stream can be resumed if all of it is kept.
        """
        self.count += 1
        self.last_chunk = chunk
        if self._text is None:
            return
        n_bytes = len(self._text) + len(chunk)
        try:
            if not resumable or n_bytes > MAX_STREAM_BYTES:
                raise MemoryExceeded
            self._held.resize(n_bytes)
            self._text += chunk
        except MemoryExceeded:
            self.close()

    def text(self) -> bytes:
        """Return all that was sent.

        Returns
        -------
        bytes

        Raises
        ------
        CannotContinue
            It was not kept.
        """
        if self._text is None:
            raise CannotContinue("what was sent of it is not kept")
        return bytes(self._text)

    def close(self) -> None:
        """Keep nothing any longer; may be called repeatedly."""
        self._text = None
        self._held.close()

"""Reading of a request's body, with bounds on its size, time and framing."""

from typing import BinaryIO

import gevent
from gevent import socket
from gevent.lock import BoundedSemaphore
from gevent.pywsgi import Input

from toucanspool.limits.memory_budget import MemoryBudget, MemoryPart

# Bodies are read and counted in blocks of this size.
BLOCK_BYTES = 16 * 1024
# Reads of a chunked body after which others get a turn. A chunk takes six, however
# short it is.
READS_PER_TURN = 256
# A chunked body may take this many times its limit on the connection, and some bytes
# more. Chunks of one byte take six times their body.
FRAMING_FACTOR = 8
FREE_FRAMING_BYTES = 64 * 1024
# A longer rest of a body that is not read ends its connection.
MAX_DISCARDED_BYTES = 64 * 1024


class BodyTooLarge(Exception):
    """Report a body that exceeds its limit."""


class BodyTooSlow(TimeoutError):
    """Report a body that does not arrive in time."""


class BodyNotHeld(Exception):
    """Report a body for which there is no memory."""


class BodyInput(Input):
    """Read a body, and discard none of it once it has been abandoned.

    Parameters
    ----------
    file : BinaryIO
        The connection's buffered bytes.
    length : int or None
        Announced length.
    sock : socket.socket or None
        Connection whose client waits for an interim reply.
    chunked : bool
        Whether the body comes in chunks.
    parsing : BoundedSemaphore
        Held by one client at a time whose body takes many reads.

    Attributes
    ----------
    abandoned : bool
        Whether the rest of the body is not read.
    received_bytes : int
        Bytes of the body that were read.
    """

    __slots__ = ("_paced", "abandoned", "received_bytes")

    def __init__(
        self,
        file: BinaryIO,
        length: int | None,
        sock: socket.socket | None,
        chunked: bool,
        parsing: BoundedSemaphore,
    ) -> None:
        self._paced = _PacedReader(file, parsing)
        self.abandoned = False
        self.received_bytes = 0
        source = self._paced if chunked else file
        super().__init__(source, length, socket=sock, chunked_input=chunked)

    def read_bounded(
        self, max_bytes: int, held: MemoryPart, memory: MemoryBudget
    ) -> bytes:
        """Return the complete body.

        Parameters
        ----------
        max_bytes : int
            Limit on its size.
        held : MemoryPart
            Counts what has arrived.
        memory : MemoryBudget
            Decides whether more may be held.

        Returns
        -------
        bytes

        Raises
        ------
        BodyTooLarge, BodyTooSlow, BodyNotHeld
            It can't be read; the connection is of no further use.
        OSError
            The connection broke.
        """
        announced = self.content_length or 0
        if not announced and not self.chunked_input:
            return b""
        body = bytearray()
        self.abandoned = True
        self._paced.max_bytes = FREE_FRAMING_BYTES + FRAMING_FACTOR * max_bytes
        if announced > max_bytes:
            raise BodyTooLarge
        if not memory.admits(announced):
            raise BodyNotHeld
        try:
            while True:
                rest = announced - len(body) if announced else BLOCK_BYTES
                ahead = min(BLOCK_BYTES, rest)
                total = max(announced, len(body) + ahead)
                if ahead and not memory.admits(ahead, total_bytes=total):
                    raise BodyNotHeld
                held.replace(len(body) + ahead)
                block = self.read(BLOCK_BYTES)
                if not block:
                    break
                body += block
                self.received_bytes = len(body)
                if len(body) > max_bytes:
                    raise BodyTooLarge
        except TimeoutError as exc:
            raise BodyTooSlow from exc
        held.replace(len(body))
        self.abandoned = False
        return bytes(body)

    def abandon_rest(self) -> bool:
        """Return whether the rest of the body is not read, since it would take long.

        Returns
        -------
        bool
        """
        if self.chunked_input:
            self.abandoned |= self.chunk_length != 0
        else:
            rest = (self.content_length or 0) - self.position
            self.abandoned |= rest > MAX_DISCARDED_BYTES
        return self.abandoned

    def _discard(self) -> None:
        if not self.abandoned:
            super()._discard()


class _PacedReader:
    """Read a chunked body, and give others turns.

    The library parses a chunked body byte by byte. Without turns, bodies in chunks of
    one byte from a few clients take all of the process's time.
    """

    __slots__ = ("_file", "_parsing", "_read_bytes", "_reads", "max_bytes")

    def __init__(self, file: BinaryIO, parsing: BoundedSemaphore) -> None:
        self._file = file
        self._parsing = parsing
        self._read_bytes = 0
        self._reads = 0
        self.max_bytes = FREE_FRAMING_BYTES

    def read(self, size: int) -> bytes:
        data = self._file.read(size)
        self._reads += 1
        self._read_bytes += len(data)
        if self._reads % READS_PER_TURN == 0:
            if self._read_bytes > self.max_bytes:
                raise BodyTooLarge
            with self._parsing:
                gevent.sleep(0)
        return data

    def readline(self, size: int = -1) -> bytes:
        return self._file.readline(size)

"""Reading of frames whose parts count against the memory for clients."""

import struct

import gevent
from gevent import socket
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TBufferedTransport, TTransportException

from toucanspool.limits.memory_budget import MemoryBudget

MAX_FRAME_BYTES = 16 * 1024 * 1024
READ_BUFFER_BYTES = 64 * 1024
# Frames up to this size don't count: there is at most one on each connection.
FREE_FRAME_BYTES = 64 * 1024
# Bytes after which other greenlets get a turn, even if more can be read.
BURST_BYTES = 256 * 1024
# Each frame takes the time of so many bytes, however short it is.
MIN_FRAME_COST_BYTES = 32 * 1024

_LENGTH = struct.Struct("!i")


class FrameReader:
    """Read frames as `TFramedTransport` writes them; must be closed.

    That class copies what it has of a frame with each part that it reads, which takes
    seconds for long frames.

    Parameters
    ----------
    sock : gevent.socket.socket
        The connection.
    memory : MemoryBudget
        Counts the bytes of a frame that has not arrived completely.

    Attributes
    ----------
    received_bytes : int
        Bytes received of such a frame.
    """

    __slots__ = ("_buffered", "_burst_bytes", "_held", "received_bytes")

    def __init__(self, sock: socket.socket, memory: MemoryBudget) -> None:
        transport = TSocket()
        transport.setHandle(sock)
        self._buffered = TBufferedTransport(transport, READ_BUFFER_BYTES)
        self._held = memory.part()
        self._burst_bytes = 0
        self.received_bytes = 0

    def read(self) -> bytes:
        """Return the next frame.

        Raises
        ------
        MemoryExceeded
            It can't be held beside those of other connections.
        TTransportException, OSError
            The connection ended, or the frame is too large.
        """
        (size,) = _LENGTH.unpack(self._buffered.readAll(_LENGTH.size))
        if not 0 <= size <= MAX_FRAME_BYTES:
            raise TTransportException(
                TTransportException.SIZE_LIMIT, f"a frame of {size} bytes"
            )
        frame = bytearray()
        while len(frame) < size:
            frame += self._buffered.read(min(size - len(frame), READ_BUFFER_BYTES))
            self.received_bytes = len(frame)
            if size > FREE_FRAME_BYTES:
                self._held.resize(len(frame))
            self._share_time(READ_BUFFER_BYTES)
        self._share_time(MIN_FRAME_COST_BYTES)
        self.close()
        return bytes(frame)

    def close(self) -> None:
        """Count nothing any longer; may be called repeatedly."""
        self.received_bytes = 0
        self._held.close()

    def _share_time(self, n_bytes: int) -> None:
        self._burst_bytes += n_bytes
        if self._burst_bytes > BURST_BYTES:
            self._burst_bytes = 0
            gevent.sleep(0)

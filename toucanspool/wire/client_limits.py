"""What the clients of all listeners of a process share."""

from gevent.lock import BoundedSemaphore

from toucanspool.kernel.kernel import Kernel
from toucanspool.limits.memory_budget import MemoryBudget
from toucanspool.limits.process_limits import ProcessLimits
from toucanspool.wire.open_connections import OpenConnections
from toucanspool.wire.socket_buffers import SocketBuffers

# Requests that were sent before the reply to the one before, served at a time.
MAX_AHEAD = 8
# Of the parts of frames that have not arrived whole; two of the longest ones.
MAX_PARTIAL_BYTES = 32 * 1024 * 1024
# Of the kernel's bytes, for the connections of clients; the rest is for upstreams.
CLIENT_SHARE = 0.4


class ClientLimits:
    """Hold the bounds on clients, shared by all listeners of a process; a `Service`.

    Parameters
    ----------
    memory : MemoryBudget, optional
        Bounds what is held of requests and replies; no bound by default.
    connections : OpenConnections, optional
        Bounds the connections; no bound by default.

    Attributes
    ----------
    buffers, upstream_buffers : SocketBuffers
        Bound what the kernel holds for clients' connections with a request, and for
        those to upstreams.
    frames : MemoryBudget
        Bounds the parts of frames that have not arrived whole.
    ahead : BoundedSemaphore
        Held while a request is served that its client sent ahead.
    parsing : BoundedSemaphore
        Held by one client at a time whose body costs far more time than its bytes.
    """

    __slots__ = (
        "ahead",
        "buffers",
        "connections",
        "frames",
        "memory",
        "parsing",
        "upstream_buffers",
    )

    def __init__(
        self,
        memory: MemoryBudget | None = None,
        connections: OpenConnections | None = None,
    ) -> None:
        self.memory = memory or MemoryBudget()
        self.connections = connections or OpenConnections()
        self.buffers = SocketBuffers()
        self.upstream_buffers = SocketBuffers(
            receive_share=0.6, min_receive_bytes=64 * 1024
        )
        self.frames = MemoryBudget(MAX_PARTIAL_BYTES)
        self.memory.make_room = self.connections.evict_slow
        self.ahead = BoundedSemaphore(MAX_AHEAD)
        self.parsing = BoundedSemaphore(1)

    @classmethod
    def within(
        cls, limits: ProcessLimits, *, max_held_bytes: int = 0
    ) -> "ClientLimits":
        """Return the bounds of a process; see `configure`."""
        bounds = cls()
        bounds.configure(limits, max_held_bytes=max_held_bytes)
        return bounds

    def configure(self, limits: ProcessLimits, *, max_held_bytes: int = 0) -> None:
        """Set the bounds from what the process may use.

        Parameters
        ----------
        limits : ProcessLimits
            What it may use.
        max_held_bytes : int, default=0
            A lower bound on what is held; 0 for none.
        """
        held_bytes = limits.held_bytes
        self.memory.max_bytes = min(held_bytes, max_held_bytes or held_bytes)
        self.frames.max_bytes = min(held_bytes, MAX_PARTIAL_BYTES)
        self.connections.max_connections = limits.connections
        # A call needs buffers of both kinds, and at times two connections to upstreams.
        self.buffers.max_bytes = CLIENT_SHARE * limits.socket_bytes
        self.upstream_buffers.max_bytes = (1.0 - CLIENT_SHARE) * limits.socket_bytes

    def start(self, kernel: Kernel) -> None:
        """Do nothing; required by `Service`."""

    def stop(self) -> None:
        """Do nothing; required by `Service`."""

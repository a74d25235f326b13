"""What a process may hold for its clients, from the memory and descriptors it has."""

import os
import resource
from dataclasses import dataclass

MB = 1_000_000
# What the process takes before it has clients, and what it holds of the store's rows.
BASE_BYTES = 76 * MB
MIN_SPARE_BYTES = 24 * MB
# Shares of the rest. What is held may be there twice, when it is passed on.
HELD_SHARE = 0.28
SOCKET_SHARE = 0.3
CONNECTION_SHARE = 0.14
# Greenlet, read buffer, parsed head and kernel objects of a connection.
CONNECTION_BYTES = 32 * 1024
# Descriptors for listening, for the store, peers and probes, and for second attempts.
RESERVED_DESCRIPTORS = 24
# A connection and the one to an upstream for its call, with one in ten calls hedged.
DESCRIPTORS_PER_CONNECTION = 2.2


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """Hold what a process may use.

    Parameters
    ----------
    memory_bytes : int
        Memory of the process, and of the kernel for its connections.
    descriptors : int
        Open descriptors.
    """

    memory_bytes: int
    descriptors: int

    @classmethod
    def of(cls, memory_mb: float | None, descriptors: int | None) -> "ProcessLimits":
        """Return the limits of this process.

        Parameters
        ----------
        memory_mb : float or None
            Memory in MB (10**6 bytes); None for the machine's.
        descriptors : int or None
            Descriptors, if fewer than the system allows.
        """
        if memory_mb is None:
            memory_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
        else:
            memory_bytes = int(memory_mb * MB)
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return cls(memory_bytes, min(descriptors or allowed, allowed))

    @property
    def held_bytes(self) -> int:
        """Return the bound on requests, replies and events that are held."""
        return int(HELD_SHARE * self._spare_bytes)

    @property
    def socket_bytes(self) -> int:
        """Return the bound on what the kernel may hold for connections."""
        return int(SOCKET_SHARE * self._spare_bytes)

    @property
    def connections(self) -> int:
        """Return the bound on the connections of clients."""
        by_memory = CONNECTION_SHARE * self._spare_bytes / CONNECTION_BYTES
        by_descriptors = self.descriptors - RESERVED_DESCRIPTORS
        return max(1, int(min(by_memory, by_descriptors / DESCRIPTORS_PER_CONNECTION)))

    @property
    def _spare_bytes(self) -> int:
        return max(MIN_SPARE_BYTES, self.memory_bytes - BASE_BYTES)

"""The memory that replies to a process's own requests may take together.

Covers the clients of engines, upstream probes, peers and the platform's services. An
entry counts the replies that it relays to callers in a budget of their own.
"""

from toucanspool.limits.memory_budget import MemoryBudget

# Far more than sound replies take at a time, and a fifth of the smallest instance.
MAX_BYTES = 32 * 1024 * 1024

REPLY_MEMORY = MemoryBudget(MAX_BYTES)

"""Measure the processor time and the memory of protected calls, without a platform.

Run by ``python -m bench.claim_cost``.
"""

import gc
import statistics
import time
import tracemalloc

from absl import app, flags
from gevent.pool import Pool

from standins.memory import MemoryObjects, MemoryTable
from toucanspool.protected.claims import BufferedResponse, Claims, Started
from toucanspool.protected.cleaner import PAGE_ROWS, ClaimCleaner
from toucanspool.protected.committer import Committer

RUNS = flags.DEFINE_integer("runs", 5, "runs of each row")
CALLS = flags.DEFINE_integer("calls", 4000, "protected calls in a run")

CONCURRENCY = 64
BODIES = (100, 10_000, 100_000)
PENDING = 1000
SETTLE_S = 10.0
JANITOR_STEPS = 50


def _agent(table: MemoryTable, objects: MemoryObjects) -> Claims:
    committer = Committer(table)
    committer.start()
    return Claims(committer, table, objects, "agent", finish_linger_s=0.0)


def _call(agent: Claims, number: int, body: bytes) -> None:
    deadline = time.monotonic() + 60.0
    got = agent.begin("team", f"{number}", "attempt", "hash", deadline=deadline)
    assert isinstance(got, Started)
    agent.finish(got.claim, BufferedResponse(200, {"content-type": "text/plain"}, body))


def cost_us(size: int) -> float:
    """Return processor microseconds a call.

    Parameters
    ----------
    size : int
        Bytes of each answer.

    Returns
    -------
    float
    """
    agent = _agent(MemoryTable(), MemoryObjects())
    body = b"x" * size
    pool = Pool(CONCURRENCY)
    begun = time.process_time()
    for number in range(CALLS.value):
        pool.spawn(_call, agent, number, body)
    pool.join()
    agent.pending.flush(SETTLE_S)
    return (time.process_time() - begun) / CALLS.value * 1e6


def pending_bytes(size: int) -> float:
    """Return bytes of memory that each answer takes through an outage.

    Parameters
    ----------
    size : int
        Bytes of each answer.

    Returns
    -------
    float
    """
    table, objects = MemoryTable(), MemoryObjects()
    agent = _agent(table, objects)
    deadline = time.monotonic() + 60.0
    claims = [
        agent.begin("team", f"{n}", "attempt", "hash", deadline=deadline).claim
        for n in range(PENDING)
    ]
    for service in (table, objects):
        service.faults.set(down=True)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for claim in claims:
        agent.finish(claim, BufferedResponse(200, {}, bytes(size)))
    agent.pending.flush(SETTLE_S)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / PENDING


def janitor_us() -> float:
    """Return processor microseconds of the janitor a row that stays.

    Returns
    -------
    float
    """
    table = MemoryTable()
    agent = _agent(table, MemoryObjects())
    for number in range(PAGE_ROWS - 1):
        _call(agent, number, b"x" * 100)
    janitor = ClaimCleaner(table, MemoryObjects(), now=time.monotonic)
    begun = time.process_time()
    for _ in range(JANITOR_STEPS):
        janitor.step(["agent"])
    rows = JANITOR_STEPS * (PAGE_ROWS - 1)
    return (time.process_time() - begun) / rows * 1e6


def _spread(values: list[float]) -> str:
    return f"{statistics.median(values):.0f} ({min(values):.0f} to {max(values):.0f})"


def main(argv: list[str]) -> None:
    """Print a table.

    Parameters
    ----------
    argv : list of str
        Arguments left by absl.
    """
    print("| answer, bytes | processor us a call | bytes pending each in an outage |")
    print("| --- | --- | --- |")
    for size in BODIES:
        cost = _spread([cost_us(size) for _ in range(RUNS.value)])
        memory = _spread([pending_bytes(size) for _ in range(RUNS.value)])
        print(f"| {size} | {cost} | {memory} |", flush=True)
    rows = _spread([janitor_us() for _ in range(RUNS.value)])
    print(f"\nJanitor, processor us a row: {rows}")


if __name__ == "__main__":
    app.run(main)

"""Measure processor time and memory of protected calls with an in-memory platform.

Run with ``python -m bench.claim_cost``.
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
BODY_SIZES_BYTES = (100, 10_000, 100_000)
PENDING_ANSWERS = 1000
FLUSH_TIMEOUT_S = 10.0
CLEANER_STEPS = 50


def _make_agent(table: MemoryTable, objects: MemoryObjects) -> Claims:
    committer = Committer(table)
    committer.start()
    return Claims(committer, table, objects, "agent", finish_linger_s=0.0)


def _call(agent: Claims, number: int, body: bytes) -> None:
    deadline = time.monotonic() + 60.0
    started = agent.begin("team", f"{number}", "attempt", "hash", deadline=deadline)
    assert isinstance(started, Started)
    agent.finish(
        started.claim, BufferedResponse(200, {"content-type": "text/plain"}, body)
    )


def cost_us(size: int) -> float:
    """Return the processor time per call, in microseconds.

    Parameters
    ----------
    size : int
        Size of each answer, in bytes.

    Returns
    -------
    float
    """
    agent = _make_agent(MemoryTable(), MemoryObjects())
    body = b"x" * size
    pool = Pool(CONCURRENCY)
    started_s = time.process_time()
    for number in range(CALLS.value):
        pool.spawn(_call, agent, number, body)
    pool.join()
    agent.pending.flush(FLUSH_TIMEOUT_S)
    return (time.process_time() - started_s) / CALLS.value * 1e6


def pending_bytes(size: int) -> float:
    """Return the memory held by each pending answer during an outage, in bytes.

    Parameters
    ----------
    size : int
        Size of each answer, in bytes.

    Returns
    -------
    float
    """
    table, objects = MemoryTable(), MemoryObjects()
    agent = _make_agent(table, objects)
    deadline = time.monotonic() + 60.0
    claims = [
        agent.begin("team", f"{n}", "attempt", "hash", deadline=deadline).claim
        for n in range(PENDING_ANSWERS)
    ]
    for service in (table, objects):
        service.faults.set(down=True)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for claim in claims:
        agent.finish(claim, BufferedResponse(200, {}, bytes(size)))
    agent.pending.flush(FLUSH_TIMEOUT_S)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / PENDING_ANSWERS


def cleaner_us() -> float:
    """Return the cleaner's processor time per retained row, in microseconds.

    Returns
    -------
    float
    """
    table = MemoryTable()
    agent = _make_agent(table, MemoryObjects())
    for number in range(PAGE_ROWS - 1):
        _call(agent, number, b"x" * 100)
    cleaner = ClaimCleaner(table, MemoryObjects(), now=time.monotonic)
    started_s = time.process_time()
    for _ in range(CLEANER_STEPS):
        cleaner.step(["agent"])
    rows = CLEANER_STEPS * (PAGE_ROWS - 1)
    return (time.process_time() - started_s) / rows * 1e6


def _format_spread(values: list[float]) -> str:
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
    for size in BODY_SIZES_BYTES:
        cost = _format_spread([cost_us(size) for _ in range(RUNS.value)])
        memory = _format_spread([pending_bytes(size) for _ in range(RUNS.value)])
        print(f"| {size} | {cost} | {memory} |", flush=True)
    cleaner_cost = _format_spread([cleaner_us() for _ in range(RUNS.value)])
    print(f"\nJanitor, processor us a row: {cleaner_cost}")


if __name__ == "__main__":
    app.run(main)

"""A model of an engine that batches continuously and caches prefixes."""

import heapq
import itertools
from collections import OrderedDict, deque
from dataclasses import dataclass, field

MAX_BATCH = 64
STEP_BASE_S = 0.010
STEP_PER_SEQUENCE_S = 0.0002
STEP_PER_PREFILL_TOKEN_S = 0.00004
CHUNK_TOKENS = 512
BLOCK_TOKENS = 128


@dataclass(slots=True, eq=False)
class Job:
    """Hold one request of a trace.

    Parameters
    ----------
    arrived : float
        When it came, in seconds.
    entry : int
        The entry that it came to.
    prefixes : tuple of str
        Hashes of the blocks that other requests share.
    prompt_tokens : int
        Length of the whole prompt.
    output_tokens : int
        Length of the answer.
    low : bool
        Whether its prefill waits behind that of others.
    """

    arrived: float
    entry: int
    prefixes: tuple[str, ...]
    prompt_tokens: int
    output_tokens: int
    low: bool = False
    engine: int = -1
    left: int = 0
    cached_tokens: int = 0
    first_at: float = -1.0
    done_at: float = -1.0


@dataclass(slots=True, frozen=True)
class Load:
    """Hold what an engine reports.

    Parameters
    ----------
    at : float
        When it was true, in seconds.
    running, waiting : int
        Jobs in the batch, and before it.
    step_ms : float
        Smoothed time of a step, in milliseconds.
    seq : int
        Number of the cache event.
    stored, removed : tuple of str
        Changes of the cache since the event before.
    """

    at: float
    running: int
    waiting: int
    step_ms: float
    seq: int
    stored: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(slots=True, eq=False)
class Engine:
    """Run jobs step by step; decoding and a chunk of prefill share each step.

    Parameters
    ----------
    slow : float
        Factor on the time of each step.
    cache_blocks : int
        Blocks that the prefix cache holds, the least recently used go first.
    """

    slow: float
    cache_blocks: int
    steps: int = 0
    stepping: bool = False
    step_s: float = 0.0
    seq: int = 0
    queue: deque = field(default_factory=deque)
    low: deque = field(default_factory=deque)
    batch: list = field(default_factory=list)
    prefilled: list = field(default_factory=list)
    cache: OrderedDict = field(default_factory=OrderedDict)
    stored: dict = field(default_factory=dict)
    removed: dict = field(default_factory=dict)
    order: itertools.count = field(default_factory=itertools.count)

    def add(self, job: Job) -> None:
        """Queue a job; what the cache holds of its prompt needs no prefill."""
        hit = 0
        for prefix in job.prefixes:
            if prefix not in self.cache:
                break
            self.cache.move_to_end(prefix)
            hit += 1
        job.cached_tokens = hit * BLOCK_TOKENS
        job.left = max(1, job.prompt_tokens - job.cached_tokens)
        (self.low if job.low else self.queue).append(job)

    def start_step(self) -> float | None:
        """Begin a step and return its time in seconds; None where idle."""
        budget, self.prefilled = CHUNK_TOKENS, []
        room = MAX_BATCH - len(self.batch)
        for queue in (self.queue, self.low):
            while queue and budget and len(self.prefilled) < room:
                part = min(budget, queue[0].left)
                queue[0].left -= part
                budget -= part
                if not queue[0].left:
                    self.prefilled.append(queue.popleft())
        tokens = CHUNK_TOKENS - budget
        self.stepping = bool(tokens or self.batch)
        if not self.stepping:
            return None
        step_s = STEP_BASE_S + STEP_PER_SEQUENCE_S * len(self.batch)
        step_s = self.slow * (step_s + STEP_PER_PREFILL_TOKEN_S * tokens)
        self.step_s += 0.1 * (step_s - self.step_s) if self.step_s else step_s
        return step_s

    def end_step(self, now: float) -> list[Job]:
        """End a step and return the jobs that are complete."""
        self.steps += 1
        done = []
        while self.batch and self.batch[0][0] <= self.steps:
            done.append(heapq.heappop(self.batch)[2])
        for job in self.prefilled:
            job.first_at = job.first_at if job.first_at >= 0.0 else now
            self._store(job.prefixes)
            last = self.steps + job.output_tokens - 1
            heapq.heappush(self.batch, (last, next(self.order), job))
        for job in done:
            job.done_at = now
        return done

    def report(self, now: float) -> Load:
        """Return the load now and the changes of the cache."""
        self.seq += 1
        stored, removed = tuple(self.stored), tuple(self.removed)
        self.stored.clear()
        self.removed.clear()
        step_ms = 1000.0 * self.step_s
        running = len(self.batch)
        waiting = len(self.queue) + len(self.low)
        load = (now, running, waiting, step_ms, self.seq, stored, removed)
        return Load(*load)

    def drain(self) -> list[Job]:
        """Return all jobs and forget everything, as a crash does."""
        lost = [*self.queue, *self.low, *(entry[2] for entry in self.batch)]
        lost += [job for job in self.prefilled if job not in lost]
        self.queue.clear()
        self.low.clear()
        self.batch.clear()
        self.prefilled.clear()
        self.cache.clear()
        return lost

    def _store(self, prefixes: tuple[str, ...]) -> None:
        for prefix in prefixes:
            self.cache[prefix] = None
            self.cache.move_to_end(prefix)
            self.stored[prefix] = None
            self.removed.pop(prefix, None)
        while len(self.cache) > self.cache_blocks:
            gone, _ = self.cache.popitem(last=False)
            self.removed[gone] = None
            self.stored.pop(gone, None)

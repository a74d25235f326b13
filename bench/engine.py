"""Simulation of an inference engine with continuous batching and a prefix cache."""

import heapq
import itertools
from collections import OrderedDict, deque
from dataclasses import dataclass, field

MAX_BATCH_SEQUENCES = 64
STEP_BASE_S = 0.010
STEP_PER_SEQUENCE_S = 0.0002
STEP_PER_PREFILL_TOKEN_S = 0.00004
PREFILL_CHUNK_TOKENS = 512
BLOCK_TOKENS = 128


@dataclass(slots=True, eq=False)
class Job:
    """Describe a request of a trace and its progress.

    Parameters
    ----------
    arrived : float
        Arrival time, in seconds.
    entry : int
        Index of the entry that receives it.
    prefixes : tuple of str
        Hashes of the prompt blocks that requests share.
    prompt_tokens : int
        Length of the whole prompt.
    output_tokens : int
        Length of the answer.
    low_priority : bool
        Whether prefill waits until no other job needs it.
    """

    arrived: float
    entry: int
    prefixes: tuple[str, ...]
    prompt_tokens: int
    output_tokens: int
    low_priority: bool = False
    engine: int = -1
    prefill_left: int = 0
    cached_tokens: int = 0
    first_token_at: float = -1.0
    completed_at: float = -1.0


@dataclass(slots=True, frozen=True)
class Load:
    """Hold a load report of an engine.

    Parameters
    ----------
    sampled_at : float
        Time of the sample, in seconds.
    running, waiting : int
        Number of jobs in the batch and in the queues.
    step_ms : float
        Smoothed time of a step, in milliseconds.
    seq : int
        Sequence number of the cache event.
    stored, removed : tuple of str
        Blocks stored in and removed from the cache since the previous event.
    """

    sampled_at: float
    running: int
    waiting: int
    step_ms: float
    seq: int
    stored: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(slots=True, eq=False)
class Engine:
    """Run jobs in steps that combine decoding with a chunk of prefill.

    Parameters
    ----------
    slowdown : float
        Factor on the time of each step.
    cache_blocks : int
        Capacity of the prefix cache; the least recently used blocks are evicted.
    """

    slowdown: float
    cache_blocks: int
    steps: int = 0
    stepping: bool = False
    step_s: float = 0.0
    seq: int = 0
    queue: deque = field(default_factory=deque)
    low_priority: deque = field(default_factory=deque)
    batch: list = field(default_factory=list)
    prefilled: list = field(default_factory=list)
    cache: OrderedDict = field(default_factory=OrderedDict)
    stored: dict = field(default_factory=dict)
    removed: dict = field(default_factory=dict)
    sequence: itertools.count = field(default_factory=itertools.count)

    def add(self, job: Job) -> None:
        """Queue a job; cached blocks of its prompt need no prefill."""
        hit_blocks = 0
        for prefix in job.prefixes:
            if prefix not in self.cache:
                break
            self.cache.move_to_end(prefix)
            hit_blocks += 1
        job.cached_tokens = hit_blocks * BLOCK_TOKENS
        job.prefill_left = max(1, job.prompt_tokens - job.cached_tokens)
        (self.low_priority if job.low_priority else self.queue).append(job)

    def start_step(self) -> float | None:
        """Start a step and return its duration in seconds, or None when idle."""
        tokens_left, self.prefilled = PREFILL_CHUNK_TOKENS, []
        room = MAX_BATCH_SEQUENCES - len(self.batch)
        for queue in (self.queue, self.low_priority):
            while queue and tokens_left and len(self.prefilled) < room:
                chunk = min(tokens_left, queue[0].prefill_left)
                queue[0].prefill_left -= chunk
                tokens_left -= chunk
                if not queue[0].prefill_left:
                    self.prefilled.append(queue.popleft())
        tokens = PREFILL_CHUNK_TOKENS - tokens_left
        self.stepping = bool(tokens or self.batch)
        if not self.stepping:
            return None
        step_s = STEP_BASE_S + STEP_PER_SEQUENCE_S * len(self.batch)
        step_s = self.slowdown * (step_s + STEP_PER_PREFILL_TOKEN_S * tokens)
        self.step_s += 0.1 * (step_s - self.step_s) if self.step_s else step_s
        return step_s

    def end_step(self, now: float) -> list[Job]:
        """Finish a step and return the completed jobs."""
        self.steps += 1
        done = []
        while self.batch and self.batch[0][0] <= self.steps:
            done.append(heapq.heappop(self.batch)[2])
        for job in self.prefilled:
            job.first_token_at = (
                job.first_token_at if job.first_token_at >= 0.0 else now
            )
            self._store(job.prefixes)
            last = self.steps + job.output_tokens - 1
            heapq.heappush(self.batch, (last, next(self.sequence), job))
        for job in done:
            job.completed_at = now
        return done

    def report(self, now: float) -> Load:
        """Return the current load and the cache changes since the last report."""
        self.seq += 1
        stored, removed = tuple(self.stored), tuple(self.removed)
        self.stored.clear()
        self.removed.clear()
        step_ms = 1000.0 * self.step_s
        running = len(self.batch)
        waiting = len(self.queue) + len(self.low_priority)
        load = (now, running, waiting, step_ms, self.seq, stored, removed)
        return Load(*load)

    def drain(self) -> list[Job]:
        """Return all unfinished jobs and clear all state, as a crash does."""
        lost = [*self.queue, *self.low_priority, *(entry[2] for entry in self.batch)]
        lost += [job for job in self.prefilled if job not in lost]
        self.queue.clear()
        self.low_priority.clear()
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
            evicted, _ = self.cache.popitem(last=False)
            self.removed[evicted] = None
            self.stored.pop(evicted, None)

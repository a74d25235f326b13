"""Measure the cost of loading and changing the configuration at full size.

``python -m bench.config_load``: a process loads its configuration from the table's
rows, or from a snapshot and the later changes. The tables show reads, rows, bytes and
processor time of one start, the platform load when all processes start at once, and
the cost of one change. All runs in one process, with an in-memory table.
"""

import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager

from absl import app, flags

from standins.memory import MemoryObjects, MemoryTable
from toucanspool.backing.table import Check, Row, Write
from toucanspool.config.diff import describe
from toucanspool.config.match import Match
from toucanspool.config.proposal import MAX_CHANGE_RECORDS, Proposal
from toucanspool.config.reader import ConfigReader
from toucanspool.config.records import Change, Record, Selector, Team, Upstream, encode
from toucanspool.config.snapshot import SNAPSHOT_NAME, SnapshotReader
from toucanspool.config.snapshot_keeper import SnapshotKeeper
from toucanspool.config.store import ConfigStore
from toucanspool.config.view import View, key_hash

TEAMS = flags.DEFINE_integer("teams", 4500, "Teams.")
UPSTREAMS = flags.DEFINE_integer("upstreams", 600, "Upstreams.")
MODELS = flags.DEFINE_integer("models", 15, "Models; each has two selectors.")
PROCESSES = flags.DEFINE_integer("processes", 970, "Processes that start at once.")
CHANGES = flags.DEFINE_integer("changes", 200, "Changes after the snapshot.")
SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "Seeds.")

READS_PER_S = 2000


class CountingTable(MemoryTable):
    """Count the rows and bytes that are read and written."""

    def __init__(self) -> None:
        super().__init__()
        self.rows = 0
        self.bytes = 0
        self.written_rows = 0
        self.written_bytes = 0

    def get(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return rows and count them."""
        rows = super().get(keys)
        self._count(rows.values())
        return rows

    def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows and count them."""
        rows = super().scan(prefix, after=after, limit=limit)
        self._count(rows)
        return rows

    def commit(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        """Write rows and count them."""
        self.written_rows += len(writes)
        self.written_bytes += sum(len(w.key) + len(w.value or b"") for w in writes)
        return super().commit(checks, writes)

    def _count(self, rows: Sequence[Row]) -> None:
        self.rows += len(rows)
        self.bytes += sum(len(row.key) + len(row.value) for row in rows)


class FullConfig:
    """Build a configuration of full size in an in-memory platform.

    Parameters
    ----------
    seed : int
        Seed of the random labels.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.table = CountingTable()
        self.objects = MemoryObjects()
        self.store = ConfigStore(self.table, rng=self.rng)
        self.platform_labels = {
            f"runner-{n}": {"model": f"model-{n % MODELS.value}"}
            for n in range(UPSTREAMS.value)
        }
        self.view = View()
        self._populate()
        SnapshotKeeper(self.table, self.objects).write_if_due(self.view)
        for n in range(CHANGES.value):
            self.change((self.random_label(),), f"label-{n}")

    def change(self, puts: Sequence[Record], change_id: str) -> Change:
        """Apply a change to the store and to the local view."""
        proposal = Proposal(change_id, "ana", self.view.revision, tuple(puts))
        change = self.store.apply(
            proposal, view=self.view, platform_labels=self.platform_labels
        ).change
        self.view.apply(change)
        return change

    def random_label(self) -> Upstream:
        """Return an upstream record with random labels."""
        name = f"runner-{self.rng.randrange(UPSTREAMS.value)}"
        state = self.rng.choice(["serve", "drain"])
        return Upstream(name, {"state": state, "pool": self.rng.choice("ab")})

    def _populate(self) -> None:
        records = [*self._selectors(), *map(self._team, range(TEAMS.value))]
        records += [self.random_label() for _ in range(UPSTREAMS.value)]
        records = list({(r.kind, r.name): r for r in records}.values())
        for start in range(0, len(records), MAX_CHANGE_RECORDS):
            batch = records[start : start + MAX_CHANGE_RECORDS]
            self.change(batch, f"fill-{start}")

    def _selectors(self) -> Iterator[Selector]:
        drained = Match({"state": ("drain",)})
        yield Selector("drained", "drain", upstreams=drained)
        for n in range(MODELS.value):
            model = Match({"model": (f"model-{n}",)})
            pool = Match({"model": (f"model-{n}",), "pool": ("a",)})
            large = Match({"model": (f"model-{n}",), "team.size": ("large",)})
            yield Selector(f"model-{n}", "route", work=model, upstreams=model)
            yield Selector(f"large-{n}", "route", 50, work=large, upstreams=pool)

    def _team(self, number: int) -> Team:
        labels = {"size": self.rng.choice(["large", "small"]), "share": "1"}
        return Team(f"team-{number}", labels, (key_hash(f"key-{number}"),))


@contextmanager
def quiet_gc() -> Iterator[None]:
    """Disable the garbage collector during a measurement."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def cpu_ms(function: Callable[[], object], repeat: int = 1) -> float:
    """Return the mean processor time of a call, in milliseconds."""
    with quiet_gc():
        start = time.process_time()
        for _ in range(repeat):
            function()
        return (time.process_time() - start) * 1000 / repeat


class SliceTimer:
    """Measure the longest processor time between two pauses, in milliseconds."""

    def __init__(self) -> None:
        self.longest_ms = 0.0
        self._start = time.process_time()

    def pause(self) -> None:
        """End the current slice and start the next."""
        now = time.process_time()
        self.longest_ms = max(self.longest_ms, (now - self._start) * 1000)
        self._start = now

    def longest_in(self, function: Callable[[], object]) -> float:
        """Return the longest slice during a call, in milliseconds."""
        with quiet_gc():
            self.longest_ms, self._start = 0.0, time.process_time()
            function()
            self.pause()
        return self.longest_ms


def measure_start(
    config: FullConfig, reader: ConfigReader, slice_timer: SliceTimer
) -> list[float]:
    """Return reads, rows, table kB, object kB, time and longest slice of a start."""
    load = reader.load
    from_object = isinstance(reader, SnapshotReader)
    object_bytes = len(config.objects.get(SNAPSHOT_NAME) or b"") if from_object else 0
    table = config.table
    before = (table.reads, table.rows, table.bytes)
    view = load()
    assert view.revision == config.view.revision
    reads, rows, table_bytes = (
        current - previous
        for current, previous in zip(
            (table.reads, table.rows, table.bytes), before, strict=True
        )
    )
    return [
        reads,
        rows,
        table_bytes / 1000,
        object_bytes / 1000,
        cpu_ms(load),
        slice_timer.longest_in(load),
    ]


def measure_change(config: FullConfig) -> dict[str, float]:
    """Return the costs of a change to one label, by name."""
    rows_before, bytes_before, reads_before = (
        config.table.written_rows,
        config.table.written_bytes,
        config.table.reads,
    )
    start = time.process_time()
    change_count = 50
    for n in range(change_count):
        config.change((config.random_label(),), f"one-{n}")
    apply_ms = (time.process_time() - start) * 1000 / change_count
    view = config.view
    label_change = Change(
        view.revision + 1, "c", "ana", 0.0, "", (config.random_label(),)
    )
    selector = next(iter(config._selectors()))
    selector_change = Change(view.revision + 1, "c", "ana", 0.0, "", (selector,))
    change = config.store.change(view.revision)
    return {
        "reads of the table": (config.table.reads - reads_before) / change_count,
        "rows written": (config.table.written_rows - rows_before) / change_count,
        "bytes written": (config.table.written_bytes - bytes_before) / change_count,
        "bytes of the change": len(encode(change)),
        "apply, ms (fake table in memory)": apply_ms,
        "sentence, label, ms": cpu_ms(
            lambda: describe(view, label_change, config.platform_labels), 20
        ),
        "sentence, selector, ms": cpu_ms(
            lambda: describe(view, selector_change, config.platform_labels), 20
        ),
        "put in force, ms": cpu_ms(lambda: view.copy().apply(label_change), 20)
        - cpu_ms(view.copy, 20),
    }


def memory_mb(load: Callable[[], View]) -> float:
    """Return the memory used by one view, in megabytes."""
    tracemalloc.start()
    view = load()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del view
    return size / 1e6


def format_spread(values: Sequence[float]) -> str:
    """Format values as their median and range."""
    median = statistics.median(values)
    return f"{median:,.2f} ({min(values):,.2f} to {max(values):,.2f})"


def main(_: list[str]) -> None:
    """Run all measurements and print them."""
    starts: dict[str, list[list[float]]] = {"rows": [], "snapshot": []}
    changes: list[dict[str, float]] = []
    memory = []
    for seed in SEEDS.value:
        config = FullConfig(int(seed))
        slice_timer = SliceTimer()
        rows = ConfigReader(config.table, pause=slice_timer.pause)
        reader = SnapshotReader(config.table, config.objects, pause=slice_timer.pause)
        starts["rows"].append(measure_start(config, rows, slice_timer))
        starts["snapshot"].append(measure_start(config, reader, slice_timer))
        memory.append(memory_mb(reader.load))
        changes.append(measure_change(config))
    print_starts(starts)
    print("\n| one change of one label | median (range) |\n| --- | --- |")
    for name in changes[0]:
        print(f"| {name} | {format_spread([c[name] for c in changes])} |")
    print(f"| memory of one view, MB | {format_spread(memory)} |")


def print_starts(starts: dict[str, list[list[float]]]) -> None:
    """Print the cost of one start and of all processes starting at once."""
    headers = "reads | rows | table kB | object kB | ms | longest slice, ms"
    print(f"| start from | {headers} | all: reads, s | all: rows, s |")
    print("|" + " --- |" * 9)
    for source, runs in starts.items():
        columns = [format_spread(column) for column in zip(*runs, strict=True)]
        reads, rows = (
            statistics.median(run[n] for run in runs) * PROCESSES.value / READS_PER_S
            for n in (0, 1)
        )
        print(f"| {source} | {' | '.join(columns)} | {reads:,.1f} | {rows:,.1f} |")


if __name__ == "__main__":
    app.run(main)

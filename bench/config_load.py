"""The cost of starting from the configuration and of changing it, at full size.

``python -m bench.config_load``: a process starts from the table's rows, or from a
snapshot and the changes after it. Printed are reads, rows, bytes and processor
time of one start, what all processes together ask of the platform, and the cost of
one change. Platform and product run in one process; the table is a fake in memory.
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


class Bed:
    """Hold a configuration of full size in a fake platform.

    Parameters
    ----------
    seed : int
        Seed of the labels.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.table = CountingTable()
        self.objects = MemoryObjects()
        self.store = ConfigStore(self.table, rng=self.rng)
        self.given = {
            f"runner-{n}": {"model": f"model-{n % MODELS.value}"}
            for n in range(UPSTREAMS.value)
        }
        self.view = View()
        self._fill()
        SnapshotKeeper(self.table, self.objects).write_if_due(self.view)
        for n in range(CHANGES.value):
            self.change((self.label(),), f"label-{n}")

    def change(self, puts: Sequence[Record], change_id: str) -> Change:
        """Apply a change and follow it."""
        proposal = Proposal(change_id, "ana", self.view.revision, tuple(puts))
        change = self.store.apply(
            proposal, view=self.view, platform_labels=self.given
        ).change
        self.view.apply(change)
        return change

    def label(self) -> Upstream:
        """Return a new label of one upstream."""
        name = f"runner-{self.rng.randrange(UPSTREAMS.value)}"
        state = self.rng.choice(["serve", "drain"])
        return Upstream(name, {"state": state, "pool": self.rng.choice("ab")})

    def _fill(self) -> None:
        records = [*self._selectors(), *map(self._team, range(TEAMS.value))]
        records += [self.label() for _ in range(UPSTREAMS.value)]
        records = list({(r.kind, r.name): r for r in records}.values())
        for start in range(0, len(records), MAX_CHANGE_RECORDS):
            part = records[start : start + MAX_CHANGE_RECORDS]
            self.change(part, f"fill-{start}")

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
    """Keep the garbage collector out of a measurement."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def cpu_ms(function: Callable[[], object], repeat: int = 1) -> float:
    """Return the processor time of one call, in milliseconds."""
    with quiet_gc():
        start = time.process_time()
        for _ in range(repeat):
            function()
        return (time.process_time() - start) * 1000 / repeat


class Slices:
    """Note the longest time without a pause, in milliseconds."""

    def __init__(self) -> None:
        self.longest_ms = 0.0
        self._start = time.process_time()

    def pause(self) -> None:
        """End a slice."""
        now = time.process_time()
        self.longest_ms = max(self.longest_ms, (now - self._start) * 1000)
        self._start = now

    def of(self, load: Callable[[], object]) -> float:
        """Return the longest slice of a call."""
        with quiet_gc():
            self.longest_ms, self._start = 0.0, time.process_time()
            load()
            self.pause()
        return self.longest_ms


def measure_start(bed: Bed, reader: ConfigReader, slices: Slices) -> list[float]:
    """Return reads, rows, table and object kilobytes, time and longest slice."""
    load = reader.load
    from_object = isinstance(reader, SnapshotReader)
    object_bytes = len(bed.objects.get(SNAPSHOT_NAME) or b"") if from_object else 0
    table = bed.table
    before = (table.reads, table.rows, table.bytes)
    view = load()
    assert view.revision == bed.view.revision
    reads, rows, size = (
        now - then
        for now, then in zip(
            (table.reads, table.rows, table.bytes), before, strict=True
        )
    )
    return [
        reads,
        rows,
        size / 1000,
        object_bytes / 1000,
        cpu_ms(load),
        slices.of(load),
    ]


def measure_change(bed: Bed) -> dict[str, float]:
    """Return the costs of one change of one label."""
    rows, size, reads = bed.table.written_rows, bed.table.written_bytes, bed.table.reads
    start = time.process_time()
    number = 50
    for n in range(number):
        bed.change((bed.label(),), f"one-{n}")
    apply_ms = (time.process_time() - start) * 1000 / number
    view = bed.view
    label = Change(view.revision + 1, "c", "ana", 0.0, "", (bed.label(),))
    rule = next(iter(bed._selectors()))
    selector = Change(view.revision + 1, "c", "ana", 0.0, "", (rule,))
    one = bed.store.change(view.revision)
    return {
        "reads of the table": (bed.table.reads - reads) / number,
        "rows written": (bed.table.written_rows - rows) / number,
        "bytes written": (bed.table.written_bytes - size) / number,
        "bytes of the change": len(encode(one)),
        "apply, ms (fake table in memory)": apply_ms,
        "sentence, label, ms": cpu_ms(lambda: describe(view, label, bed.given), 20),
        "sentence, selector, ms": cpu_ms(
            lambda: describe(view, selector, bed.given), 20
        ),
        "put in force, ms": cpu_ms(lambda: view.copy().apply(label), 20)
        - cpu_ms(view.copy, 20),
    }


def memory_mb(load: Callable[[], View]) -> float:
    """Return the memory that one view takes, in megabytes."""
    tracemalloc.start()
    view = load()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del view
    return size / 1e6


def spread(values: Sequence[float]) -> str:
    """Return the median and the range of figures over the seeds."""
    middle = statistics.median(values)
    return f"{middle:,.2f} ({min(values):,.2f} to {max(values):,.2f})"


def main(_: list[str]) -> None:
    """Run all measurements and print them."""
    starts: dict[str, list[list[float]]] = {"rows": [], "snapshot": []}
    changes: list[dict[str, float]] = []
    memory = []
    for seed in SEEDS.value:
        bed = Bed(int(seed))
        slices = Slices()
        rows = ConfigReader(bed.table, pause=slices.pause)
        reader = SnapshotReader(bed.table, bed.objects, pause=slices.pause)
        starts["rows"].append(measure_start(bed, rows, slices))
        starts["snapshot"].append(measure_start(bed, reader, slices))
        memory.append(memory_mb(reader.load))
        changes.append(measure_change(bed))
    print_starts(starts)
    print("\n| one change of one label | median (range) |\n| --- | --- |")
    for name in changes[0]:
        print(f"| {name} | {spread([c[name] for c in changes])} |")
    print(f"| memory of one view, MB | {spread(memory)} |")


def print_starts(starts: dict[str, list[list[float]]]) -> None:
    """Print what one start costs, and all at once."""
    heads = "reads | rows | table kB | object kB | ms | longest slice, ms"
    print(f"| start from | {heads} | all: reads, s | all: rows, s |")
    print("|" + " --- |" * 9)
    for way, runs in starts.items():
        columns = [spread(column) for column in zip(*runs, strict=True)]
        reads, rows = (
            statistics.median(run[n] for run in runs) * PROCESSES.value / READS_PER_S
            for n in (0, 1)
        )
        print(f"| {way} | {' | '.join(columns)} | {reads:,.1f} | {rows:,.1f} |")


if __name__ == "__main__":
    app.run(main)

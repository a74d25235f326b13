"""Slopes of the keepers of claims and snapshots, and table calls of repeated acts."""

import random
from collections.abc import Callable

import gevent

from bench.capacity_fit import Slope, cpu_ms, measure
from bench.capacity_parts import view
from standins.memory import MemoryObjects, MemoryTable
from toucanspool.backing.table import Write
from toucanspool.config.reader import ConfigReader
from toucanspool.config.records import decode_record, encode
from toucanspool.config.snapshot import encode_view
from toucanspool.protected.claims import Claims
from toucanspool.protected.cleaner import ClaimCleaner
from toucanspool.protected.committer import Committer
from toucanspool.protected.row import BufferedResponse, ClaimRow, encode_row, row_key
from toucanspool.recovery.lease import Lease
from toucanspool.wire import codec
from toucanspool.wire.gen.messages.ttypes import Changes, Frame

TEAMS = (1000, 2000, 4500)
PAGES = (125, 250, 500)
LINGER_S = 0.3
DEADLINE_S = 60.0


def slopes() -> list[Slope]:
    """Return all slopes of the keepers."""
    return [
        measure("snapshot encoded", "ms", "team", TEAMS, _snapshot_ms, 3),
        measure("snapshot, bytes", "B", "team", TEAMS, _snapshot_bytes, 1),
        measure("whole configuration as a frame, bytes", "B", "team", TEAMS, _bytes, 1),
        measure("whole configuration, answered", "ms", "team", TEAMS, _answer_ms, 3),
        measure("whole configuration, taken", "ms", "team", TEAMS, _take_ms, 3),
        measure("a page of claims looked at", "ms", "claim", PAGES, _janitor_ms, 3),
    ]


def table_counts() -> dict[str, tuple[int, int]]:
    """Return reads and commits of the table for each repeated act."""
    counts = {}
    table = MemoryTable()
    held = Lease(table, "duty", "one", now=lambda: 0.0)
    other = Lease(table, "duty", "two", now=lambda: 0.0)
    held.step()
    other.step()
    reader = ConfigReader(table)
    counts["lease, holder's renewal"] = _counted(table, held.step)
    counts["lease, another's look"] = _counted(table, other.step)
    counts["poll of changes"] = _counted(table, lambda: reader.changes_after(0, 64))
    counts["protected call alone"] = _counted(table, lambda: _protected(table))
    counts["page of claims"] = _counted(table, lambda: _janitor(table).step({"one"}))
    return counts


def _counted(table: MemoryTable, func: Callable[[], object]) -> tuple[int, int]:
    before = table.reads, table.commits
    func()
    return table.reads - before[0], table.commits - before[1]


def _protected(table: MemoryTable) -> None:
    committer = Committer(table, rng=random.Random(1))
    committer.start()
    claims = Claims(committer, table, MemoryObjects(), "one")
    hub = gevent.get_hub().loop
    deadline = hub.now() + DEADLINE_S
    started = claims.begin("team", "key", "a-1", "hash", deadline=deadline)
    claims.finish(started.claim, BufferedResponse(200, {}, b"done"))
    gevent.sleep(LINGER_S)
    committer.close()


def _janitor(table: MemoryTable) -> ClaimCleaner:
    return ClaimCleaner(table, MemoryObjects(), now=lambda: 0.0)


def _janitor_ms(count: float, seed: int) -> float:
    table = MemoryTable()
    row = ClaimRow("started", "c" * 32, "a-1", "h" * 32, "agent-1")
    writes = [Write(row_key("team", f"k{n}"), encode_row(row)) for n in range(500)]
    table.commit([], writes[: int(count)])
    janitor = _janitor(table)
    return cpu_ms(lambda: janitor.step({"agent-1"}), 10)


def _snapshot_ms(teams: float, seed: int) -> float:
    held = view(int(teams))
    return cpu_ms(lambda: encode_view(held, pause=lambda: None), 2)


def _snapshot_bytes(teams: float, seed: int) -> float:
    return float(len(encode_view(view(int(teams)), pause=lambda: None)))


def _whole(teams: float) -> bytes:
    held = view(int(teams))
    records = [encode(item) for item in held.all_records()]
    return codec.encode(Frame(changes=Changes(0, 1, records, True)))


def _bytes(teams: float, seed: int) -> float:
    return float(len(_whole(teams)))


def _answer_ms(teams: float, seed: int) -> float:
    held = view(int(teams))
    return cpu_ms(lambda: [encode(item) for item in held.all_records()], 3)


def _take_ms(teams: float, seed: int) -> float:
    data = _whole(teams)

    def take() -> None:
        records = codec.decode(data).changes.records
        for record in records:
            decode_record(record)

    return cpu_ms(take, 2)

"""Measure claim cleanup and snapshots, and count the table calls of operations."""

import random
from collections.abc import Callable

import gevent

from bench.capacity_fit import Slope, cpu_ms, measure
from bench.capacity_parts import make_view
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

TEAM_COUNTS = (1000, 2000, 4500)
CLAIM_PAGE_SIZES = (125, 250, 500)
SETTLE_S = 0.3
DEADLINE_S = 60.0


def slopes() -> list[Slope]:
    """Measure the cost of snapshots, full configuration answers and claim cleanup."""
    return [
        measure("snapshot encoded", "ms", "team", TEAM_COUNTS, _snapshot_ms, 3),
        measure("snapshot, bytes", "B", "team", TEAM_COUNTS, _snapshot_bytes, 1),
        measure(
            "whole configuration as a frame, bytes",
            "B",
            "team",
            TEAM_COUNTS,
            _frame_bytes,
            1,
        ),
        measure(
            "whole configuration, answered",
            "ms",
            "team",
            TEAM_COUNTS,
            _encode_records_ms,
            3,
        ),
        measure(
            "whole configuration, taken",
            "ms",
            "team",
            TEAM_COUNTS,
            _decode_records_ms,
            3,
        ),
        measure(
            "a page of claims looked at",
            "ms",
            "claim",
            CLAIM_PAGE_SIZES,
            _cleanup_ms,
            3,
        ),
    ]


def table_counts() -> dict[str, tuple[int, int]]:
    """Return the table reads and commits of each recurring operation."""
    counts = {}
    table = MemoryTable()
    holder = Lease(table, "duty", "one", now=lambda: 0.0)
    candidate = Lease(table, "duty", "two", now=lambda: 0.0)
    holder.step()
    candidate.step()
    reader = ConfigReader(table)
    counts["lease, holder's renewal"] = _count_calls(table, holder.step)
    counts["lease, another's look"] = _count_calls(table, candidate.step)
    counts["poll of changes"] = _count_calls(table, lambda: reader.changes_after(0, 64))
    counts["protected call alone"] = _count_calls(table, lambda: _call_protected(table))
    counts["page of claims"] = _count_calls(
        table, lambda: _make_cleaner(table).step({"one"})
    )
    return counts


def _count_calls(table: MemoryTable, func: Callable[[], object]) -> tuple[int, int]:
    before = table.reads, table.commits
    func()
    return table.reads - before[0], table.commits - before[1]


def _call_protected(table: MemoryTable) -> None:
    committer = Committer(table, rng=random.Random(1))
    committer.start()
    claims = Claims(committer, table, MemoryObjects(), "one")
    loop = gevent.get_hub().loop
    deadline = loop.now() + DEADLINE_S
    started = claims.begin("team", "key", "a-1", "hash", deadline=deadline)
    claims.finish(started.claim, BufferedResponse(200, {}, b"done"))
    gevent.sleep(SETTLE_S)
    committer.close()


def _make_cleaner(table: MemoryTable) -> ClaimCleaner:
    return ClaimCleaner(table, MemoryObjects(), now=lambda: 0.0)


def _cleanup_ms(count: float, seed: int) -> float:
    table = MemoryTable()
    row = ClaimRow("started", "c" * 32, "a-1", "h" * 32, "agent-1")
    writes = [Write(row_key("team", f"k{n}"), encode_row(row)) for n in range(500)]
    table.commit([], writes[: int(count)])
    cleaner = _make_cleaner(table)
    return cpu_ms(lambda: cleaner.step({"agent-1"}), 10)


def _snapshot_ms(teams: float, seed: int) -> float:
    view = make_view(int(teams))
    return cpu_ms(lambda: encode_view(view, pause=lambda: None), 2)


def _snapshot_bytes(teams: float, seed: int) -> float:
    return float(len(encode_view(make_view(int(teams)), pause=lambda: None)))


def _full_frame(teams: float) -> bytes:
    view = make_view(int(teams))
    records = [encode(item) for item in view.all_records()]
    return codec.encode(Frame(changes=Changes(0, 1, records, True)))


def _frame_bytes(teams: float, seed: int) -> float:
    return float(len(_full_frame(teams)))


def _encode_records_ms(teams: float, seed: int) -> float:
    view = make_view(int(teams))
    return cpu_ms(lambda: [encode(item) for item in view.all_records()], 3)


def _decode_records_ms(teams: float, seed: int) -> float:
    data = _full_frame(teams)

    def decode_records() -> None:
        records = codec.decode(data).changes.records
        for record in records:
            decode_record(record)

    return cpu_ms(decode_records, 2)

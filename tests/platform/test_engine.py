"""The engines' pages, against scripted answers."""

from collections.abc import Iterator
from contextlib import contextmanager

import numpy as np
import orjson
import pytest

from standins.raw_upstream import RawUpstream
from toucanspool.groups.expert_map import EMPTY
from toucanspool.groups.rank_engine import (
    UNSET,
    OrderLost,
    OrderRefused,
    RankEngineError,
)
from toucanspool.platform.engine import PlatformEngine

REPORT = {
    "group": {"name": "g0", "epoch": 2, "rank": 3, "state": "open"},
    "size": 12,
    "step": 51,
    "map": 4,
    "prepared": None,
    "armed": None,
    "held": 53,
    "active": 5,
    "queued": 1,
    "pace": 3.9,
    "born": 17,
}
PICKED = {"step": 51, "epoch": 2, "counts": [1, 2, 3, 4]}
LISTS = {"epoch": 2, "map": {"version": 4, "experts": [[0], [1]]}, "prepared": None}


@contextmanager
def engine(
    *, status: str = "200 OK", report: object = REPORT, cut: bool = False
) -> Iterator[tuple[PlatformEngine, RawUpstream]]:
    def script(sock, seen):
        line = seen.head.split("\r\n")[0]
        answer = report
        if "/picked?" in line:
            answer = LISTS
        elif "/picked" in line:
            answer = PICKED
        body = orjson.dumps(answer) if line.startswith("GET") else b""
        if cut:
            return
        sock.sendall(
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
            f"Toucanspool-Instance-Id: i-7\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    with RawUpstream(script) as behind:
        yield PlatformEngine("127.0.0.1", behind.port), behind


def test_the_state():
    with engine() as (one, _):
        state = one.state()
    assert (state.group, state.epoch, state.rank, state.size) == ("g0", 2, 3, 12)
    assert (state.prepared, state.armed, state.held) == (UNSET, UNSET, 53)
    assert (state.pace, state.running, state.open) == (3.9, 5, True)


def test_counts_by_set():
    with engine() as (one, _):
        picks = one.expert_counts()
    assert np.array_equal(picks.counts, [[1, 2], [3, 4]])


def test_the_name_comes_with_the_health_page_also_when_it_is_not_well():
    with engine(status="503 Draining") as (one, _):
        assert one.name("/healthz") == "i-7"


def test_a_map_goes_out_by_set_and_rank_without_empty_places():
    experts = np.array([[[0, EMPTY], [1, 2]]])
    with engine(status="202 Accepted") as (one, behind):
        one.prepare(5, experts, 2)
        sent = orjson.loads(behind.seen[0].body)
    assert sent == {
        "operation": "prepare",
        "epoch": 2,
        "version": 5,
        "map": [[[0], [1, 2]]],
    }


@pytest.mark.parametrize(
    ("name", "args", "fields"),
    [
        ("hold", (60,), {"step": 60}),
        ("go", (60,), {"step": 60}),
    ],
)
def test_orders(name, args, fields):
    with engine() as (one, behind):
        getattr(one, name)(*args, 2)
        sent = orjson.loads(behind.seen[0].body)
    assert sent == {"operation": name, "epoch": 2, **fields}


def test_an_order_to_arm_holds_only_until_the_next_map_is_prepared():
    with engine() as (one, behind):
        one.arm(5, 60, 2, sequence=7)
        sent = orjson.loads(behind.seen[0].body)
    assert sent == {
        "operation": "arm",
        "epoch": 2,
        "version": 5,
        "step": 60,
        "expectedRevision": 7,
    }


def test_an_order_to_disarm_holds_only_until_the_next_map_is_prepared():
    with engine() as (one, behind):
        one.disarm(5, 2, sequence=7)
        sent = orjson.loads(behind.seen[0].body)
    assert sent == {
        "operation": "disarm",
        "epoch": 2,
        "version": 5,
        "expectedRevision": 7,
    }


def test_an_order_that_does_not_fit_is_refused():
    with engine(status="409 Conflict") as (one, _), pytest.raises(OrderRefused):
        one.hold(60, 2)


def test_an_order_without_an_answer_is_lost():
    with engine(cut=True) as (one, _), pytest.raises(OrderLost):
        one.hold(60, 2)


def test_a_closed_engine_took_no_order():
    with pytest.raises(OrderRefused):
        PlatformEngine("127.0.0.1", 1).hold(60, 2)


@pytest.mark.parametrize(
    "report", [{}, {**REPORT, "group": None}, [], {**REPORT, "step": "x"}]
)
def test_a_state_that_can_not_be_read_is_told(report):
    with engine(report=report) as (one, _), pytest.raises(RankEngineError):
        one.state()

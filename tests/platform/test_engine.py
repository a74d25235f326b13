"""The client of the platform's engines, against scripted responses."""

from collections.abc import Iterator
from contextlib import contextmanager

import gevent
import numpy as np
import orjson
import pytest
from gevent.server import StreamServer

from standins.raw_upstream import RawUpstream
from toucanspool.groups.expert_map import EMPTY
from toucanspool.groups.rank_engine import (
    UNSET,
    OrderLost,
    OrderRefused,
    RankEngineError,
)
from toucanspool.platform import engine
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
def serve_engine(
    *, status: str = "200 OK", report: object = REPORT, no_response: bool = False
) -> Iterator[tuple[PlatformEngine, RawUpstream]]:
    def script(sock, request):
        line = request.head.split("\r\n")[0]
        response = report
        if "/picked?" in line:
            response = LISTS
        elif "/picked" in line:
            response = PICKED
        body = orjson.dumps(response) if line.startswith("GET") else b""
        if no_response:
            return
        sock.sendall(
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
            f"Toucanspool-Instance-Id: i-7\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    with RawUpstream(script) as upstream:
        yield PlatformEngine("127.0.0.1", upstream.port), upstream


def test_state():
    with serve_engine() as (client, _):
        state = client.state()
    assert (state.group, state.epoch, state.rank, state.size) == ("g0", 2, 3, 12)
    assert (state.prepared, state.armed, state.held) == (UNSET, UNSET, 53)
    assert (state.pace, state.running, state.open) == (3.9, 5, True)


def test_counts_by_set():
    with serve_engine() as (client, _):
        expert_counts = client.expert_counts()
    assert np.array_equal(expert_counts.counts, [[1, 2], [3, 4]])


def test_an_unhealthy_engine_still_gives_its_name():
    with serve_engine(status="503 Draining") as (client, _):
        assert client.name("/healthz") == "i-7"


def test_a_map_is_sent_by_set_and_rank_without_empty_places():
    experts = np.array([[[0, EMPTY], [1, 2]]])
    with serve_engine(status="202 Accepted") as (client, upstream):
        client.prepare(5, experts, 2)
        sent = orjson.loads(upstream.seen[0].body)
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
    with serve_engine() as (client, upstream):
        getattr(client, name)(*args, 2)
        sent = orjson.loads(upstream.seen[0].body)
    assert sent == {"operation": name, "epoch": 2, **fields}


def test_arm_sends_the_sequence_of_the_prepared_map():
    with serve_engine() as (client, upstream):
        client.arm(5, 60, 2, sequence=7)
        sent = orjson.loads(upstream.seen[0].body)
    assert sent == {
        "operation": "arm",
        "epoch": 2,
        "version": 5,
        "step": 60,
        "expectedRevision": 7,
    }


def test_disarm_sends_the_sequence_of_the_prepared_map():
    with serve_engine() as (client, upstream):
        client.disarm(5, 2, sequence=7)
        sent = orjson.loads(upstream.seen[0].body)
    assert sent == {
        "operation": "disarm",
        "epoch": 2,
        "version": 5,
        "expectedRevision": 7,
    }


def test_a_conflicting_order_is_refused():
    with (
        serve_engine(status="409 Conflict") as (client, _),
        pytest.raises(OrderRefused),
    ):
        client.hold(60, 2)


def test_an_order_without_a_response_is_lost():
    with serve_engine(no_response=True) as (client, _), pytest.raises(OrderLost):
        client.hold(60, 2)


def test_an_order_to_a_closed_port_is_refused():
    with pytest.raises(OrderRefused):
        PlatformEngine("127.0.0.1", 1).hold(60, 2)


@pytest.mark.parametrize(
    "report", [{}, {**REPORT, "group": None}, [], {**REPORT, "step": "x"}]
)
def test_an_invalid_state_is_an_error(report):
    with serve_engine(report=report) as (client, _), pytest.raises(RankEngineError):
        client.state()


def test_a_late_copy_of_a_reply_accepts_no_order():
    """Guards against an order that counts as accepted though it was refused."""
    head = (
        b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
    )
    report = orjson.dumps(REPORT)
    copy = head % (b"200 OK", len(report)) + report

    def serve(sock, address):
        sent = b""
        while data := sock.recv(65536):
            sock.sendall(copy if data.startswith(b"GET") else sent)
            gevent.sleep(0.02)
            if data.startswith(b"POST"):
                sock.sendall(head % (b"409 Conflict", 0))
            sent = copy

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client = PlatformEngine("127.0.0.1", server.server_port)
    client.state()
    try:
        with pytest.raises(OrderRefused):
            client.hold(60, 2)
    finally:
        client.close()
        server.stop(timeout=0)


def test_an_order_that_holds_up_the_group_is_given_up_sooner(monkeypatch):
    """Guards against a group that stands still for the whole time of a read."""
    monkeypatch.setattr(engine, "TIMEOUT_S", 10.0)
    monkeypatch.setattr(engine, "SWITCH_TIMEOUT_S", 0.05)

    def serve(sock, address):
        sock.recv(65536)
        gevent.sleep(0.5)
        sock.sendall(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client = PlatformEngine("127.0.0.1", server.server_port)
    try:
        client.prepare(4, np.array([[[0, 1]]]), 2)
        with pytest.raises(OrderLost):
            client.hold(60, 2)
    finally:
        client.close()
        server.stop(timeout=0)

"""What an entry holds for slow connections is bounded and counted."""

import contextlib
import itertools

import gevent
import pytest

from standins.raw_upstream import answering, event, streaming
from tests.gateway.gateways import RESET, Gateway, gateway, request, route
from toucanspool.limits import memory_budget
from toucanspool.limits.memory_budget import (
    FREE_REPLY_BYTES,
    MemoryBudget,
    MemoryExceeded,
    join_bounded,
)
from toucanspool.routing.routes import CallKind

MB = 1 << 20
AT_MOST_ONCE = [route(CallKind.AT_MOST_ONCE, max_attempts=1)]
STREAM = [route(CallKind.STREAM, max_attempts=1, timeout_s=20.0)]


def wait_until_released(gw: Gateway) -> None:
    with gevent.Timeout(2.0):
        while gw.server.memory.held_bytes:
            gevent.sleep(0.01)


def test_parts_share_the_bound_and_keep_their_size_if_they_can_not_grow():
    budget = MemoryBudget(100)
    first, second = budget.part(), budget.part()
    first.resize(60)
    with pytest.raises(MemoryExceeded):
        second.resize(41)
    second.resize(40)
    first.close()
    first.close()
    assert budget.held_bytes == 40


def test_requests_leave_room_for_the_replies_to_admitted_calls():
    budget = MemoryBudget(100)
    limit = int(100 * memory_budget.ADMITTED_SHARE)
    assert budget.admits(limit)
    assert not budget.admits(limit + 1)


def test_without_a_bound_everything_is_admitted_and_counted():
    budget = MemoryBudget()
    budget.part().resize(1 << 40)
    assert budget.admits(1 << 40)
    assert budget.held_bytes == 1 << 40


def test_a_request_without_a_body_needs_no_memory():
    memory = MemoryBudget(MB)
    memory.part().resize(MB)
    with gateway(answering(b""), memory=memory) as gw:
        assert gw.call("GET")[0] == 200


def test_a_body_beyond_the_bound_is_refused_before_it_is_read():
    """Guards against reading large bodies into memory that is not there."""
    with gateway(answering(), routes=AT_MOST_ONCE, memory=MemoryBudget(MB)) as gw:
        sock = gw.connect()
        ask = request("POST", body=b"x" * MB)
        sock.sendall(ask[: len(ask) - MB])
        data = b""
        with gevent.Timeout(1.0):
            while b'"not_run"' not in data:
                data += sock.recv(4096)
        assert data.startswith(b"HTTP/1.1 503")
        assert b"Retry-After: 1.000" in data
        assert not gw.upstreams[0].seen
        assert gw.call("POST", body=b"x" * 1000)[0] == 200
        wait_until_released(gw)


def test_bodies_of_unknown_length_are_refused_at_the_bound():
    """Guards against chunked bodies, whose size is not announced."""
    with gateway(answering(), routes=AT_MOST_ONCE, memory=MemoryBudget(MB)) as gw:
        ask = request("POST", headers="Transfer-Encoding: chunked")
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        status, _, body = gw.exchange(ask + chunk * 32 + b"0\r\n\r\n")
        assert status == 503
        assert b'"not_run"' in body
        wait_until_released(gw)


def test_slow_bodies_leave_no_room_for_others_until_they_end():
    """Guards against many callers that each send a large body slowly."""
    with gateway(answering(), routes=AT_MOST_ONCE, memory=MemoryBudget(MB)) as gw:
        slow = [gw.connect() for _ in range(7)]
        ask = request("POST", body=b"x" * 100_000)
        for sock in slow:
            sock.sendall(ask[:-1])
        gevent.sleep(0.2)
        assert 7 * 65_536 <= gw.server.memory.held_bytes <= 7 * 100_000
        assert gw.call("POST", body=b"x" * 400_000)[0] == 503
        for sock in slow:
            sock.sendall(ask[-1:])
            assert sock.recv(100).startswith(b"HTTP/1.1 200")
        wait_until_released(gw)


def test_a_reply_beyond_the_bound_may_have_run():
    """Guards against a call that is told not to have run for lack of memory."""
    large = answering(b"x" * 2 * MB)
    with gateway(large, routes=AT_MOST_ONCE, memory=MemoryBudget(MB)) as gw:
        status, _, body = gw.call("POST", body=b"book")
        assert status == 504
        assert b'"unknown"' in body
        assert gw.core.ejector.ejected == set()
        wait_until_released(gw)


def test_a_stream_beyond_the_bound_does_not_look_complete():
    events = [event(1), b"data: " + b"x" * (MB * 3 // 4) + b"\n\n"]
    with gateway(streaming(events), routes=STREAM, memory=MemoryBudget(MB // 2)) as gw:
        _, _, body = gw.call("POST", body=b"ask")
        assert event(1) in body
        assert not body.endswith(b"0\r\n\r\n")
        wait_until_released(gw)


def test_a_caller_that_does_not_read_is_disconnected_and_delays_nobody():
    """Guards against replies that are held for as long as a connection may be idle."""
    stalled = []
    options = {
        "memory": MemoryBudget(64 * MB),
        "caller_stall_s": 0.3,
        "on_slow_reader": lambda: stalled.append(None),
    }
    large = answering(b"x" * 7 * MB)
    with gateway(large, routes=AT_MOST_ONCE, **options) as gw:
        slow = [gw.send("POST", body=b"book") for _ in range(3)]
        gevent.sleep(0.2)
        assert gw.server.memory.held_bytes >= 3 * 7 * MB
        with gevent.Timeout(2.0):
            assert len(gw.call("POST", body=b"book")[2]) == 7 * MB
        wait_until_released(gw)
        assert len(stalled) == 3
        for sock in slow:
            with pytest.raises(ConnectionResetError):
                while sock.recv(65536):
                    pass


def test_a_stream_whose_caller_does_not_read_ends_at_its_upstream():
    """Guards against upstreams that cut off streams which are not read."""
    events = [b"data: " + b"x" * 60_000 + b"\n\n"] * 400
    with gateway(streaming(events), routes=STREAM, caller_stall_s=0.3) as gw:
        sock = gw.send("POST", body=b"ask")
        gevent.sleep(1.5)
        assert gw.upstreams[0].closed_early == 1
        assert gw.core.dispatcher.running == 0
        sock.close()
        wait_until_released(gw)


def test_a_caller_that_reads_slowly_but_steadily_gets_everything():
    """Guards against disconnecting callers with a slow link."""
    body = b"x" * 2 * MB
    with gateway(answering(body), routes=AT_MOST_ONCE, caller_stall_s=0.3) as gw:
        sock = gw.send("POST", body=b"book")
        received = 0
        while block := sock.recv(32 * 1024):
            received += len(block)
            gevent.sleep(0.01)
        assert received > len(body)


def test_a_caller_that_reads_a_little_now_and_then_is_disconnected(monkeypatch):
    """Guards against callers that read just enough to hold a reply for ever."""
    monkeypatch.setattr("toucanspool.wire.slow_reader.MIN_BYTES_PER_S", 8 * MB)
    body = b"x" * 7 * MB
    with gateway(answering(body), routes=AT_MOST_ONCE, caller_stall_s=0.3) as gw:
        sock = gw.send("POST", body=b"book")
        with pytest.raises(ConnectionResetError), gevent.Timeout(5.0):
            while sock.recv(16 * 1024):
                gevent.sleep(0.05)
        wait_until_released(gw)


def test_a_slow_reader_without_the_settings_is_served_as_before():
    with gateway(answering(b"x" * 7 * MB), routes=AT_MOST_ONCE) as gw:
        sock = gw.send("POST", body=b"book")
        gevent.sleep(0.8)
        data = b""
        while block := sock.recv(1 << 20):
            data += block
        assert len(data) > 7 * MB
        assert RESET not in data


def test_unfinished_replies_leave_room_for_the_calls_of_others():
    """Guards against upstreams without end that fill what all calls share."""
    memory = MemoryBudget(8 * MB)
    head = b"HTTP/1.1 200 OK\r\nToucanspool-Attempt-Id: a1\r\n"
    head += b"Toucanspool-Server-Signature: s.1\r\n"
    head += b"Content-Length: 3000000\r\n\r\n"

    def stall(sock, seen):
        sock.sendall(head + b"x" * 2_900_000)
        gevent.sleep(5.0)

    def answer(sock, seen):
        large = b"large" in seen.body
        (stall if large else answering(b"small"))(sock, seen)

    with gateway(answer, routes=AT_MOST_ONCE, memory=memory) as gw:
        waiting = [gw.send("POST", body=b"large") for _ in range(6)]
        with gevent.Timeout(2.0):
            while memory.held_bytes < 2 * MB:
                gevent.sleep(0.01)
        gevent.sleep(0.2)
        assert memory.held_bytes <= 5 * MB
        for _ in range(5):
            assert gw.call("POST", body=b"x" * 100_000)[2] == b"small"
        for sock in waiting:
            sock.close()


def test_the_first_bytes_of_a_reply_are_held_whatever_others_hold():
    budget = MemoryBudget(MB)
    budget.part(unfinished=True).resize(MB // 2 + FREE_REPLY_BYTES)
    budget.part(unfinished=True).resize(FREE_REPLY_BYTES)
    with pytest.raises(MemoryExceeded):
        budget.part(unfinished=True).resize(FREE_REPLY_BYTES + 1)
    budget.part().resize(MB // 4)


def test_bodies_that_arrive_at_once_are_bounded_together():
    budget = MemoryBudget(2 * MB)
    joined = []

    def join() -> None:
        pieces = (b"x" * 100_000 for _ in range(9) if not gevent.sleep(0.005))
        with contextlib.suppress(MemoryExceeded):
            joined.append(join_bounded(pieces, MB, budget))

    gevent.joinall([gevent.spawn(join) for _ in range(8)], raise_error=True)
    assert 1 <= len(joined) < 8
    assert {len(body) for body in joined} == {900_000}
    assert budget.held_bytes == budget.unfinished_bytes == 0


def test_a_body_beyond_its_limit_is_not_read_to_its_end():
    pieces = itertools.repeat(b"x" * 1000)
    with pytest.raises(MemoryExceeded):
        join_bounded(pieces, 10_000, MemoryBudget())

"""A gateway that stops answers every request that it has accepted."""

import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
import orjson
import pytest
from gevent import socket

from standins.raw_upstream import answering, event, reply, streaming
from standins.row_store import RowStore
from tests.gateway.gateways import request
from tests.processes.test_gateway import GatewayProcess, gateway

LARGE = b"x" * (6 * 1024 * 1024)
GRACE_S = 4.0
# Takes 2.2 s.
STREAM = streaming([event(number) for number in range(1, 23)], gap_s=0.1)
WHOLE_STREAM_END = b"data: piece 22\n\n\r\n0\r\n\r\n"
ASK = request("POST", path="/p/x", body=b"ask")
BOOK = request("POST", path="/book/x", body=b"seat")


@contextmanager
def gateway_with_old_callers(folder, *scripts) -> Iterator[GatewayProcess]:
    """Run a gateway whose address callers keep for 3 s."""
    with RowStore() as store:
        process = GatewayProcess(store, folder, *scripts)
        # Retries are allowed from 0.5 s after the start on.
        retries = {"extra": 9.0, "window_s": 0.5}
        process.write_settings(address_ttl_s=1.0, retries=retries)
        process.start()
        try:
            yield process
        finally:
            process.close()


def send_after(seconds: float, one, data: bytes) -> tuple[int, bytes]:
    """Return status and body; status 0 if the connection is lost."""
    gevent.sleep(seconds)
    try:
        return one.send(data)
    except (OSError, IndexError, ValueError):
        return 0, b""


def by_path(sock, seen) -> None:
    """Answer a booking at once, and others with a stream."""
    script = answering() if "/book/" in seen.head.split("\r\n")[0] else STREAM
    script(sock, seen)


def connect(one) -> socket.socket:
    return socket.create_connection(("127.0.0.1", one.callers), timeout=5.0)


def read_all(sock) -> tuple[int, bytes, bytes]:
    """Return status, head and body of a reply that ends with its connection."""
    data = b""
    while block := sock.recv(65536):
        data += block
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]) if head else 0, head, body


def test_kept_connections_are_told_to_close_from_the_signal_on(tmp_path):
    """Guards against callers that keep a connection until it is cut off."""
    with gateway(tmp_path, answering()) as one:
        sock = connect(one)
        ask = request("POST", path="/book/x", body=b"seat")
        kept = ask.replace(b"Connection: close\r\n", b"")
        sock.sendall(kept)
        assert b"Connection: close" not in sock.recv(65536)
        one.process.send_signal(signal.SIGTERM)
        gevent.sleep(0.2)
        sock.sendall(kept)
        status, head, body = read_all(sock)
        assert (status, body) == (200, b"answer")
        assert b"Connection: close" in head


@pytest.mark.parametrize("path", ["/book/x", "/p/x"])
def test_a_request_that_is_half_read_is_answered(tmp_path, path):
    """Guards against closing the connection of a request whose body still arrives."""
    with gateway(tmp_path, answering()) as one:
        slow, stuck = connect(one), connect(one)
        ask = request("POST", path=path, body=b"seat")
        slow.sendall(ask[:-2])
        stuck.sendall(ask[:-2])
        gevent.sleep(0.1)
        one.process.send_signal(signal.SIGTERM)
        started = time.monotonic()
        gevent.sleep(1.5)
        slow.sendall(ask[-2:])
        status, head, body = read_all(slow)
        assert (status, orjson.loads(body)["outcome"]) == (503, "not_run")
        assert b"Connection: close" in head
        # Its body never comes, so it is refused as the grace period ends.
        assert read_all(stuck)[0] == 503
        assert one.process.wait(timeout=5) == 0
        assert time.monotonic() - started < GRACE_S


def test_a_reply_to_a_slow_reader_is_not_cut_off(tmp_path):
    """Guards against stopping while the end of a reply is still being written."""
    with gateway(tmp_path, answering(LARGE)) as one:
        sock = connect(one)
        sock.sendall(request("POST", path="/book/x", body=b"seat"))
        gevent.sleep(0.5)
        one.process.send_signal(signal.SIGTERM)
        gevent.sleep(1.5)
        status, _, body = read_all(sock)
        assert (status, len(body)) == (200, len(LARGE))
        assert one.process.wait(timeout=5) == 0


def test_callers_with_an_old_address_are_refused_and_not_cut_off(tmp_path):
    """Guards against closing the port while callers may still use the address."""
    with gateway(tmp_path, answering()) as one:
        one.write_settings(address_ttl_s=1.0)
        one.process.send_signal(signal.SIGHUP)
        one.process.send_signal(signal.SIGTERM)
        started = time.monotonic()
        late = 0
        while True:
            try:
                status, body = one.send(BOOK)
            except ConnectionRefusedError:
                # Three times the TTL. This test may be held up before it connects.
                assert time.monotonic() - started > 3.0
                break
            if status != 200:
                assert (status, orjson.loads(body)["outcome"]) == (503, "not_run")
                late += 1
            gevent.sleep(0.05)
        # New calls are refused after half the grace period.
        assert late
        assert one.process.wait(timeout=5) == 0


def test_a_stream_that_may_outlast_a_stop_is_refused_and_not_cut_off(tmp_path):
    """Guards against admitting streams that are cut off as the grace period ends."""
    with gateway_with_old_callers(tmp_path, STREAM) as one:
        one.process.send_signal(signal.SIGTERM)
        delays = [0.1 * n for n in range(30)]
        sent = [gevent.spawn(send_after, delay, one, ASK) for delay in delays]
        replies = [task.get(timeout=GRACE_S + 2) for task in sent]
        assert one.process.wait(timeout=5) == 0
    outcomes = []
    for status, body in replies:
        refused = status == 503 and b'"not_run"' in body
        served = status == 200 and body.endswith(WHOLE_STREAM_END)
        assert refused or served, (status, body[-60:])
        outcomes.append(served)
    # Most of the grace period is left at first.
    assert all(outcomes[:8])


def test_a_call_that_ends_before_the_process_is_served_late_in_a_stop(tmp_path):
    """Guards against refusing callers with an old address more than is needed."""
    with gateway_with_old_callers(tmp_path, answering()) as one:
        one.process.send_signal(signal.SIGTERM)
        short = BOOK.replace(b"Deadline-Ms: 4000", b"Deadline-Ms: 900")
        late = gevent.spawn(send_after, 1.6, one, short)
        assert late.get(timeout=5) == (200, b"answer")
        assert one.process.wait(timeout=5) == 0


@pytest.mark.parametrize("path", ["/book/x", "/p/x"])
def test_a_call_without_an_answer_is_told_so_before_the_process_ends(tmp_path, path):
    """Guards against closing the connection of a call that still waits."""

    def silent(sock, seen):
        gevent.sleep(60.0)

    with gateway(tmp_path, silent) as one:
        call = gevent.spawn(send_after, 0.0, one, request("POST", path=path, body=b"x"))
        gevent.sleep(0.3)
        one.process.send_signal(signal.SIGTERM)
        status, body = call.get(timeout=GRACE_S + 2)
        assert (status, orjson.loads(body)["outcome"]) in [
            (502, "unknown"),
            (504, "unknown"),
        ]
        assert one.process.wait(timeout=5) == 0


def test_a_late_call_on_a_kept_connection_is_refused_and_told_to_close(tmp_path):
    """Guards against cutting off calls of connections that are kept in a stop."""
    with gateway_with_old_callers(tmp_path, by_path) as one:
        sock = connect(one)
        sock.sendall(BOOK.replace(b"Connection: close\r\n", b""))
        assert b"Connection: close" not in sock.recv(65536)
        one.process.send_signal(signal.SIGTERM)
        gevent.sleep(1.5)
        sock.sendall(ASK.replace(b"Connection: close\r\n", b""))
        status, head, body = read_all(sock)
        assert (status, orjson.loads(body)["outcome"]) == (503, "not_run")
        assert b"Connection: close" in head


def first_then(first, later):
    """Return a script for several upstreams, with another one for the first call."""
    calls = []

    def script(sock, seen) -> None:
        calls.append(seen)
        (first if len(calls) == 1 else later)(sock, seen)

    return script


def turn_away_late(sock, seen) -> None:
    gevent.sleep(1.5)
    sock.sendall(reply(seen, status="503 Full", headers="Toucanspool-Not-Executed: 1"))


def break_late(sock, seen) -> None:
    streaming([event(1)], cut=True)(sock, seen)
    gevent.sleep(1.5)


@pytest.mark.parametrize(
    ("first", "status", "end"),
    [
        (turn_away_late, 503, b'"outcome":"not_run"}'),
        (break_late, 200, b"data: piece 6\n\n\r\n0\r\n\r\n"),
    ],
)
def test_a_call_that_has_not_run_is_sent_back_in_a_stop_and_others_go_on(
    tmp_path, first, status, end
):
    """Guards against retries that are cut off as the grace period ends."""
    later = streaming([event(number) for number in range(1, 7)], gap_s=0.1)
    script = first_then(first, later)
    with gateway_with_old_callers(tmp_path, script, script) as one:
        call = gevent.spawn(send_after, 0.0, one, ASK)
        gevent.sleep(0.1)
        one.process.send_signal(signal.SIGTERM)
        answer = call.get(timeout=GRACE_S + 2)
        assert answer[0] == status
        assert answer[1].endswith(end), answer[1][-60:]


def test_settings_that_are_read_again_cut_no_stream_off(tmp_path):
    """Guards against SIGHUP, in series and while stopping, ending streams."""
    with gateway_with_old_callers(tmp_path, STREAM) as one:
        sent = [gevent.spawn(send_after, 0.2 * n, one, ASK) for n in range(6)]
        for number in range(20):
            one.write_settings(address_ttl_s=1.0 + number % 2)
            one.process.send_signal(signal.SIGHUP)
            if number == 12:
                one.process.send_signal(signal.SIGTERM)
            gevent.sleep(0.1)
        for task in sent:
            status, body = task.get(timeout=GRACE_S + 2)
            assert status == 200
            assert body.endswith(WHOLE_STREAM_END)
        assert one.process.wait(timeout=5) == 0

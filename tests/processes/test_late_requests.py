"""Requests that reach entries and agents late in a stop, or outlast it.

Guards against work that is accepted and then cut off as the process ends.
"""

import json
import signal
import socket
import threading
import time
from collections.abc import Iterator

import pytest

from demo.caller import Caller, expected
from demo.launcher import System
from tests.processes.conftest import PART, PLAN, RECORDS

GRACE_S = 3.0
MESSAGES = [{"role": "user", "content": "Tell me all trips."}]
# An engine needs 10 ms for a token, and more on a busy machine.
LONG, SHORT = 600, 5
# Ends between the late request, 2.0 s after SIGTERM, and the entry's end at 3.7 s.
MEDIUM = 250
STREAM_END = b"[DONE]\n\n\r\n0\r\n\r\n"


@pytest.fixture
def late_caller() -> Iterator[Caller]:
    """Yield a caller of a system whose processes have little time to stop."""
    with System({**PLAN, "drain_grace_s": GRACE_S}, part=PART) as system:
        client = Caller(system)
        client.configure([dict(record) for record in RECORDS])
        yield client


def ask(caller: Caller, tokens: int, *, timeout_s: float = 60.0) -> bytes:
    """Return the request of a stream that doesn't ask to close the connection."""
    body = json.dumps(
        {"model": "guide", "messages": MESSAGES, "max_tokens": tokens, "stream": True}
    )
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {caller.system.keys.teams['members']}\r\n"
        f"Request-Timeout: {timeout_s}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return (head + body).encode()


def kept_connection(caller: Caller) -> socket.socket:
    """Return a connection that has served a request, and is kept."""
    sock = socket.create_connection(("127.0.0.1", caller.port(0)), timeout=20.0)
    sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
    data = b""
    while not data.endswith(b"}"):
        data += sock.recv(65536)
    assert b"close" not in data
    return sock


def read_all(sock: socket.socket) -> bytes:
    data = b""
    while block := sock.recv(65536):
        data += block
    return data


def send_late(caller: Caller, request: bytes) -> bytes:
    """Return the reply to a request on a kept connection, late in a stop.

    The entry would end at once if it had no other request.
    """
    with kept_connection(caller) as other, kept_connection(caller) as sock:
        other.sendall(ask(caller, MEDIUM))
        caller.system.signal("entry-1", signal.SIGTERM)
        # The port closes after 0.5 s.
        time.sleep(2.0)
        sock.sendall(request)
        reply = read_all(sock)
        assert read_all(other).endswith(STREAM_END)
    assert caller.system.wait("entry-1") == 0
    return reply


def test_an_entry_refuses_late_streams_of_kept_connections_that_outlast_it(late_caller):
    reply = send_late(late_caller, ask(late_caller, LONG))
    assert reply.startswith(b"HTTP/1.1 503")
    assert b'"not_run"' in reply
    assert b"Connection: close" in reply


def test_an_entry_serves_late_streams_of_kept_connections_that_end_in_time(late_caller):
    reply = send_late(late_caller, ask(late_caller, SHORT, timeout_s=1.0))
    assert reply.startswith(b"HTTP/1.1 200")
    assert reply.endswith(STREAM_END)


def test_an_entry_answers_requests_that_outlast_it(late_caller):
    """Guards against closing the connection of a request that still waits."""
    for desk in ("desk-1", "desk-2"):
        late_caller.system.set_faults(desk, delay_s=8.0)
    answers = []
    booking = threading.Thread(
        target=lambda: answers.append(late_caller.book(0, "k1", "clerks"))
    )
    booking.start()
    time.sleep(0.3)
    late_caller.system.signal("entry-1", signal.SIGTERM)
    booking.join()
    assert answers[0][0] in (502, 504)
    assert answers[0][1]["outcome"] == "unknown"
    assert late_caller.system.wait("entry-1") == 0


def test_a_stream_that_outlasts_its_agent_goes_on_elsewhere(late_caller):
    agents = ["agent-guide-1", "agent-guide-2"]
    parts = []
    for number, text in enumerate(late_caller.stream(0, MESSAGES, "members", LONG)):
        parts.append(text)
        if number == 20:
            seen = [late_caller.seen(name.removeprefix("agent-")) for name in agents]
            late_caller.system.signal(agents[not seen[0]], signal.SIGTERM)
    assert "".join(parts) == expected(MESSAGES, LONG)
    # The rest came from the other engine.
    assert all(late_caller.seen(name.removeprefix("agent-")) for name in agents)


def test_a_booking_that_outlasts_its_agent_is_unknown_and_made_once(late_caller):
    for desk in ("desk-1", "desk-2"):
        late_caller.system.set_faults(desk, delay_s=5.0)
    timer = threading.Timer(
        0.5,
        lambda: [
            late_caller.system.signal(f"agent-desk-{n}", signal.SIGTERM) for n in (1, 2)
        ],
    )
    timer.start()
    _, answer, _ = late_caller.book(0, "k1", "clerks")
    timer.join()
    assert answer["outcome"] == "unknown"
    time.sleep(3.0)
    assert len(late_caller.bookings()) <= 1


def test_settings_that_are_read_again_cut_nothing_off(late_caller):
    """Guards against SIGHUP, in series and while stopping, ending requests."""
    names = ("entry-1", "agent-guide-1", "agent-guide-2")
    parts = []
    for number, text in enumerate(late_caller.stream(0, MESSAGES, "members", 200)):
        parts.append(text)
        if number % 10 == 0:
            for name in names:
                late_caller.system.signal(name, signal.SIGHUP)
        if number == 50:
            late_caller.system.signal("entry-1", signal.SIGTERM)
    assert "".join(parts) == expected(MESSAGES, 200)
    assert late_caller.system.wait("entry-1") == 0

"""Graceful stops of entries and agents.

Guards against a stop that aborts a request in flight, and against a wrong outcome for
one that the stop refuses.
"""

import json
import signal
import socket
import threading
import time

from demo.caller import Caller, expected
from demo.launcher import DemoFailed, call

MESSAGES = [{"role": "user", "content": "Tell me all trips."}]


def _addresses(caller: Caller, index: int) -> list[str]:
    key = caller.system.keys.teams["members"]
    answer = call(caller.port(index), "GET", "/v1/addresses", key=key)[1]
    return [item["url"] for item in answer["addresses"]]


def test_stopping_entry_ends_its_streams(caller):
    parts = []
    for number, text in enumerate(caller.stream(0, MESSAGES, "members", 150)):
        parts.append(text)
        if number == 5:
            caller.system.signal("entry-1", signal.SIGTERM)
    assert "".join(parts) == expected(MESSAGES, 150)
    assert caller.system.wait("entry-1") == 0


def test_stopping_entry_serves_callers_that_still_hold_its_address(caller):
    own = f":{caller.port(0)}"
    assert any(url.endswith(own) for url in _addresses(caller, 0))
    list(caller.stream(0, MESSAGES, "members", 1))
    caller.system.signal("entry-1", signal.SIGTERM)
    deadline = time.monotonic() + 5.0
    while call(caller.port(0), "GET", "/readyz")[0] == 200:
        assert time.monotonic() < deadline
    assert not any(url.endswith(own) for url in _addresses(caller, 0))
    assert "".join(caller.stream(0, MESSAGES, "members", 4)) == expected(MESSAGES, 4)
    assert caller.system.wait("entry-1") == 0


def test_stopping_agent_ends_its_booking(caller):
    for desk in ("desk-1", "desk-2"):
        caller.system.set_faults(desk, delay_s=1.5)
    agents = ("agent-desk-1", "agent-desk-2")
    timer = threading.Timer(
        0.7, lambda: [caller.system.signal(name, signal.SIGTERM) for name in agents]
    )
    timer.start()
    status, answer, _ = caller.book(0, "k1", "clerks")
    timer.join()
    assert status == 201
    assert answer["booking"]
    assert [caller.system.wait(name) for name in agents] == [0, 0]
    assert len(caller.bookings()) == 1


def test_stopping_agent_hands_new_work_to_others(caller):
    caller.system.signal("agent-guide-1", signal.SIGTERM)
    for number in range(20):
        messages = [{"role": "user", "content": f"Trip {number}?"}]
        text = "".join(caller.stream(number % 2, messages, "members", 2))
        assert text == expected(messages, 2)
    assert caller.system.wait("agent-guide-1") == 0


def test_everything_stopped_at_once_under_load_tells_the_truth(caller):
    outcomes = []

    def book(number: int) -> None:
        try:
            answer = caller.book(number % 2, f"k{number}", "clerks")
            outcomes.append((f"k{number}", answer[0], answer[1].get("outcome")))
        except OSError:
            outcomes.append((f"k{number}", 0, "unknown"))

    threads = [threading.Thread(target=book, args=(n,)) for n in range(40)]
    for number, thread in enumerate(threads):
        thread.start()
        time.sleep(0.02)
        if number == 20:
            for name in list(caller.system.processes):
                if name.startswith(("agent-desk", "entry")):
                    caller.system.signal(name, signal.SIGTERM)
    for thread in threads:
        thread.join()
    ran = [item["key"] for item in caller.bookings()]
    assert len(ran) == len(set(ran))
    for key, status, outcome in outcomes:
        assert not (outcome == "not_run" and key in ran), (key, status)
        assert not (status == 201 and key not in ran), key


def test_restarted_agent_gets_work_again(caller):
    for item in caller.system.plan["runners"]:
        name = f"agent-{item['name']}"
        caller.system.signal(name, signal.SIGTERM)
        assert caller.system.wait(name) == 0
    for item in caller.system.plan["runners"]:
        caller.system.start_agent(item)
    deadline = time.monotonic() + 20.0
    served = [False, False]
    while not all(served) and time.monotonic() < deadline:
        for index in (0, 1):
            try:
                served[index] |= bool(
                    list(caller.stream(index, MESSAGES, "members", 1))
                )
            except (DemoFailed, OSError):
                time.sleep(0.2)
    assert served == [True, True]


def test_stopping_entry_answers_a_request_that_is_half_read(caller):
    """Guards against closing the connection of a request whose body still arrives."""
    body = json.dumps({"model": "guide", "messages": MESSAGES, "max_tokens": 2})
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        f"Authorization: Bearer {caller.system.keys.teams['members']}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", caller.port(0)), timeout=10.0) as sock:
        sock.sendall((head + body[:-5]).encode())
        time.sleep(0.1)
        caller.system.signal("entry-1", signal.SIGTERM)
        # The address is used for 0.5 s more, and bodies may take 1 s.
        time.sleep(0.8)
        sock.sendall(body[-5:].encode())
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
    assert caller.system.wait("entry-1") == 0

"""The client of the store takes no response that was cut for whole."""

import gevent
import pytest

from standins.raw_upstream import RawUpstream, answering, without_end
from toucanspool.backing.http_client import CallLost
from toucanspool.backing.reply_memory import REPLY_MEMORY
from toucanspool.platform.unpooled_client import UnpooledClient

JSON = "Content-Type: application/json"


def call(script, *, crashes: bool = False):
    """Return the body of a scripted server's response to one request."""
    with RawUpstream(script, crashes=crashes) as server:
        client = UnpooledClient("127.0.0.1", server.port, timeout_s=2.0)
        return client.call("GET", "/x").body


@pytest.mark.parametrize("framed", [True, False])
def test_a_json_body_that_was_cut_is_lost(framed):
    with pytest.raises(CallLost):
        call(answering(b'{"rows": [1', headers=JSON, framed=framed))


def test_an_empty_body_that_only_the_closed_connection_ends_is_lost():
    with pytest.raises(CallLost):
        call(answering(b"", headers=JSON, framed=False))


def test_a_body_without_framing_whose_server_crashes_is_lost():
    with pytest.raises(CallLost):
        call(answering(b"text", framed=False), crashes=True)


def test_a_json_body_without_framing_is_whole():
    assert call(answering(b'{"a": 1}', headers=JSON, framed=False)) == {"a": 1}


def test_an_empty_body_with_a_length_is_no_body():
    assert call(answering(b"", headers=JSON)) is None


def test_a_response_without_end_is_lost():
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    script = without_end(head, b"x" * 65536, limit_bytes=64 * 1024 * 1024)
    with gevent.Timeout(1.5), pytest.raises(CallLost):
        call(script)


@pytest.mark.parametrize("status", ["200 OK", "204 No Content", "409 Conflict"])
@pytest.mark.parametrize("framed", [True, False])
def test_a_response_that_is_cut_off_in_its_head_is_lost(status, framed):
    """Guards against a response whose head was cut taken for an empty one."""
    framing = "Content-Length: 0\r\n" if framed else ""
    head = f"HTTP/1.1 {status}\r\n{JSON}\r\n{framing}\r\n".encode()
    for cut in range(len(head)):
        with pytest.raises(CallLost):
            call(lambda sock, seen, cut=cut: sock.sendall(head[:cut]))


def test_several_responses_without_end_stay_within_one_bound(monkeypatch):
    monkeypatch.setattr(REPLY_MEMORY, "max_bytes", 8 * 1024 * 1024)
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    script = without_end(head, b"x" * 65536, limit_bytes=64 * 1024 * 1024)
    most = 0
    with RawUpstream(script) as server:

        def read() -> None:
            client = UnpooledClient("127.0.0.1", server.port, timeout_s=2.0)
            with pytest.raises(CallLost):
                client.call("GET", "/x")

        tasks = [gevent.spawn(read) for _ in range(8)]
        while not all(task.ready() for task in tasks):
            most = max(most, REPLY_MEMORY.held_bytes)
            gevent.sleep(0.002)
        gevent.joinall(tasks, raise_error=True)
    assert 0 < most <= 8 * 1024 * 1024
    assert REPLY_MEMORY.held_bytes == 0


def test_a_client_takes_no_larger_body_than_it_is_told():
    body = b'"' + b"x" * 100_000 + b'"'
    with RawUpstream(answering(body, headers=JSON)) as server:
        client = UnpooledClient(
            "127.0.0.1", server.port, timeout_s=1.0, max_body_bytes=1000
        )
        with pytest.raises(CallLost):
            client.call("GET", "/x")

"""The JSON client bounds replies, and takes no cut or foreign one for its own."""

from contextlib import ExitStack, contextmanager

import gevent
import pytest
from gevent.server import StreamServer

from standins.raw_upstream import RawUpstream, answering, without_end
from toucanspool.backing import bounded_client
from toucanspool.backing.http_client import CallLost, JsonClient
from toucanspool.backing.reply_memory import REPLY_MEMORY

OK = b"HTTP/1.1 200 OK\r\n"
JSON = "Content-Type: application/json"
BLOCK = b"x" * 65536
LIMIT_BYTES = 4 * 1024 * 1024


@contextmanager
def client_of(script, *, timeout_s: float = 1.0):
    """Yield a client of a scripted server, and the server."""
    with RawUpstream(script) as server:
        client = JsonClient("127.0.0.1", server.port, timeout_s=timeout_s)
        yield client, server
        client.close()


@pytest.mark.parametrize(
    ("head", "block"),
    [
        (OK, b"X-More: 1\r\n" * 6000),
        (OK, b"a:\r\n" * 16384),
        (OK + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 10_000),
        (OK + b"\r\n", BLOCK),
        (OK + b"Content-Length: 99999999999\r\n\r\n", BLOCK),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000),
    ],
)
def test_a_reply_without_end_is_given_up(monkeypatch, head, block):
    monkeypatch.setattr(bounded_client, "MAX_REPLY_BYTES", 1024 * 1024)
    script = without_end(head, block, limit_bytes=LIMIT_BYTES * 4)
    with client_of(script) as (client, server), pytest.raises(CallLost):
        client.call("GET", "/x")
    gevent.sleep(0.05)
    assert server.closed_early == 1


def test_a_slow_reply_without_end_is_given_up_in_time():
    script = without_end(OK + b"\r\n", b"x", pause_s=0.05, limit_bytes=100)
    with (
        client_of(script, timeout_s=0.3) as (client, _),
        gevent.Timeout(1.0),
        pytest.raises(CallLost),
    ):
        client.call("GET", "/x")


def test_the_bound_holds_for_each_reply_and_not_for_the_connection(monkeypatch):
    monkeypatch.setattr(bounded_client, "MAX_REPLY_BYTES", 1000)
    with client_of(answering(b"x" * 600)) as (client, _):
        for _ in range(3):
            assert client.call("GET", "/x") == (200, b"x" * 600)


@pytest.mark.parametrize("framed", [True, False])
def test_a_json_body_that_was_cut_is_lost(framed):
    script = answering(b'{"a": [1, 2', headers=JSON, framed=framed)
    with client_of(script) as (client, _), pytest.raises(CallLost):
        client.call("GET", "/x")


@pytest.mark.parametrize("body", [b"", b"part of an object"])
def test_a_body_that_only_the_closed_connection_ends_is_lost(body):
    script = answering(body, framed=False)
    with client_of(script) as (client, _), pytest.raises(CallLost):
        client.call("GET", "/x")


def test_a_json_body_without_framing_is_whole():
    with client_of(answering(b'{"a": 1}', headers=JSON, framed=False)) as (client, _):
        assert client.call("GET", "/x") == (200, {"a": 1})


class Copying:
    """Serve JSON on kept connections; repeat the first reply before the second."""

    def __init__(self) -> None:
        self.requests = 0

    def serve(self, sock, address) -> None:
        """Serve one connection."""
        first = b""
        while True:
            data = b""
            while b"\r\n\r\n" not in data:
                block = sock.recv(65536)
                if not block:
                    return
                data += block
            self.requests += 1
            body = b"%d" % self.requests
            answer = OK + b"Content-Type: application/json\r\nContent-Length: 1\r\n\r\n"
            sock.sendall(first + answer + body)
            first = first or answer + body


@contextmanager
def copying_server():
    server = StreamServer(("127.0.0.1", 0), Copying().serve)
    server.start()
    yield server.server_port
    server.stop(timeout=0)


def test_a_late_copy_of_a_reply_answers_no_other_request():
    """Guards against taking the reply to one commit for the reply to the next."""
    with copying_server() as port:
        client = JsonClient("127.0.0.1", port, timeout_s=1.0)
        assert [client.call("POST", "/x", {})[1] for _ in range(3)] == [1, 2, 3]
        client.close()


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("status", ["200 OK", "204 No Content", "409 Conflict"])
@pytest.mark.parametrize("framing", ["Content-Length: 8", "Transfer-Encoding: chunked"])
def test_a_reply_that_is_cut_off_is_lost(method, status, framing):
    """Guards against a reply whose head or body was cut taken for a whole one."""
    body = b'{"a": 1}' if "Length" in framing else b'8\r\n{"a": 1}\r\n0\r\n\r\n'
    if "204" in status:
        body = b""
    head = f"HTTP/1.1 {status}\r\n{JSON}\r\n{framing}\r\n\r\n".encode()
    sent = b""

    def script(sock, seen):
        sock.sendall(sent)

    with client_of(script) as (client, _):
        for cut in range(len(head + body)):
            sent = (head + body)[:cut]
            with pytest.raises(CallLost):
                client.call(method, "/x")


def read_at_once(clients: int, script) -> int:
    """Return the most bytes held while several clients read at once."""
    most = 0

    def watch() -> None:
        nonlocal most
        while True:
            most = max(most, REPLY_MEMORY.held_bytes)
            gevent.sleep(0.002)

    with ExitStack() as stack:
        servers = [stack.enter_context(RawUpstream(script)) for _ in range(clients)]
        watcher = gevent.spawn(watch)
        stack.callback(watcher.kill)

        def read(port: int) -> None:
            client = JsonClient("127.0.0.1", port, timeout_s=5.0)
            with pytest.raises(CallLost):
                client.call("GET", "/x")
            client.close()

        tasks = [gevent.spawn(read, server.port) for server in servers]
        gevent.joinall(tasks, timeout=20.0, raise_error=True)
        assert all(task.ready() for task in tasks)
    return most


def test_several_replies_without_end_stay_within_one_bound(monkeypatch):
    monkeypatch.setattr(REPLY_MEMORY, "max_bytes", 2 * 1024 * 1024)
    monkeypatch.setattr(bounded_client, "MAX_REPLY_BYTES", 1024 * 1024)
    endless = without_end(OK + b"\r\n", BLOCK, limit_bytes=LIMIT_BYTES)
    assert 0 < read_at_once(8, endless) <= 2 * 1024 * 1024
    assert REPLY_MEMORY.held_bytes == 0


def test_a_kept_connection_holds_nothing_of_its_last_reply():
    with RawUpstream(answering(b"x" * 600)) as server:
        client = JsonClient(
            "127.0.0.1", server.port, timeout_s=1.0, reuse_connections=True
        )
        assert client.call("GET", "/x") == (200, b"x" * 600)
        assert REPLY_MEMORY.held_bytes == 0
        client.close()

"""Single requests within the limits are served on the smallest machine."""

import gevent
import pytest

from standins.raw_upstream import answering, streaming
from tests.gateway.gateways import gateway, request, route
from toucanspool.limits.process_limits import ProcessLimits
from toucanspool.routing.routes import CallKind
from toucanspool.wire.client_limits import ClientLimits

KB, MB = 1 << 10, 1 << 20
AT_MOST_ONCE = [route(CallKind.AT_MOST_ONCE, max_attempts=1, timeout_s=20.0)]
STREAM = [route(CallKind.STREAM, max_attempts=1, timeout_s=20.0)]
CHUNKED = "Transfer-Encoding: chunked"


@pytest.fixture
def smallest():
    return {"client_limits": ClientLimits.within(ProcessLimits(160 * 10**6, 128))}


def chunked(body: bytes, chunk_bytes: int) -> bytes:
    chunks = b""
    for start in range(0, len(body), chunk_bytes):
        chunk = body[start : start + chunk_bytes]
        chunks += b"%x\r\n%s\r\n" % (len(chunk), chunk)
    return request("POST", headers=CHUNKED) + chunks + b"0\r\n\r\n"


def test_the_longest_body_and_the_longest_reply(smallest):
    large = answering(b"y" * (8 * MB - 1))
    with gateway(large, routes=AT_MOST_ONCE, **smallest) as gw:
        status, _, body = gw.call("POST", body=b"x" * 4 * MB)
        assert (status, len(body)) == (200, 8 * MB - 1)
        assert len(gw.upstreams[0].seen[0].body) == 4 * MB


@pytest.mark.parametrize("chunk_bytes", [1, 7, 100_000])
def test_a_body_in_chunks_of_any_size(smallest, chunk_bytes):
    body = b"x" * 100_000
    with gateway(answering(), routes=AT_MOST_ONCE, **smallest) as gw:
        assert gw.exchange(chunked(body, chunk_bytes))[0] == 200
        assert gw.upstreams[0].seen[0].body == body


def test_a_body_that_comes_in_parts(smallest):
    with gateway(answering(), routes=AT_MOST_ONCE, **smallest) as gw:
        sock = gw.connect()
        ask = request("POST", body=b"x" * 40 * KB)
        for start in range(0, len(ask), 8 * KB):
            sock.sendall(ask[start : start + 8 * KB])
            gevent.sleep(0.3)
        assert sock.recv(100).startswith(b"HTTP/1.1 200")


def test_requests_that_were_sent_ahead_are_answered_in_order(smallest):
    def script(sock, seen):
        answering(seen.head.split(" ")[1].encode())(sock, seen)

    with gateway(script, **smallest) as gw:
        asks = [request("GET", path=f"/p/{n}") for n in range(20)]
        keep = [ask.replace(b"Connection: close\r\n", b"") for ask in asks[:-1]]
        _, _, body = gw.exchange(b"".join([*keep, asks[-1]]))
    found = [body.find(b"/p/%d" % n) for n in range(20)]
    assert -1 not in found
    assert found == sorted(found)


def test_long_events(smallest):
    events = [b"data: " + b"x" * 900 * KB + b"\n\n"] * 3
    with gateway(streaming(events), routes=STREAM, **smallest) as gw:
        body = gw.call("POST", body=b"ask")[2]
    assert body.count(b"data: ") == 3
    assert body.endswith(b"0\r\n\r\n")


def test_a_caller_on_a_slow_link_gets_everything(smallest):
    with gateway(answering(b"x" * MB), routes=AT_MOST_ONCE, **smallest) as gw:
        sock = gw.send("POST", body=b"book")
        received = 0
        while block := sock.recv(32 * KB):
            received += len(block)
            gevent.sleep(0.02)
        assert received > MB

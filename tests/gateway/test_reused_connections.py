"""No caller gets a reply that belongs to another request of a reused connection."""

import contextlib

import gevent
import pytest

from standins.raw_upstream import answering, reply
from tests.gateway.gateways import TIMEOUT_S, gateway, request, route
from toucanspool.routing.routes import CallKind, RequestLimits

AT_MOST_ONCE = [route(CallKind.AT_MOST_ONCE, max_attempts=1)]
SLOW_BODY = RequestLimits(header_timeout_s=0.3, idle_timeout_s=0.3)


def kept(method: str = "POST", **more: object) -> bytes:
    return request(method, **more).replace(b"Connection: close\r\n", b"")


def read_all(sock) -> bytes:
    sock.settimeout(TIMEOUT_S)
    data = b""
    with contextlib.suppress(OSError):
        while block := sock.recv(65536):
            data += block
    return data


def test_a_late_copy_of_a_reply_reaches_no_other_call():
    """Guards against reading what an upstream sends after the end of a reply."""

    def twice(sock, seen):
        sock.sendall(reply(seen, b"reply to " + seen.body))
        gevent.sleep(0.05)
        sock.sendall(reply(seen, b"reply to " + seen.body))

    with gateway(twice, routes=AT_MOST_ONCE) as gw, gw.connect() as sock:
        sock.sendall(kept(body=b"first"))
        assert sock.recv(65536).endswith(b"reply to first")
        gevent.sleep(0.1)
        sock.sendall(request("POST", body=b"second"))
        data = read_all(sock)
    assert b"reply to second" in data
    assert b"reply to first" not in data


@pytest.mark.parametrize("chunked", [False, True])
def test_the_rest_of_a_body_that_came_too_slowly_is_no_request(chunked):
    """Guards against answering bytes of a body as if they were the next request."""
    hidden = request("POST", path="/p/hidden", body=b"x")
    ask = kept(body=b"y" * 4 + hidden)
    if chunked:
        ask = ask.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked\r\nX: ")
        ask = ask.replace(b"yyyy", b"ffff\r\nyyyy")
    with gateway(answering(), routes=AT_MOST_ONCE, limits=SLOW_BODY) as gw:
        sock = gw.connect()
        sock.sendall(ask[: -len(hidden)])
        gevent.sleep(0.45)
        with contextlib.suppress(OSError):
            sock.sendall(hidden * 2)
        data = read_all(sock)
        assert [seen.body for seen in gw.upstreams[0].seen] == []
    assert data.count(b"HTTP/1.1 ") <= 1


def test_the_rest_of_a_body_that_is_too_large_is_no_request():
    """Guards against answering bytes of a refused body as the next request."""
    hidden = request("POST", path="/p/hidden", body=b"x")
    ask = kept(body=hidden * 20_000)
    with gateway(answering(), routes=AT_MOST_ONCE) as gw:
        gw.core.routes = type(gw.core.routes)(
            version=1, routes=AT_MOST_ONCE, limits=RequestLimits(max_body_bytes=1024)
        )
        sock = gw.connect()
        sock.sendall(ask)
        sock.sendall(request("GET", path="/other/x"))
        data = read_all(sock)
        assert not gw.upstreams[0].seen
    assert data.startswith(b"HTTP/1.1 413")

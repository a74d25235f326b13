"""A reply whose status is none is no reply, on each road by which replies are read."""

import time

import gevent
import pytest
from gevent.server import StreamServer

from standins.raw_upstream import Script, answering, event, streaming
from tests.gateway.gateways import gateway, route
from toucanspool.agent.upstream_client import UpstreamBroken, UpstreamClient
from toucanspool.backing.http_client import CallLost, JsonClient
from toucanspool.groups.rank_engine import RankEngineError
from toucanspool.platform.engine import PlatformEngine
from toucanspool.platform.probes import NO_RESPONSE, _send_probe
from toucanspool.platform.unpooled_client import UnpooledClient
from toucanspool.routing.routes import CallKind
from toucanspool.settings.model import Address

STATUSES = ["000", "007", "101", "600", "999"]
OPEN_S = 3.0
# Less than any time limit of the road, so that it was not reached.
SOON_S = 1.0
AT_MOST_ONCE = [route(CallKind.AT_MOST_ONCE, max_attempts=1)]
STREAM = [route(CallKind.STREAM, max_attempts=2, resumable=True, timeout_s=8.0)]


def invalid(status: str, *, closes: bool, framed: bool = True) -> Script:
    """Return a script that sends a reply with a status, and may stay connected."""

    def script(sock, seen):
        head = f"HTTP/1.1 {status} What\r\nToucanspool-Attempt-Id: a1\r\n"
        head += "Toucanspool-Server-Signature: s.1\r\n"
        if framed:
            head += "Content-Length: 6\r\n"
        sock.sendall(head.encode() + b"\r\nanswer")
        if not closes:
            gevent.sleep(OPEN_S)

    return script


@pytest.fixture(params=[True, False], ids=["closes", "stays open"])
def closes(request):
    return request.param


@pytest.mark.parametrize("framed", [True, False])
@pytest.mark.parametrize("status", STATUSES)
def test_a_whole_reply_is_broken_at_once(status, closes, framed):
    script = invalid(status, closes=closes, framed=framed)
    with gateway(script, routes=AT_MOST_ONCE) as gw:
        began_at = time.monotonic()
        found, _, body = gw.call("POST", body=b"book")
        assert time.monotonic() - began_at < SOON_S
        assert (found, b'"unknown"' in body) == (502, True)


@pytest.mark.parametrize("status", STATUSES)
def test_a_call_that_may_be_repeated_is_answered_by_another_upstream(status, closes):
    with gateway(invalid(status, closes=closes), answering()) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        assert gw.call()[::2] == (200, b"answer")


@pytest.mark.parametrize("status", STATUSES)
def test_a_stream_does_not_begin_with_it(status, closes):
    script = invalid(status, closes=closes)
    with gateway(script, streaming([event(1)]), routes=STREAM) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        began_at = time.monotonic()
        found, _, body = gw.call("POST", body=b"ask")
        assert time.monotonic() - began_at < SOON_S
        assert (found, event(1) in body) == (200, True)


@pytest.mark.parametrize("status", STATUSES)
def test_a_stream_is_not_resumed_with_it(status, closes):
    """Guards against events of such a reply, and against waiting for them."""
    first = streaming([event(1)], cut=True)
    script = invalid(status, closes=closes)
    with gateway(first, script, routes=STREAM) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        began_at = time.monotonic()
        _, _, body = gw.call("POST", body=b"ask")
        assert time.monotonic() - began_at < SOON_S
        assert event(1) in body
        assert b"answer" not in body
        assert not body.endswith(b"0\r\n\r\n")


@pytest.fixture(params=STATUSES)
def server(request, closes):
    script = invalid(request.param, closes=closes)

    def serve(sock, address):
        sock.recv(65536)
        script(sock, None)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    yield server
    server.stop(timeout=0)


@pytest.mark.parametrize("reuse_connections", [True, False])
def test_clients_with_a_pool_lose_the_call_at_once(server, reuse_connections):
    client = JsonClient(
        "127.0.0.1",
        server.server_port,
        timeout_s=2.0,
        reuse_connections=reuse_connections,
    )
    began_at = time.monotonic()
    with pytest.raises(CallLost):
        client.call("GET", "/report")
    assert time.monotonic() - began_at < SOON_S


def test_clients_without_a_pool_lose_the_call_at_once(server):
    client = UnpooledClient("127.0.0.1", server.server_port, timeout_s=2.0)
    began_at = time.monotonic()
    with pytest.raises(CallLost):
        client.call("POST", "/rows-tx", {})
    assert time.monotonic() - began_at < SOON_S


def test_an_engine_has_no_name_by_it(server):
    with pytest.raises(RankEngineError):
        PlatformEngine("127.0.0.1", server.server_port).name("/healthz")


def test_a_probe_gets_no_response(server):
    response = _send_probe("127.0.0.1", server.server_port, "/healthz")
    assert response.status == NO_RESPONSE


def test_the_reply_to_an_agent_is_broken(server):
    address = Address(host="127.0.0.1", port=server.server_port)
    with pytest.raises(UpstreamBroken):
        UpstreamClient(address, timeout_s=2.0).send("GET", "/", {}, b"")

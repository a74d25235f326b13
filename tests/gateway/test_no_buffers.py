"""Calls for which the kernel can't hold a further connection."""

import pytest

from standins.raw_upstream import answering, event, streaming
from tests.gateway.gateways import gateway, route
from toucanspool.routing.routes import CallKind
from toucanspool.wire.client_limits import ClientLimits

REPEATED = [route(CallKind.IDEMPOTENT, max_attempts=2)]
STREAM = [route(CallKind.STREAM, max_attempts=2, resumable=True)]


@pytest.fixture
def limits():
    return ClientLimits()


def breaking(limits: ClientLimits, data: bytes = b""):
    """Return a script that breaks its reply off when no buffers are left."""

    def script(sock, seen):
        limits.upstream_buffers.max_bytes = 1
        sock.sendall(data)

    return script


def test_a_call_that_no_upstream_got_is_told_so_and_no_upstream_is_blamed(limits):
    limits.upstream_buffers.max_bytes = 1
    with gateway(answering(), routes=REPEATED, client_limits=limits) as gw:
        status, head, body = gw.call()
        assert (status, b'"not_run"' in body) == (503, True)
        assert "Retry-After" in head
        assert not gw.upstreams[0].seen
        assert gw.core.ejector.ejected == set()


def test_a_call_that_may_have_run_before_is_not_told_that_it_has_not(limits):
    script = breaking(limits)
    with gateway(script, script, routes=REPEATED, client_limits=limits) as gw:
        status, _, body = gw.call()
        assert (status, b'"unknown"' in body) == (504, True)


def test_a_stream_that_can_not_be_resumed_is_cut_off(limits):
    def script(sock, seen):
        streaming([event(1)], cut=True)(sock, seen)
        limits.upstream_buffers.max_bytes = 1

    with gateway(script, script, routes=STREAM, client_limits=limits) as gw:
        _, _, body = gw.call("POST", body=b"ask")
        assert event(1) in body
        assert not body.endswith(b"0\r\n\r\n")

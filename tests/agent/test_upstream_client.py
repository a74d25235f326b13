"""The end of a connection does not make a reply of an agent's upstream complete."""

from contextlib import contextmanager

import pytest

from standins.raw_upstream import RawUpstream, answering, event, streaming
from toucanspool.agent.upstream_client import UpstreamBroken, UpstreamClient
from toucanspool.settings.settings import Address

EVENTS = [event(number) for number in range(1, 4)]


@contextmanager
def replying(script, *, crashes: bool = False):
    """Yield the reply of a scripted upstream to one request."""
    with RawUpstream(script, crashes=crashes) as upstream:
        address = Address(host="127.0.0.1", port=upstream.port)
        client = UpstreamClient(address, timeout_s=2.0)
        reply = client.send("POST", "/x", {}, b"ask")
        yield reply
        reply.close()


@pytest.mark.parametrize(
    "script", [answering(b"par", framed=False), streaming(EVENTS, framed=False)]
)
def test_a_reply_without_framing_whose_upstream_crashes_is_broken(script):
    with replying(script, crashes=True) as reply, pytest.raises(UpstreamBroken):
        list(reply.iter_body())


def test_a_reply_without_framing_of_a_live_upstream_is_whole():
    with replying(answering(b"whole", framed=False)) as reply:
        assert b"".join(reply.iter_body()) == b"whole"


@pytest.mark.parametrize("framed", [True, False])
def test_a_stream_that_ends_inside_an_event_is_broken(framed):
    script = streaming(EVENTS, partial=b"id: 4\nda", framed=framed)
    with replying(script) as reply, pytest.raises(UpstreamBroken):
        list(reply.iter_body())


def test_events_come_whole():
    with replying(streaming(EVENTS)) as reply:
        assert reply.streamed
        assert b"".join(reply.iter_body()) == b"".join(EVENTS)

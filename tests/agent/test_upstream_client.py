"""The end of a connection does not make a reply of an agent's upstream complete."""

from contextlib import contextmanager

import gevent
import pytest

from standins.raw_upstream import (
    RawUpstream,
    ReceivedRequest,
    answering,
    event,
    reply,
    streaming,
    without_end,
)
from tests.replies import FRAMINGS, MEDIA_TYPES, STATUSES, answer
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


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", STATUSES)
def test_a_reply_that_is_cut_off_is_broken(status, framing):
    """Guards against a success with an empty or short body that looks whole."""
    sent = b""

    def script(sock, seen):
        sock.sendall(sent)

    body = b"".join(EVENTS)
    with RawUpstream(script) as upstream:
        address = Address(host="127.0.0.1", port=upstream.port)
        client = UpstreamClient(address, timeout_s=2.0)
        for media_type in MEDIA_TYPES:
            options = {"status": status, "media_type": media_type, "framing": framing}
            whole = answer(ReceivedRequest("x", b""), body, **options)
            length = len(whole)
            if framing == "close":
                # The end of such a body is that of its connection.
                length = whole.index(b"\r\n\r\n") + 4
            for cut in range(length):
                sent = whole[:cut]
                with pytest.raises(UpstreamBroken):
                    b"".join(client.send("POST", "/x", {}, b"ask").iter_body())


@pytest.mark.parametrize("status", STATUSES)
def test_a_reply_to_an_earlier_request_is_no_reply_to_the_next(status):
    """Guards against an earlier refusal that is written once more behind a reply."""

    def script(sock, seen):
        sock.sendall(reply(seen, b"to " + seen.body))
        sock.sendall(reply(seen, b"late, to " + seen.body, status=status))

    with RawUpstream(script) as upstream:
        address = Address(host="127.0.0.1", port=upstream.port)
        client = UpstreamClient(address, timeout_s=2.0)
        for body in (b"one", b"two", b"three"):
            answer_to = client.send("POST", "/x", {}, body)
            assert answer_to.status == 200
            assert b"".join(answer_to.iter_body()) == b"to " + body


def test_a_load_report_without_end_is_given_up():
    script = without_end(
        b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536, limit_bytes=16 * 1024 * 1024
    )
    with RawUpstream(script) as upstream:
        client = UpstreamClient(
            Address(host="127.0.0.1", port=upstream.port), timeout_s=2.0
        )
        with pytest.raises(UpstreamBroken):
            client.load()
        gevent.sleep(0.05)
        assert upstream.closed_early == 1

"""A stream has begun and breaks off, and the next upstream answers with an error.

Guards against the error's text in the middle of a stream, against streams that end as
if they were complete, and against two runs in one stream.
"""

import itertools

import pytest

from tests import replies
from tests.entry.fakes import (
    STREAM_HEAD,
    breaks_after,
    chunks,
    completed,
    events,
    make_dispatcher,
    make_request,
    refused,
    streams,
)
from tests.entry.test_dispatcher import classify
from toucanspool.entry.problems import Problem
from toucanspool.wire.gen.messages.ttypes import Head, Outcome, Refusal
from toucanspool.wire.http_server import ReplyCutOff

STATUSES = [int(status[:3]) for status in replies.STATUSES]
TEXTS = [b'{"title":"broken"}', b'data: {"error":"broken"}\n\n', b"broken\n\n", b""]
ENDS = ["whole", "broken"]
SERVICE_EVENTS = [b'id: 1\ndata: {"seat":1}\n\n', b"id: 2\ndata: two\n\n"]


def answers(status: int, media_type: str, text: bytes, framed: bool, end: str):
    """Return a script that answers with a body of one piece, or breaks behind it."""
    head = Head(status=status, headers={"content-type": media_type}, framed=framed)
    pieces = [text] if text else []
    last = completed(pieces)
    if end == "broken":
        last = refused(Refusal.BROKEN, Outcome.UNKNOWN)
    return lambda message: [head, *chunks(pieces), last]


@pytest.mark.parametrize("framed", [True, False])
@pytest.mark.parametrize("status", STATUSES)
def test_no_byte_of_an_error_gets_into_a_stream_that_has_begun(status, framed):
    for media_type, text, end in itertools.product(replies.MEDIA_TYPES, TEXTS, ENDS):
        if status == 200 and media_type == "text/event-stream":
            # It goes on with the stream.
            continue
        error = answers(status, media_type, text, framed, end)
        dispatcher, _ = make_dispatcher(breaks_after(4), error)
        data = b"".join(dispatcher.dispatch(make_request()))
        what = (media_type, text, end)
        assert classify(data) == "cut", what
        relayed, _, problem = data.partition(b"event: error\n")
        assert relayed == b"".join(events(make_request().body)[:4]), what
        assert b"urn:toucanspool:problem:" in problem, what


@pytest.mark.parametrize("status", [status for status in STATUSES if status >= 300])
def test_a_failure_that_looks_like_a_stream_is_not_gone_on_with(status):
    """Guards against a stream behind the text of a failure."""
    failure = answers(status, "text/event-stream", b"data: no\n\n", True, "whole")
    dispatcher, link = make_dispatcher(failure, streams)
    reply = dispatcher.dispatch(make_request(idempotent=False))
    assert reply.status == status
    assert b"".join(reply) == b"data: no\n\n"
    assert len(link.opened_calls) == 1


@pytest.mark.parametrize("count", [0, 1])
@pytest.mark.parametrize("framed", [True, False])
def test_a_services_stream_is_not_run_again_once_it_has_begun(count, framed):
    """Guards against the events of two runs in one stream, and a proper end."""
    head = Head(status=200, headers=STREAM_HEAD.headers, framed=framed)
    broken = refused(Refusal.BROKEN, Outcome.UNKNOWN)

    def breaks(message):
        return [head, *chunks(SERVICE_EVENTS[: count + 1]), broken]

    def whole(message):
        return [head, *chunks(SERVICE_EVENTS), completed(SERVICE_EVENTS)]

    dispatcher, link = make_dispatcher(breaks, whole)
    data = b""
    with pytest.raises(ReplyCutOff):
        for chunk in dispatcher.dispatch(make_request(stream=False)):
            data += chunk
    assert data == b"".join(SERVICE_EVENTS[: count + 1])
    assert len(link.opened_calls) == 1


def test_a_services_stream_that_breaks_before_any_event_is_run_elsewhere():
    def breaks(message):
        return [STREAM_HEAD, refused(Refusal.BROKEN, Outcome.UNKNOWN)]

    def whole(message):
        return [STREAM_HEAD, *chunks(SERVICE_EVENTS), completed(SERVICE_EVENTS)]

    dispatcher, _ = make_dispatcher(breaks, whole)
    data = b"".join(dispatcher.dispatch(make_request(stream=False)))
    assert data == b"".join(SERVICE_EVENTS)


def test_a_services_stream_that_breaks_before_any_event_ends_in_no_proper_end():
    def breaks(message):
        return [STREAM_HEAD, refused(Refusal.BROKEN, Outcome.UNKNOWN)]

    dispatcher, _ = make_dispatcher(breaks)
    with pytest.raises((ReplyCutOff, Problem)):
        b"".join(dispatcher.dispatch(make_request(stream=False)))

"""A stream has begun and breaks off, and the next upstream answers with an error.

Guards against the error's text or head in the middle of the stream, against a stream
that ends as if it were complete, and against one upstream's head on another's body.
"""

import itertools
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket

from standins.raw_upstream import (
    RawUpstream,
    ReceivedRequest,
    Script,
    event,
    reply,
    streaming,
)
from tests.gateway.gateways import RESET, gateway, route
from tests.gateway.test_stream import decode_body
from tests.replies import BODILESS, FRAMINGS, MEDIA_TYPES, STATUSES, answer
from toucanspool.platform import headers as names
from toucanspool.routing.routes import CallKind

EVENTS = [event(number) for number in range(1, 6)]
BEGUN = b"".join(EVENTS[:2])
ALL = b"".join(EVENTS)
ROUTES = [route(CallKind.STREAM, resumable=True, max_attempts=3)]
MARKS = ["", names.NOT_EXECUTED]
ERRORS = [
    b'{"title":"broken"}',
    b"<h1>broken</h1>\n\n",
    b"id: 9\ndata: broken\n\n",
    b"",
]


def breaking(framing: str, *, events: list[bytes], partial: bytes = b"") -> Script:
    """Return a script whose stream breaks off after some events."""
    if framing != "length":
        return streaming(events, cut=True, partial=partial, framed=framing == "chunks")

    def script(sock: socket.socket, request: ReceivedRequest) -> None:
        whole = reply(request, ALL, headers="Content-Type: text/event-stream")
        sent = b"".join(events) + partial
        sock.sendall(whole[: len(whole) - len(ALL)] + sent)

    return script


def failing(body: bytes, **options: str) -> Script:
    """Return a script that answers as `tests.replies.answer` does."""

    def script(sock: socket.socket, request: ReceivedRequest) -> None:
        sock.sendall(answer(request, body, **options))

    return script


def ask(*scripts: Script | RawUpstream) -> tuple[int, str, bytes]:
    """Return status, signature and decoded body; the first script is tried first."""
    with gateway(*scripts, routes=ROUTES) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        gw.upstreams[0].crashes = True
        status, head, body = gw.call("POST", body=b"ask")
    lines = head.lower().splitlines()
    signatures = [line for line in lines if line.startswith(names.SIGNATURE)]
    return status, "".join(signatures), decode_body(head, body)


@pytest.mark.parametrize("partial", [b"", b"id: 3\nda"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", STATUSES)
def test_no_byte_of_an_error_gets_into_a_stream_that_has_begun(
    status, framing, partial
):
    broken = breaking(framing, events=EVENTS[:2], partial=partial)
    with RawUpstream(broken) as other:
        for media_type, error_framing, mark, text in itertools.product(
            MEDIA_TYPES, FRAMINGS, MARKS, ERRORS
        ):
            if status == "200 OK" and media_type == "text/event-stream" and not mark:
                # It goes on with the stream.
                continue
            other.script = failing(
                text,
                status=status,
                media_type=media_type,
                framing=error_framing,
                mark=mark,
            )
            got = ask(broken, other)
            what = (media_type, error_framing, mark, text)
            assert got[0] == 200, what
            assert got[2] == BEGUN + b"(cut)", what


@pytest.mark.parametrize("status", STATUSES)
def test_a_stream_goes_on_at_a_third_upstream_after_an_error(status):
    """Guards against a stream that ends although another upstream could go on."""
    fail = failing(
        b"broken", status=status, media_type="application/json", framing="length"
    )
    got = ask(breaking("chunks", events=EVENTS[:2]), fail, streaming(EVENTS))
    assert got[2] == ALL + b"(end)"


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", [s for s in STATUSES if not s.startswith("421")])
def test_an_error_that_comes_before_any_event_is_passed_on_as_it_is(status, framing):
    """Guards against the first upstream's head on the second one's body."""
    for media_type, error_framing in itertools.product(MEDIA_TYPES, FRAMINGS):
        fail = failing(
            b"broken\n\n", status=status, media_type=media_type, framing=error_framing
        )
        got = ask(breaking(framing, events=[], partial=b"id: 1\nda"), fail)
        what = (media_type, error_framing, got)
        assert got[0] == int(status[:3]), what
        assert got[1].endswith("s.2"), what
        bodiless = status.startswith(BODILESS)
        assert got[2].startswith(b"" if bodiless else b"broken"), what


def test_a_whole_stream_that_comes_before_any_event_has_its_own_head():
    def second(sock, seen):
        body = b"".join(EVENTS)
        sock.sendall(
            answer(seen, body, status="200 OK", media_type="text/x", framing="length")
        )

    got = ask(breaking("chunks", events=[]), second)
    assert got[1].endswith("s.2")
    assert got[2] == ALL + b"(end)"


def test_an_answer_that_is_no_stream_is_not_joined_with_another():
    """Guards against two whole answers in one."""

    def list_pieces(sock, seen, cut=0):
        data = answer(
            seen,
            b"[1]\n\n[2]\n\n",
            status="200 OK",
            media_type="application/json",
            framing="length",
        )
        sock.sendall(data[: len(data) - cut])

    got = ask(lambda sock, seen: list_pieces(sock, seen, cut=4), list_pieces)
    assert got[2] == b"[1]\n\n(cut)"


@pytest.mark.parametrize("framing", ["chunks", "length"])
def test_an_end_without_framing_does_not_make_a_stream_complete(framing):
    """Guards against the last chunk of a stream whose end no upstream has given."""
    got = ask(breaking(framing, events=EVENTS[:2]), streaming(EVENTS[:4], framed=False))
    assert got[2] == b"".join(EVENTS[:4]) + b"(cut)"


def error_head(status: str) -> bytes:
    return (
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
        "Content-Length: 6\r\n\r\nbroken"
    ).encode()


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", STATUSES)
def test_a_reply_written_into_a_stream_is_no_part_of_it(status, framing):
    """Guards against another reply's head among the events, at any place of a cut."""
    for cut in range(len(EVENTS[2]) + 1):
        part = EVENTS[2][:cut]
        if cut == len(EVENTS[2]):
            part = b""

        def joined(sock, seen, part=part):
            head = error_head(status)
            if framing == "chunks":
                streaming(EVENTS[:2], cut=True, partial=part + head)(sock, seen)
                return
            filler = b"x" * 200
            breaking(framing, events=EVENTS[:2], partial=part + head + filler)(
                sock, seen
            )

        got = ask(joined, streaming(EVENTS))
        if framing == "close":
            assert got[2] == ALL + b"(end)", part
        else:
            assert got[2] in (ALL + b"(end)", BEGUN + b"(cut)"), part


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_reply_written_in_place_of_the_first_events_sends_the_call_elsewhere(
    framing,
):
    """Guards against cutting off a stream of which the caller has got nothing yet."""

    def joined(sock, seen):
        head = error_head("503 Service Unavailable")
        # All in one piece, so that nothing is passed on before the head is seen.
        pieces = []
        stub = SimpleNamespace(sendall=pieces.append)
        breaking(framing, events=[], partial=head + b"x" * 200)(stub, seen)
        sock.sendall(b"".join(pieces))

    def fail(sock, seen):
        sock.sendall(answer(seen, b"no", status="404 Not Found"))

    assert ask(joined, streaming(EVENTS))[2] == ALL + b"(end)"
    status, _, body = ask(joined, fail)
    assert (status, body) == (404, b"no(end)")


def test_text_about_replies_stays_in_the_stream():
    """Guards against taking every mention of a status line for another reply."""
    events = [
        b"id: 1\ndata: HTTP/1.1 200 OK\n\n",
        b"id: 2\r\ndata: HTTP/1.1 503 No\r\ndata: Retry-After: 1\r\n\r\n",
        b'id: 3\ndata: {"content":"HTTP/1.1 404 Not Found\\r\\nX: y"}\n\n',
    ]
    got = ask(streaming(events), streaming(events))
    assert got[2] == b"".join(events) + b"(end)"


def test_a_broken_stream_that_no_upstream_goes_on_with_is_cut_off():
    def silent(sock, seen):
        gevent.sleep(0.01)

    got = ask(breaking("chunks", events=EVENTS[:2]), silent, silent)
    assert got[2] == BEGUN + b"(cut)"
    assert RESET not in got[2]

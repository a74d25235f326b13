"""A reply whose head is cut off, alone or before the next reply, is never a reply.

Guards against replies that are made up of parts of two, and against a head that was cut
off taken for a complete one.
"""

import itertools

import pytest

from tests.replies import MEDIA_TYPES, STATUSES
from toucanspool.wire.reply_parser import BrokenReply, ReplyParser

FRAMINGS = ["Content-Length: 12", "Transfer-Encoding: chunked", ""]
METHODS = ["GET", "POST", "HEAD"]
NEXT = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Id: next\r\n"
    b"Content-Length: 4\r\n\r\nnext"
)

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
OTHER_HEADS = {
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nContent-Type: a/b\r\nX-Id: first\r\n\r\n",
    "line feeds": b"HTTP/1.1 200 OK\nContent-Type: a/b\nContent-Length: 12\n\n",
    "folded": b"HTTP/1.1 200 OK\r\nX-Id: a\r\n b\r\nContent-Length: 12\r\n\r\n",
    "upgrade": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
    "interim": INTERIM + b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
    "interim, no body": INTERIM + b"HTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n",
    "continue": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 X\r\nX-Id: a\r\n\r\n",
}


def head(status: str, media_type: str, framing: str) -> bytes:
    """Return a complete head."""
    lines = [f"HTTP/1.1 {status}", "X-Id: first", "X-Refused: 1"]
    lines += [f"Content-Type: {media_type}"] if media_type else []
    lines += [framing] if framing else []
    return ("\r\n".join([*lines, "Date: Fri, 04 Dec 2026"]) + "\r\n\r\n").encode()


def parse(method: str, *parts: bytes) -> ReplyParser | None:
    """Return the parser after all parts and the end of the connection; None if broken.

    A reply that is complete ends the exchange, and nothing more is read.
    """
    parser = ReplyParser(method)
    try:
        for part in (*parts, b""):
            if not parser.complete:
                parser.receive(part)
    except BrokenReply:
        return None
    return parser


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("status", STATUSES)
def test_a_head_that_is_cut_off_anywhere_is_no_reply(method, status):
    for media_type, framing in itertools.product(MEDIA_TYPES, FRAMINGS):
        whole = head(status, media_type, framing)
        for cut in range(len(whole)):
            assert parse(method, whole[:cut]) is None, whole[:cut]


@pytest.mark.parametrize("status", STATUSES)
def test_a_head_that_is_cut_off_does_not_join_the_next_reply(status):
    for media_type, framing in itertools.product(MEDIA_TYPES, FRAMINGS):
        whole = head(status, media_type, framing)
        for cut in range(1, len(whole)):
            for parts in ([whole[:cut] + NEXT], [whole[:cut], NEXT]):
                assert parse("POST", *parts) is None, whole[:cut]


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("form", OTHER_HEADS)
def test_a_head_of_another_form_that_is_cut_off_is_no_reply(method, form):
    whole = OTHER_HEADS[form]
    # A whole reply may follow an interim one.
    ends = (0, whole.find(b"HTTP", 1))
    for cut in range(len(whole)):
        assert parse(method, whole[:cut]) is None, whole[:cut]
        if cut not in ends:
            for parts in ([whole[:cut] + NEXT], [whole[:cut], NEXT]):
                assert parse(method, *parts) is None, whole[:cut]


def test_values_that_name_a_protocol_are_no_reply():
    """Guards against taking every mention of HTTP for another reply."""
    parser = parse(
        "GET", b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 edge\r\nContent-Length: 0\r\n\r\n"
    )
    assert parser.status == 200

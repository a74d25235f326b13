"""Incremental parsing of replies."""

import pytest

from toucanspool.wire.reply_parser import (
    MAX_HEADER_LINES,
    BrokenReply,
    ExcessiveReply,
    ReplyParser,
)

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A: 1\r\n\r\nbody"


@pytest.mark.parametrize("step", [1, 3, 7, len(WHOLE)])
def test_a_reply_in_pieces(step):
    parser = ReplyParser("GET")
    for start in range(0, len(WHOLE), step):
        parser.receive(WHOLE[start : start + step])
    assert parser.complete
    assert (parser.status, parser.header("x-a")) == (200, "1")
    assert parser.take_body() == b"body"


def test_a_second_reply_is_dropped():
    parser = ReplyParser("GET")
    parser.receive(WHOLE + WHOLE.replace(b"200", b"500").replace(b"body", b"evil"))
    assert (parser.status, parser.take_body()) == (200, b"body")


def test_interim_replies_are_passed_over():
    parser = ReplyParser("GET")
    parser.receive(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert not parser.head_complete
    parser.receive(WHOLE)
    assert parser.complete


@pytest.mark.parametrize("end", [10, 30, len(WHOLE) - 1])
def test_an_early_end_is_broken(end):
    parser = ReplyParser("GET")
    with pytest.raises(BrokenReply):
        parser.receive(WHOLE[:end])
        parser.receive(b"")


def test_bytes_that_are_no_reply_are_broken():
    with pytest.raises(BrokenReply):
        ReplyParser("GET").receive(b"\x00\x01garbage\r\n\r\n")


def test_garbage_after_a_whole_reply_harms_nothing():
    parser = ReplyParser("GET")
    parser.receive(WHOLE + b"\x00garbage")
    assert (parser.complete, parser.take_body()) == (True, b"body")


def test_a_reply_to_head_has_no_body():
    parser = ReplyParser("HEAD")
    parser.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
    assert parser.complete


@pytest.mark.parametrize(
    ("head", "by_close"), [(b"X-A: 1\r\n", True), (b"Content-Length: 4\r\n", False)]
)
def test_only_a_reply_without_framing_is_ended_by_close(head, by_close):
    parser = ReplyParser("GET")
    parser.receive(b"HTTP/1.1 200 OK\r\n" + head + b"\r\nbody")
    parser.receive(b"")
    assert (parser.complete, parser.ended_by_close) == (True, by_close)


TINY_LINES = b"a:\r\n" * 4000


@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 102 Processing\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    ],
    ids=["head", "interim reply", "trailers"],
)
def test_tiny_header_lines_do_not_fill_memory(start):
    parser = ReplyParser("GET")
    with pytest.raises(ExcessiveReply):
        parser.receive(start + TINY_LINES)
    assert len(parser.headers) <= MAX_HEADER_LINES


def test_the_lines_of_all_interim_replies_are_counted_together():
    parser = ReplyParser("GET")
    lines = b"a:\r\n" * (MAX_HEADER_LINES // 2)
    with pytest.raises(ExcessiveReply):
        for _ in range(3):
            parser.receive(b"HTTP/1.1 102 Processing\r\n" + lines + b"\r\n")


def test_tiny_chunks_are_given_up_early():
    parser = ReplyParser("GET")
    parser.receive(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    with pytest.raises(ExcessiveReply):
        for _ in range(100):
            parser.receive(b"1\r\nx\r\n" * 1000)
            parser.take_body()
    assert not parser.complete


def test_small_events_in_chunks_of_their_own_are_no_excess():
    parser = ReplyParser("GET")
    parser.receive(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(100):
        parser.receive(b"9\r\ndata: x\n\n\r\n" * 1000)
        assert len(parser.take_body()) == 9000


@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"101", b"600", b"999"])
@pytest.mark.parametrize("framing", [b"Content-Length: 4", b"X-A: 1"])
def test_a_status_that_is_none_breaks_the_reply_at_once(status, framing):
    """Guards against waiting for another reply, or passing the status on."""
    head = b"HTTP/1.1 " + status + b" What\r\n" + framing + b"\r\n\r\n"
    parser = ReplyParser("GET")
    with pytest.raises(BrokenReply):
        parser.receive(head)
    assert not parser.head_complete


@pytest.mark.parametrize("status", [200, 299, 451, 599])
def test_statuses_without_a_name_are_passed_on(status):
    parser = ReplyParser("GET")
    parser.receive(b"HTTP/1.1 %d What\r\nContent-Length: 0\r\n\r\n" % status)
    assert (parser.complete, parser.status) == (True, status)

"""EventSplitter returns only complete events."""

import pytest

from toucanspool.wire.event_splitter import EventSplitter
from toucanspool.wire.reply_parser import BrokenReply

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"


@pytest.mark.parametrize("step", [1, 4, 11, len(STREAM)])
def test_only_whole_events_come_out(step):
    splitter = EventSplitter()
    out = b"".join(
        splitter.feed(STREAM[at : at + step]) for at in range(0, len(STREAM), step)
    )
    assert out == STREAM[: STREAM.rfind(b"id: 3")]
    assert (splitter.last_id, splitter.count) == ("2", 2)
    assert splitter.partial == b"id: 3\nda"


def test_a_part_that_was_broken_off_is_dropped():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\nda")
    splitter.drop_partial()
    assert splitter.feed(b"id: 1\ndata: a\n\n") == b"id: 1\ndata: a\n\n"


def test_other_line_ends_and_events_without_an_id():
    splitter = EventSplitter(last_id="7")
    assert splitter.feed(b"data: a\r\n\r\n") == b"data: a\r\n\r\n"
    assert splitter.last_id == "7"


@pytest.mark.parametrize("step", [1, 3, 200])
@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"])
@pytest.mark.parametrize("part", [b"", b"data: a\n\n", b"id: 3\ndata: pie"])
def test_the_head_of_another_reply_breaks_the_stream(part, line_end, step):
    """Guards against another reply's head among the events."""
    head = line_end.join([b"HTTP/1.1 503 No", b"Retry-After: 1", b"", b""])
    splitter = EventSplitter()
    data = part + head
    events = b""
    with pytest.raises(BrokenReply):
        for start in range(0, len(data), step):
            events += splitter.feed(data[start : start + step])
    assert b"HTTP" not in events

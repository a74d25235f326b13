"""A link is opened when used, and closed when idle or silent with calls open."""

import time

import gevent
import pytest

from toucanspool.entry.link import Link
from toucanspool.entry.linked_call import CallTimeout
from toucanspool.wire.connection import ConnectionLost
from toucanspool.wire.gen.messages.ttypes import (
    Chunk,
    End,
    Frame,
    Hello,
    Open,
    Outcome,
    Refusal,
)
from toucanspool.wire.listener import Listener

WAIT_S = 5.0


class Other:
    """Keep what the other side gets, and its connections."""

    def __init__(self) -> None:
        self.frames: list[Frame] = []
        self.conns: list = []

    def received(self, conn, frame) -> None:
        """Keep a frame."""
        self.conns.append(conn)
        self.frames.append(frame)

    def lost(self, conn) -> None:
        """Do nothing."""


class Events:
    """Take nothing."""

    def on_report(self, report) -> None:
        """Do nothing."""

    def on_message(self, conn, frame) -> None:
        """Do nothing."""


@pytest.fixture
def linked():
    """Yield a link and the other side."""
    other = Other()
    listener = Listener("127.0.0.1", 0, lambda: other)
    listener.start()
    link = Link("127.0.0.1", listener.port, Events(), lambda: Hello(instance="e"))
    yield link, other
    link.close()
    listener.stop()


def send(other: Other, *frames: Frame) -> None:
    """Send from the other side."""
    for frame in frames:
        other.conns[-1].send(frame)


def opened(link: Link, other: Other):
    """Open a call and wait until the other side has it."""
    call = link.open(Open(request_id="r"))
    with pytest.raises(CallTimeout):
        call.next(0.05)
    assert other.frames[-1].open.call == call.number
    return call


def test_chunks_that_wait_are_joined(linked):
    link, other = linked
    call = opened(link, other)
    chunks = [Chunk(call=call.number, offset=n, data=b"x") for n in range(3)]
    foreign = Chunk(call=call.number + 1, offset=0, data=b"y")
    late = Chunk(call=call.number, offset=9, data=b"z")
    send(other, *(Frame(chunk=c) for c in (*chunks, foreign, late)))
    gevent.sleep(0.2)
    assert call.next(WAIT_S).data == b"xxx"
    assert call.next(WAIT_S).offset == 9


def test_a_lost_connection_ends_calls_as_unknown(linked):
    link, other = linked
    call = opened(link, other)
    other.conns[-1].close()
    end = call.next(WAIT_S)
    assert (end.outcome, end.refusal) == (Outcome.UNKNOWN, Refusal.BROKEN)


def test_silence_with_calls_open_ends_them(linked):
    link, other = linked
    call = opened(link, other)
    link.check_silence(time.monotonic() + 10.0, 3.0)
    assert call.next(WAIT_S).outcome == Outcome.UNKNOWN
    assert not link.connected


def test_silence_is_asked_about_before_it_ends_calls(linked):
    link, other = linked
    opened(link, other)
    link.check_silence(time.monotonic() + 2.0, 3.0)
    gevent.sleep(0.1)
    assert link.connected
    assert other.frames[-1].pull is not None


def test_silence_without_calls_does_no_harm(linked):
    link, _ = linked
    link.connect()
    link.check_silence(time.monotonic() + 10.0, 3.0)
    assert link.connected


def test_an_idle_link_is_closed_and_opens_again(linked):
    link, other = linked
    link.connect()
    link.check_idle(time.monotonic() + 30.0, 60.0)
    assert link.connected
    link.check_idle(time.monotonic() + 61.0, 60.0)
    assert not link.connected
    opened(link, other)
    link.check_idle(time.monotonic() + 61.0, 60.0)
    assert link.connected
    assert link.connect_count == 2


def test_a_call_given_up_is_cancelled_once(linked):
    link, other = linked
    call = opened(link, other)
    call.close()
    call.close()
    opened(link, other)
    assert sum(frame.cancel is not None for frame in other.frames) == 1


def test_an_ended_call_is_not_cancelled(linked):
    link, other = linked
    call = opened(link, other)
    end = End(call=call.number, outcome=Outcome.COMPLETED, offset=0)
    send(other, Frame(end=end))
    assert call.next(WAIT_S).outcome == Outcome.COMPLETED
    call.close()
    opened(link, other)
    assert not any(frame.cancel for frame in other.frames)


def test_no_agent_is_a_lost_connection():
    with pytest.raises(ConnectionLost):
        Link("127.0.0.1", 1, Events(), Hello).open(Open())

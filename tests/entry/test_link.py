"""Tests of links: opened on use, closed when idle or silent during calls."""

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


class FakeAgent:
    """Record the received frames and their connections."""

    def __init__(self) -> None:
        self.frames: list[Frame] = []
        self.conns: list = []

    def received(self, conn, frame) -> None:
        """Record a frame and its connection."""
        self.conns.append(conn)
        self.frames.append(frame)

    def lost(self, conn) -> None:
        """Do nothing."""


class IgnoringHandler:
    """Ignore all messages."""

    def on_report(self, report) -> None:
        """Do nothing."""

    def on_message(self, conn, frame) -> None:
        """Do nothing."""


@pytest.fixture
def link_and_agent():
    """Yield a link and the agent that it connects to."""
    agent = FakeAgent()
    listener = Listener("127.0.0.1", 0, lambda: agent)
    listener.start()
    link = Link(
        "127.0.0.1", listener.port, IgnoringHandler(), lambda: Hello(instance="e")
    )
    yield link, agent
    link.close()
    listener.stop()


def send(agent: FakeAgent, *frames: Frame) -> None:
    """Send frames from the agent."""
    for frame in frames:
        agent.conns[-1].send(frame)


def open_call(link: Link, agent: FakeAgent):
    """Open a call and wait until the agent has received it."""
    call = link.open(Open(request_id="r"))
    with pytest.raises(CallTimeout):
        call.next(0.05)
    assert agent.frames[-1].open.call == call.number
    return call


def test_chunks_that_wait_are_joined(link_and_agent):
    link, agent = link_and_agent
    call = open_call(link, agent)
    chunks = [Chunk(call=call.number, offset=n, data=b"x") for n in range(3)]
    other_call = Chunk(call=call.number + 1, offset=0, data=b"y")
    late = Chunk(call=call.number, offset=9, data=b"z")
    send(agent, *(Frame(chunk=c) for c in (*chunks, other_call, late)))
    gevent.sleep(0.2)
    assert call.next(WAIT_S).data == b"xxx"
    assert call.next(WAIT_S).offset == 9


def test_a_lost_connection_ends_calls_as_unknown(link_and_agent):
    link, agent = link_and_agent
    call = open_call(link, agent)
    agent.conns[-1].close()
    end = call.next(WAIT_S)
    assert (end.outcome, end.refusal) == (Outcome.UNKNOWN, Refusal.BROKEN)


def test_silence_with_calls_open_ends_them(link_and_agent):
    link, agent = link_and_agent
    call = open_call(link, agent)
    link.check_silence(time.monotonic() + 10.0, 3.0)
    assert call.next(WAIT_S).outcome == Outcome.UNKNOWN
    assert not link.connected


def test_silence_is_asked_about_before_it_ends_calls(link_and_agent):
    link, agent = link_and_agent
    open_call(link, agent)
    link.check_silence(time.monotonic() + 2.0, 3.0)
    gevent.sleep(0.1)
    assert link.connected
    assert agent.frames[-1].pull is not None


def test_silence_without_calls_does_no_harm(link_and_agent):
    link, _ = link_and_agent
    link.connect()
    link.check_silence(time.monotonic() + 10.0, 3.0)
    assert link.connected


def test_an_idle_link_is_closed_and_opens_again(link_and_agent):
    link, agent = link_and_agent
    link.connect()
    link.check_idle(time.monotonic() + 30.0, 60.0)
    assert link.connected
    link.check_idle(time.monotonic() + 61.0, 60.0)
    assert not link.connected
    open_call(link, agent)
    link.check_idle(time.monotonic() + 61.0, 60.0)
    assert link.connected
    assert link.connect_count == 2


def test_a_call_given_up_is_cancelled_once(link_and_agent):
    link, agent = link_and_agent
    call = open_call(link, agent)
    call.close()
    call.close()
    open_call(link, agent)
    assert sum(frame.cancel is not None for frame in agent.frames) == 1


def test_an_ended_call_is_not_cancelled(link_and_agent):
    link, agent = link_and_agent
    call = open_call(link, agent)
    end = End(call=call.number, outcome=Outcome.COMPLETED, offset=0)
    send(agent, Frame(end=end))
    assert call.next(WAIT_S).outcome == Outcome.COMPLETED
    call.close()
    open_call(link, agent)
    assert not any(frame.cancel for frame in agent.frames)


def test_no_agent_is_a_lost_connection():
    with pytest.raises(ConnectionLost):
        Link("127.0.0.1", 1, IgnoringHandler(), Hello).open(Open())


@pytest.mark.parametrize("outcome", [Outcome.NOT_RUN, Outcome.UNKNOWN])
def test_a_refusal_that_is_sent_once_more_ends_no_other_call(link_and_agent, outcome):
    """Guards against "not run" for a call because of an earlier call's refusal."""
    link, agent = link_and_agent
    first = open_call(link, agent)
    end = End(call=first.number, outcome=outcome, refusal=Refusal.BUSY, detail="No.")
    send(agent, Frame(end=end))
    assert first.next(WAIT_S).outcome == outcome
    send(agent, Frame(end=end))
    first.close()
    second = open_call(link, agent)
    send(agent, Frame(end=end))
    with pytest.raises(CallTimeout):
        second.next(0.05)
    # Numbers go on across connections, too.
    link.close()
    assert second.next(WAIT_S).refusal == Refusal.BROKEN
    third = open_call(link, agent)
    send(agent, Frame(end=end))
    with pytest.raises(CallTimeout):
        third.next(0.05)

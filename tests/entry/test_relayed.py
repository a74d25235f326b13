"""What is kept of streams is bounded, alone and together."""

import pytest

from tests.entry.fakes import (
    STREAM_HEAD,
    chunks,
    events,
    make_dispatcher,
    make_request,
    refused,
    streams,
)
from toucanspool.entry import relayed
from toucanspool.entry.continuation import CannotContinue
from toucanspool.entry.relayed import MAX_STREAM_BYTES, Relayed
from toucanspool.limits.memory_budget import MemoryBudget
from toucanspool.wire.gen.messages.ttypes import Outcome, Refusal

BLOCK = b"x" * 65536


@pytest.fixture(autouse=True)
def memory(monkeypatch: pytest.MonkeyPatch) -> MemoryBudget:
    """Return a budget that nothing else uses."""
    budget = MemoryBudget(10 * len(BLOCK))
    monkeypatch.setattr(relayed, "STREAM_MEMORY", budget)
    return budget


def test_a_stream_without_end_is_not_kept_whole(memory):
    memory.max_bytes = 0
    stream = Relayed()
    for _ in range(100):
        stream.add(BLOCK, resumable=True)
        assert memory.held_bytes <= MAX_STREAM_BYTES
    assert (stream.count, stream.last_chunk) == (100, BLOCK)
    with pytest.raises(CannotContinue):
        stream.text()
    assert memory.held_bytes == 0


def test_several_streams_are_kept_within_one_bound(memory):
    kept = [Relayed() for _ in range(4)]
    for _ in range(5):
        for stream in kept:
            stream.add(BLOCK, resumable=True)
            assert memory.held_bytes <= 10 * len(BLOCK)
    for stream in kept:
        stream.close()
    assert memory.held_bytes == 0


def test_nothing_is_kept_of_a_reply_that_cannot_be_resumed(memory):
    stream = Relayed()
    stream.add(BLOCK, resumable=False)
    assert memory.held_bytes == 0


def test_a_stream_that_was_not_kept_is_cut_off_if_it_breaks(memory, monkeypatch):
    monkeypatch.setattr(relayed, "MAX_STREAM_BYTES", 100)

    def breaks(message):
        sent = chunks(events(message.body))[:5]
        return [STREAM_HEAD, *sent, refused(Refusal.BROKEN, Outcome.UNKNOWN)]

    dispatcher, _ = make_dispatcher(breaks, streams)
    reply = dispatcher.dispatch(make_request())
    data = b"".join(reply)
    reply.close()
    assert b'"outcome":"unknown"' in data
    assert not data.endswith(b"data: [DONE]\n\n")
    assert memory.held_bytes == 0

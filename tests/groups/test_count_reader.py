"""Reading of counts from a large group over a slow link."""

import random
import time

import gevent
import numpy as np

from standins.pass_group import GROUP, PassGroup
from tests.limits.test_adaptive_limit import ENGINE
from toucanspool.groups import count_reader
from toucanspool.groups.count_reader import INTERVAL_S, CountReader
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.group_client import GroupClient
from toucanspool.groups.rank_calls import ANSWER_TIMEOUT_S, NoAnswer
from toucanspool.routing.routes import EngineModel
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAnswer, RankAsk

RANKS, SETS, EXPERTS = 64, 12, 256
LINK_BITS_PER_S = 3e6
MODEL = EngineModel(
    **{
        **{name: getattr(ENGINE, name) for name in EngineModel.__slots__},
        "layer_sets": SETS,
        "experts": EXPERTS,
    }
)


class SharedLink:
    """Carry the answers of all ranks one after the other, at the link's rate."""

    def __init__(self) -> None:
        self.free_at = 0.0
        self.unanswered = 0
        self.counted: list[int] = []

    def wait_for(self, n_bytes: int) -> float:
        """Return the time until an answer of this size has arrived, in seconds."""
        now = time.monotonic()
        self.free_at = max(self.free_at, now) + 8.0 * n_bytes / LINK_BITS_PER_S
        return self.free_at - now


class SlowLink:
    """Answer for one rank over the shared link."""

    def __init__(self, rank: int, engine: FencedEngine, shared: SharedLink) -> None:
        self._engine = engine
        self._rank = rank
        self._shared = shared

    def send(self, request: RankAsk, *, transfer_s: float = 0.0) -> RankAnswer:
        """Return the engine's answer, or raise `NoAnswer` if it comes too late."""
        answer = self._engine.answer(request)
        timeout_s = ANSWER_TIMEOUT_S + transfer_s
        delay_s = self._shared.wait_for(len(answer.picks))
        gevent.sleep(min(delay_s, timeout_s))
        if delay_s > timeout_s:
            self._shared.unanswered += 1
            raise NoAnswer("no answer in time")
        if request.action == RankAction.COUNTS:
            self._shared.counted.append(self._rank)
        return answer


def test_all_ranks_of_a_large_group_are_counted_over_a_slow_link():
    group = PassGroup(RANKS, random.Random(1))
    for row in group.rows:
        row.counts = np.zeros((SETS, EXPERTS), dtype=int)
    shared = SharedLink()
    links = {}
    for rank in range(RANKS):
        engine = FencedEngine(group.engine(rank))
        engine.restore(0)
        links[rank] = SlowLink(rank, engine, shared)
    client = GroupClient(GROUP, 1, links, link_bits_per_s=LINK_BITS_PER_S)
    reader = CountReader(LINK_BITS_PER_S)
    # The link carries 12 ranks at a time, and 3 of them are replaced at each read.
    for _ in range(19):
        for row in group.rows:
            row.counts = row.counts + 3
        answers = reader.fetch(client, links, MODEL)
        assert len(answers) == RANKS
        gevent.sleep(INTERVAL_S)
    assert set(shared.counted) == set(range(RANKS))
    assert shared.unanswered == 0
    assert reader.demand.ready


class IdleLink:
    """Answer for one rank, and record what was asked."""

    def __init__(self, engine: FencedEngine, actions: list[int]) -> None:
        self._engine = engine
        self._actions = actions

    def send(self, request: RankAsk, *, transfer_s: float = 0.0) -> RankAnswer:
        """Return the engine's answer."""
        self._actions.append(request.action)
        return self._engine.answer(request)


def test_a_pause_stops_reads_of_counts_but_not_for_long_those_of_states(monkeypatch):
    monkeypatch.setattr(count_reader, "INTERVAL_S", 0.01)
    monkeypatch.setattr(count_reader, "MAX_SILENCE_S", 0.1)
    group = PassGroup(1, random.Random(1))
    engine = FencedEngine(group.engine(0))
    engine.restore(0)
    actions: list[int] = []
    client = GroupClient(GROUP, 1, {0: IdleLink(engine, actions)})
    reader = CountReader(1e9)
    with reader.background(client, [0], MODEL):
        while RankAction.COUNTS not in actions:
            gevent.sleep(0.01)
        with reader.paused():
            actions.clear()
            started = time.monotonic()
            while not actions:
                gevent.sleep(0.01)
            assert time.monotonic() - started >= 0.1 - 0.01
            assert RankAction.COUNTS not in actions
        while RankAction.COUNTS not in actions:
            gevent.sleep(0.01)


def test_a_pause_begins_after_counts_under_way_have_arrived():
    group = PassGroup(1, random.Random(1))
    group.rows[0].counts = np.zeros((SETS, EXPERTS), dtype=int)
    engine = FencedEngine(group.engine(0))
    engine.restore(0)
    shared = SharedLink()
    links = {0: SlowLink(0, engine, shared)}
    shared.free_at = time.monotonic() + 0.16
    client = GroupClient(GROUP, 1, links, link_bits_per_s=LINK_BITS_PER_S)
    reader = CountReader(LINK_BITS_PER_S)
    reading = gevent.spawn(reader.fetch, client, links, MODEL)
    gevent.sleep(0.01)
    with reader.paused():
        assert reading.ready()

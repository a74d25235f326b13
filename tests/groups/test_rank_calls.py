"""Requests from a coordinator to rank agents, over loopback."""

import random

import gevent
import pytest

from standins.pass_group import GROUP, PassGroup
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.rank_calls import NoAnswer, RankClient, RequestReceiver
from toucanspool.groups.rank_engine import RankEngineError
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAnswer, RankAsk
from toucanspool.wire.listener import Listener


def make_engine(group: PassGroup) -> FencedEngine:
    engine = FencedEngine(group.engine(0))
    engine.restore(0)
    return engine


def status() -> RankAsk:
    return RankAsk(action=RankAction.STATUS, group=GROUP, token=1, epoch=1)


@pytest.fixture()
def group() -> PassGroup:
    return PassGroup(2, random.Random(1))


def test_an_ask_is_answered_by_the_agent(group):
    listener = Listener(
        "127.0.0.1", 0, lambda: RequestReceiver(make_engine(group).answer)
    )
    listener.start()
    link = RankClient(
        "127.0.0.1", listener.port, make_engine(PassGroup(9, random.Random(2)))
    )
    answer = link.send(status())
    assert (answer.rank, answer.size) == (0, 2)
    link.close()
    listener.stop()


def test_the_engine_answers_while_the_agent_is_away(group):
    link = RankClient("127.0.0.1", 1, make_engine(group))
    assert link.send(status()).size == 2


def test_a_silent_agent_is_passed_over_at_once_the_next_time(group):
    def silent(request: RankAsk) -> RankAnswer:
        gevent.sleep(60)
        raise AssertionError

    listener = Listener("127.0.0.1", 0, lambda: RequestReceiver(silent))
    listener.start()
    link = RankClient("127.0.0.1", listener.port, make_engine(group))
    link.send(status())
    with gevent.Timeout(0.1):
        link.send(status())
    link.close()
    listener.stop()


def test_neither_agent_nor_engine_is_an_ask_that_is_lost(group):
    failing = group.engine(0)

    def down() -> None:
        raise RankEngineError("down")

    failing.state = down
    link = RankClient("127.0.0.1", 1, FencedEngine(failing))
    with pytest.raises(NoAnswer):
        link.send(status())

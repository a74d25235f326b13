"""Execution of rank requests behind the check of fencing tokens."""

import random

from standins.pass_group import GROUP, PassGroup
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAsk, RankResult


def test_a_map_that_can_not_be_read_is_refused():
    group = PassGroup(3, random.Random(1))
    engine = FencedEngine(group.engine(0))
    engine.restore(0)
    request = RankAsk(
        action=RankAction.PREPARE,
        group=GROUP,
        token=1,
        epoch=group.epoch,
        version=1,
        experts=b"no map",
        ranks=3,
        places=4,
    )
    answer = engine.answer(request)
    assert answer.result == RankResult.REFUSED
    assert group.rows[0].copying is None

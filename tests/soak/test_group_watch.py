"""The soak's checks of a group tell of held passes and of repeated tokens."""

import random

import pytest

from soak import group_watch
from soak.group_watch import CONTACT_S, MAX_HELD_S, GroupWatch
from soak.oracle import Oracle
from standins.pass_group import PassGroup
from tests.soak.doubles import Clock, Gateway


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(group_watch, "time", clock)
    return clock


def violations(clock, *, held_s: float, agent: Gateway, delayed_share: float = 0.0):
    """Return what is told of a pass that is held for a time."""
    oracle = Oracle()
    group = PassGroup(2, random.Random(1), delayed_share=delayed_share)
    watch = GroupWatch(group, [agent], oracle)
    group.execute(1, "hold", (1,))
    watch.check_held()
    clock.now += held_s
    watch.check_held()
    return [violation.guarantee for violation in oracle.violations]


def test_a_pass_that_stays_held(clock):
    told = violations(clock, held_s=1.1 * MAX_HELD_S, agent=Gateway())
    assert told == ["a held group goes on"]


def test_a_pass_that_is_held_for_a_moment(clock):
    assert not violations(clock, held_s=0.5 * MAX_HELD_S, agent=Gateway())


def test_a_pass_that_is_held_after_an_agent_was_disturbed(clock):
    agent = Gateway(undisturbed_s=0.5 * CONTACT_S)
    assert not violations(clock, held_s=2.0 * MAX_HELD_S, agent=agent)


def test_a_pass_that_is_held_while_orders_are_late(clock):
    held_s = 2.0 * MAX_HELD_S
    assert not violations(clock, held_s=held_s, agent=Gateway(), delayed_share=0.1)


def test_a_token_that_is_given_twice():
    oracle = Oracle()
    watch = GroupWatch(PassGroup(2, random.Random(1)), [], oracle)
    for key, holder, token in (
        ("duty/a", "rank-0", 1),
        ("duty/b", "rank-1", 1),
        ("duty/a", "rank-1", 2),
        ("lease/a", "rank-1", 2),
        ("duty/a", "rank-0", 2),
    ):
        watch.record_commit(
            key, b'{"holder":"%s","token":%d}' % (holder.encode(), token)
        )
    assert [violation.detail for violation in oracle.violations] == [
        "rank-0 elected with token 2"
    ]

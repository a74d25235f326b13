"""Attempts that run side by side close their connections, whenever they are ended."""

import time

import gevent
import pytest

from standins.raw_upstream import RawUpstream, answering
from tests.gateway.gateways import route
from toucanspool.gateway.attempt_race import AttemptRace
from toucanspool.gateway.call import Call
from toucanspool.platform.headers import PlatformDialect
from toucanspool.retries.deadline import Deadline
from toucanspool.routing.upstream import Listing, Upstream


def read_whole(attempt, until):
    attempt.begin(until)
    return attempt.read_body(until, 1000)


def start_race(upstream: Upstream, work=read_whole):
    now = time.monotonic()
    call = Call(
        id="a1",
        method="GET",
        target="/p/x",
        headers=[("Toucanspool-Attempt-Id", "a1")],
        body=b"",
        route=route(),
        routes_version=1,
        service="desk",
        team="",
        urgency=0,
        deadline=Deadline(now + 1.0),
        arrived_at=now,
    )
    race = AttemptRace(call, PlatformDialect(), work)
    return race, race.start(upstream, now + 1.0)


@pytest.fixture
def raw():
    with RawUpstream(answering()) as upstream:
        yield upstream


@pytest.fixture
def upstream(raw):
    return Upstream(Listing(name="u0", service="desk", host="127.0.0.1", port=raw.port))


def test_an_attempt_that_is_ended_before_it_runs_sends_nothing(raw, upstream):
    race, _ = start_race(upstream)
    assert upstream.in_flight == 1
    race.close()
    gevent.sleep(0.05)
    assert upstream.in_flight == 0
    assert raw.seen == []


def test_an_attempt_is_counted_once_however_often_the_race_is_closed(upstream):
    race, outcome = start_race(upstream)
    assert race.wait() is outcome
    assert outcome.value == b"answer"
    race.close()
    race.close()
    assert upstream.in_flight == 0


def test_an_attempt_that_is_ended_at_any_moment_is_closed(upstream):
    """Guards against losing one that ends by itself as it is told to."""
    for step in range(60):
        race, _ = start_race(upstream)
        gevent.sleep(step * 0.00005)
        race.close()
        gevent.sleep(0.01)
        assert upstream.in_flight == 0


def test_an_unexpected_error_reaches_the_greenlet_that_waits(upstream):
    """Guards against a call that waits forever since its attempt had a fault."""

    def faulty(attempt, until):
        raise ZeroDivisionError

    race, _ = start_race(upstream, faulty)
    with pytest.raises(ZeroDivisionError), gevent.Timeout(1.0):
        race.wait().raise_unexpected()
    race.close()
    assert upstream.in_flight == 0

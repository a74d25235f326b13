"""The soak's check of evacuations tells of requests in spite of them, and no others.

A check that excuses too much would let requests reach an evacuated failure domain.
"""

import pytest

from soak import evacuation_watch
from soak.evacuation_watch import EVACUATE_S, EvacuationWatch
from soak.oracle import Oracle
from standins.row_store import RowStorePages
from tests.soak.doubles import Clock, Gateway

ROW = "evacuate/one"


class Evacuation:
    """A watch of one gateway."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.gateway = Gateway()
        self.oracle = Oracle()
        self.pages = RowStorePages()
        self.watch = EvacuationWatch(
            self.oracle, self.pages, [self.gateway], lambda call: self.gateway
        )
        assert self.watch.evacuate("one")

    def wait(self, seconds: float, *, alone_s: float = 100.0) -> None:
        """Let time pass, with the gateway left alone for some time at its end."""
        self.clock.now += seconds
        self.gateway._undisturbed_s = alone_s
        self.watch.update()

    def violations(self, domain: str = "one") -> int:
        """Return how many there are after another request."""
        self.watch.record_request("u", domain, "c")
        return len(self.oracle.violations)


@pytest.fixture
def evacuation(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(evacuation_watch, "time", clock)
    monkeypatch.setattr("soak.oracle.time", clock)
    return Evacuation(clock)


def test_requests_within_the_time_allowed(evacuation):
    evacuation.wait(EVACUATE_S - 0.1)
    assert not evacuation.violations()


def test_late_requests(evacuation):
    evacuation.wait(EVACUATE_S + 0.1)
    assert not evacuation.violations("two")
    assert evacuation.violations() == 1


def test_requests_of_a_gateway_that_was_disturbed_since(evacuation):
    evacuation.wait(EVACUATE_S + 0.1, alone_s=1.0)
    assert not evacuation.violations()


def test_requests_of_a_gateway_that_lost_the_store_afterwards(evacuation):
    evacuation.wait(EVACUATE_S + 0.1)
    evacuation.wait(EVACUATE_S, alone_s=0.0)
    assert evacuation.violations() == 1


def test_requests_of_a_gateway_that_restarted_in_between(evacuation):
    evacuation.gateway.started_at = evacuation.clock.now + 1.0
    evacuation.wait(EVACUATE_S + 0.1, alone_s=1.0)
    assert evacuation.violations() == 1


def test_requests_after_the_row_was_removed(evacuation):
    evacuation.wait(EVACUATE_S + 0.1)
    assert evacuation.watch.take_back("one") == {("g", 1)}
    assert evacuation.pages.row("op", ROW) is None
    assert not evacuation.violations()


def test_a_restored_store_gets_the_row_again(evacuation):
    evacuation.wait(EVACUATE_S + 0.1)
    evacuation.pages.drop("op", ROW)
    evacuation.watch.record_restore()
    evacuation.wait(1.0)
    evacuation.watch.rewrite(["one"])
    assert evacuation.pages.row("op", ROW) == b"{}"
    assert evacuation.violations() == 1


def test_a_gateway_without_the_store_may_forget_a_row_that_a_restore_lost(evacuation):
    evacuation.wait(EVACUATE_S + 0.1)
    evacuation.watch.record_restore()
    evacuation.wait(1.0, alone_s=0.0)
    assert not evacuation.violations()

"""Checks the limit on streams under pauses simulated with the engine model."""

import pytest

from toucanspool.limits.adaptive_limit import AdaptiveLimit, pass_s
from toucanspool.routing.routes import EngineModel

ENGINE = EngineModel(
    slots=6,
    step_base_s=0.00455,
    step_per_request_s=0.00181,
    prefill_tokens_per_s=61_400.0,
    steps_per_pass=4,
    mean_prompt_tokens=835.0,
    mean_answer_tokens=97.0,
)
UPSTREAMS, ENTRIES = 12, 6
PAUSE_S = 0.12
UPDATE_INTERVAL_S = 0.1


class Group:
    """Simulate a lock-step group on which all entries put the same load.

    Parameters
    ----------
    slowdown : float
        Duration of its passes, as a multiple of the duration in the model.
    """

    def __init__(self, slowdown: float) -> None:
        self.slowdown = slowdown
        self.limit = AdaptiveLimit(PAUSE_S, 8.0)
        self.now = 100.0
        self.running = 0

    def run(self, seconds: float, *, max_streams: int = 1000) -> float:
        """Let callers use all capacity up to a number, and return the limit."""
        for _ in range(int(seconds / UPDATE_INTERVAL_S)):
            streams = self.limit.adapt(
                ENGINE, UPSTREAMS, ENTRIES, self.running, self.now
            )
            self.running = min(int(streams), max_streams)
            for _ in range(self.running):
                self.limit.record_pause(self.pause_s)
            self.now += UPDATE_INTERVAL_S
        return self.limit.limit

    @property
    def pause_s(self) -> float:
        """Return the duration of a pass, in seconds."""
        return self.slowdown * pass_s(ENGINE, self.running * ENTRIES / UPSTREAMS)


@pytest.mark.parametrize("slowdown", [1.0, 1.3, 1.6, 2.0])
def test_pauses_stay_on_time_with_all_capacity_used(slowdown):
    group = Group(slowdown)
    assert group.run(5.0) >= 2.0
    assert group.pause_s < PAUSE_S


def test_all_slots_of_a_balanced_group_are_used():
    assert Group(1.0).run(3.0) == ENGINE.slots * UPSTREAMS / ENTRIES


def test_the_limit_recovers_within_a_second_after_a_slow_rank():
    group = Group(10.0)
    low = group.run(8.0)
    group.slowdown = 1.0
    assert group.run(1.0) > 0.8 * ENGINE.slots * UPSTREAMS / ENTRIES > low


def test_responses_complete_in_time_where_no_pause_can_be_on_time():
    group = Group(5.0)
    assert group.run(5.0) > 2.0
    events = ENGINE.mean_answer_tokens / ENGINE.steps_per_pass
    assert group.pause_s * events < 8.0


def test_the_limit_also_recovers_with_few_streams():
    group = Group(10.0)
    group.run(3.0)
    group.slowdown = 1.0
    assert group.run(1.5, max_streams=1) > 0.8 * ENGINE.slots * UPSTREAMS / ENTRIES


def test_a_single_entry_gets_the_total_limit():
    limit = AdaptiveLimit(PAUSE_S, 8.0)
    alone = limit.adapt(ENGINE, UPSTREAMS, 1, 0, 1.0)
    assert alone == ENGINE.slots * UPSTREAMS
    assert limit.adapt(ENGINE, UPSTREAMS, ENTRIES, 0, 1.1) == alone / ENTRIES


def test_an_upstream_that_takes_few_requests_counts_for_the_streams_they_keep_running():
    group = Group(1.0)
    group.run(10.0)
    response_s = group.limit.mean_pause_s * ENGINE.mean_answer_tokens / 4
    per_upstream = group.limit.limit * ENTRIES / UPSTREAMS
    full = per_upstream / response_s
    assert group.limit.usable_fraction(ENGINE, full / 2) == pytest.approx(0.5, rel=0.05)
    assert group.limit.usable_fraction(ENGINE, 2 * full) == 1.0
    assert group.limit.usable_fraction(ENGINE, 0.0) == 0.0


def test_a_group_whose_upstreams_take_nothing_keeps_the_least_limit():
    group = Group(1.0)
    group.run(10.0)
    limit = group.limit.adapt(ENGINE, UPSTREAMS, ENTRIES, 5.0, group.now, usable=0.0)
    assert limit == 1.0

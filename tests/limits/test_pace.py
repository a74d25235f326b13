"""The number of streams for the pauses seen, under loads played by the model."""

import pytest

from toucanspool.limits.pace import Pace, pass_s
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
LOOK_S = 0.1


class Group:
    """Play a lock-step group that all entries load alike.

    Parameters
    ----------
    stretch : float
        How many times as long as by the model its passes take.
    """

    def __init__(self, stretch: float) -> None:
        self.stretch = stretch
        self.pace = Pace(PAUSE_S, 8.0)
        self.now = 100.0
        self.running = 0

    def play(self, seconds: float, *, wanted: int = 1000) -> float:
        """Let callers take all room that there is, and return the limit."""
        for _ in range(int(seconds / LOOK_S)):
            limit = self.pace.adapt(ENGINE, UPSTREAMS, ENTRIES, self.running, self.now)
            self.running = min(int(limit), wanted)
            for _ in range(self.running):
                self.pace.paused(self.pause_s)
            self.now += LOOK_S
        return self.pace.limit

    @property
    def pause_s(self) -> float:
        """Return the time of a pass, in seconds."""
        return self.stretch * pass_s(ENGINE, self.running * ENTRIES / UPSTREAMS)


@pytest.mark.parametrize("stretch", [1.0, 1.3, 1.6, 2.0])
def test_pauses_stay_in_time_with_all_room_taken(stretch):
    group = Group(stretch)
    assert group.play(5.0) >= 2.0
    assert group.pause_s < PAUSE_S


def test_a_well_balanced_group_is_used_whole():
    assert Group(1.0).play(3.0) == ENGINE.slots * UPSTREAMS / ENTRIES


def test_the_limit_is_back_a_second_after_a_slow_rank_is_well():
    group = Group(10.0)
    low = group.play(8.0)
    group.stretch = 1.0
    assert group.play(1.0) > 0.8 * ENGINE.slots * UPSTREAMS / ENTRIES > low


def test_where_no_pause_can_be_in_time_answers_still_come_whole():
    group = Group(5.0)
    assert group.play(5.0) > 2.0
    events = ENGINE.mean_answer_tokens / ENGINE.steps_per_pass
    assert group.pause_s * events < 8.0


def test_few_streams_say_as_much_as_many():
    group = Group(10.0)
    group.play(3.0)
    group.stretch = 1.0
    assert group.play(1.5, wanted=1) > 0.8 * ENGINE.slots * UPSTREAMS / ENTRIES


def test_an_entry_that_is_alone_carries_what_all_did():
    pace = Pace(PAUSE_S, 8.0)
    alone = pace.adapt(ENGINE, UPSTREAMS, 1, 0, 1.0)
    assert alone == ENGINE.slots * UPSTREAMS
    assert pace.adapt(ENGINE, UPSTREAMS, ENTRIES, 0, 1.1) == alone / ENTRIES

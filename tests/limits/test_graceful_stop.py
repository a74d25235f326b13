"""Admission of calls by a process that stops."""

import gevent
import gevent.event
import pytest

from toucanspool.limits.graceful_stop import GracefulStop, StopTimeUp
from toucanspool.retries.deadline import Deadline


@pytest.mark.parametrize(
    ("deadline", "now", "accepted"),
    [
        (99.0, 11.9, True),
        (99.0, 12.0, False),
        (17.4, 12.0, True),
        (17.5, 12.0, False),
    ],
)
def test_late_calls_are_accepted_only_if_they_end_in_time(deadline, now, accepted):
    """Guards against calls that are cut off, and against needless refusals."""
    stop = GracefulStop()
    stop.begin(10.0, open_s=2.0, time_s=7.4)
    assert stop.accepts(Deadline(deadline), now) is accepted


def test_all_calls_are_accepted_until_the_stop_begins():
    assert GracefulStop().accepts(Deadline(1e9), 1e6)


def test_only_calls_without_an_answer_are_ended():
    """Guards against exceptions in the middle of replies."""
    stop = GracefulStop()

    def answer(unanswered_s: float) -> str:
        try:
            with stop.answering():
                gevent.sleep(unanswered_s)
        except StopTimeUp:
            return "ended"
        gevent.sleep(0.05)
        return "answered"

    calls = [gevent.spawn(answer, seconds) for seconds in (5.0, 0.0)]
    gevent.sleep(0.02)
    stop.end_unanswered()
    assert [call.get(timeout=1.0) for call in calls] == ["ended", "answered"]


def test_a_call_that_answers_meanwhile_is_not_ended():
    """Guards against an exception that arrives after the block it is meant for."""
    stop, answered = GracefulStop(), gevent.event.Event()

    def answer() -> str:
        with stop.answering():
            answered.wait()
        gevent.sleep(0.02)
        return "answered"

    call = gevent.spawn(answer)
    gevent.sleep(0)
    answered.set()
    stop.end_unanswered()
    assert call.get(timeout=1.0) == "answered"

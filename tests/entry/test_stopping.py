"""Requests that an entry accepts, sends again and ends while it stops."""

import time

import gevent
import pytest

from tests.entry.fakes import (
    breaks_after,
    make_dispatcher,
    make_request,
    refused,
    replies_with,
    streams,
    unreachable,
)
from tests.entry.test_dispatcher import classify
from toucanspool.entry.problems import Problem
from toucanspool.protected.clock import MonotonicClock
from toucanspool.retries.deadline import Deadline
from toucanspool.wire.gen.messages.ttypes import Outcome, Refusal


def stopping(dispatcher, *, open_s: float = 0.0, time_s: float = 1.0) -> None:
    dispatcher.graceful_stop.begin(time.monotonic(), open_s=open_s, time_s=time_s)


def outcome(dispatcher, request) -> tuple[int, int]:
    """Return status and outcome of the problem with which a request ends."""
    with pytest.raises(Problem) as caught:
        dispatcher.dispatch(request)
    return caught.value.status, caught.value.outcome


def test_a_request_that_may_outlast_the_entry_is_refused():
    dispatcher, link = make_dispatcher(streams)
    stopping(dispatcher)
    assert outcome(dispatcher, make_request()) == (503, Outcome.NOT_RUN)
    assert not link.opened_calls
    assert dispatcher.running == 0


def test_a_request_that_ends_before_the_entry_is_served():
    dispatcher, _ = make_dispatcher(streams)
    stopping(dispatcher)
    req = make_request()
    req.deadline = Deadline.after(0.5, MonotonicClock().now())
    assert classify(b"".join(dispatcher.dispatch(req))) == "whole"


def test_a_request_is_refused_once_the_entry_has_ended_the_last_ones():
    """Guards against work that is cut off while the other services are closed.

    An entry without requests ends long before the grace period does.
    """
    dispatcher, link = make_dispatcher(streams)
    stopping(dispatcher, open_s=60.0, time_s=60.0)
    dispatcher.graceful_stop.end_unanswered()
    assert outcome(dispatcher, make_request()) == (503, Outcome.NOT_RUN)
    assert not link.opened_calls


def test_a_request_that_waited_is_refused_if_it_may_outlast_the_entry():
    """Guards against late requests that were on time as they arrived."""

    def slow(message):
        gevent.sleep(0.1)
        return streams(message)

    dispatcher, link = make_dispatcher(slow, streams)
    dispatcher._gate.admission.resize(1.0, time.monotonic())
    first = gevent.spawn(lambda: b"".join(dispatcher.dispatch(make_request())))
    gevent.sleep(0.02)
    second = gevent.spawn(outcome, dispatcher, make_request())
    gevent.sleep(0.02)
    stopping(dispatcher)
    assert classify(first.get(timeout=2.0)) == "whole"
    dispatcher._gate.admission.resize(2.0, time.monotonic())
    assert second.get(timeout=2.0) == (503, Outcome.NOT_RUN)
    assert len(link.opened_calls) == 1


@pytest.mark.parametrize(
    "first", [unreachable, replies_with(refused(Refusal.DRAINING))]
)
def test_a_request_that_has_not_run_is_not_sent_again_late(first):
    """Guards against retries that are cut off as the process ends."""

    def late(message):
        stopping(dispatcher)
        return first(message)

    dispatcher, link = make_dispatcher(late, streams)
    assert outcome(dispatcher, make_request()) == (503, Outcome.NOT_RUN)
    assert len(link.opened_calls) <= 1


@pytest.mark.parametrize("refusal", [Refusal.KEY_REUSED, Refusal.IN_PROGRESS])
def test_verdicts_on_a_key_are_told_also_late(refusal):
    """Guards against a 503 that hides why a request can't be run."""

    def late(message):
        stopping(dispatcher)
        return replies_with(refused(refusal))(message)

    dispatcher, _ = make_dispatcher(late)
    assert outcome(dispatcher, make_request())[0] in (409, 422)


def test_a_stream_that_has_begun_is_resumed_also_late():
    def late(message):
        stopping(dispatcher)
        return breaks_after(4)(message)

    dispatcher, _ = make_dispatcher(late, streams)
    assert classify(b"".join(dispatcher.dispatch(make_request()))) == "whole"


def test_a_request_without_an_answer_as_the_entry_ends_is_unknown():
    """Guards against connections that are closed without a word."""

    def hanging(message):
        gevent.sleep(5.0)

    dispatcher, _ = make_dispatcher(hanging)
    call = gevent.spawn(outcome, dispatcher, make_request())
    gevent.sleep(0.02)
    dispatcher.graceful_stop.end_unanswered()
    assert call.get(timeout=1.0) == (504, Outcome.UNKNOWN)
    assert dispatcher.running == 0

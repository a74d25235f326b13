"""The whole answer and only one's own; "not run" is told only where it is true."""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.answers import DEFAULT_TOKENS, answer_token, prompt_seed
from tests.entry.fakes import (
    MESSAGES,
    STREAM_HEAD,
    answers,
    breaks_after,
    chunks,
    completed,
    events,
    make_dispatcher,
    make_request,
    refused,
    says,
    streams,
    unreachable,
)
from toucanspool.entry.attempt import Attempt
from toucanspool.entry.dispatcher import Dispatcher
from toucanspool.entry.problems import Problem
from toucanspool.wire.gen.messages.ttypes import Chunk, Outcome, Refusal


def text_of(data: bytes) -> str:
    """Return the text in a stream's events."""
    parts = []
    for item in data.split(b"\n\n"):
        if item.startswith(b"data: {"):
            choice = orjson.loads(item[6:])["choices"][0]
            parts.append(choice["delta"].get("content", ""))
    return "".join(parts)


def expected(tokens: int = DEFAULT_TOKENS) -> str:
    """Return the answer's text."""
    seed = prompt_seed(MESSAGES)
    return "".join(answer_token(seed, index) for index in range(tokens))


def verdict(data: bytes, tokens: int = DEFAULT_TOKENS) -> str:
    """Judge what a caller received, by nothing but the bytes."""
    text = text_of(data)
    looks_whole = data.endswith(b"data: [DONE]\n\n") and b"event: error" not in data
    if looks_whole:
        return "whole" if text == expected(tokens) else "WRONG"
    return "cut" if expected(tokens).startswith(text) else "WRONG"


@pytest.mark.parametrize("count", range(0, DEFAULT_TOKENS + 2, 3))
def test_broken_stream_goes_on_at_its_offset(count):
    dispatcher, _ = make_dispatcher(breaks_after(count), streams)
    data = b"".join(dispatcher.dispatch(make_request()))
    assert verdict(data) == "whole"


@pytest.mark.parametrize("count", [0, 1, 7, 10, 11])
def test_broken_stream_keeps_to_the_callers_length(count):
    dispatcher, _ = make_dispatcher(breaks_after(count), streams)
    data = b"".join(dispatcher.dispatch(make_request(body={"max_tokens": 10})))
    assert verdict(data, 10) == "whole"


def test_second_break_goes_on_again():
    dispatcher, _ = make_dispatcher(breaks_after(5), breaks_after(4), streams)
    assert verdict(b"".join(dispatcher.dispatch(make_request()))) == "whole"


def test_lost_end_after_the_last_event_is_a_whole_answer():
    dispatcher, link = make_dispatcher(breaks_after(DEFAULT_TOKENS + 2), streams)
    assert verdict(b"".join(dispatcher.dispatch(make_request()))) == "whole"
    assert len(link.opened) == 1


def test_stream_that_can_not_go_on_ends_in_an_error():
    dispatcher, _ = make_dispatcher(breaks_after(5))
    data = b"".join(dispatcher.dispatch(make_request()))
    assert verdict(data) == "cut"
    assert b'"outcome":"unknown"' in data


def test_two_answers_at_once_are_not_continued():
    dispatcher, _ = make_dispatcher(breaks_after(5), streams)
    data = b"".join(dispatcher.dispatch(make_request(body={"n": 2})))
    assert verdict(data) == "cut"


FAULTS = ("lost", "repeated", "swapped", "foreign", "cut", "short end")


def torn(fault: str, place: int):
    """Return a script whose stream is damaged at a place."""

    def script(opened):
        made = chunks(events(opened.body))
        end = completed([chunk.data for chunk in made])
        at = place % (len(made) - 1)
        if fault == "lost":
            del made[at]
        elif fault == "repeated":
            made.insert(at, made[at])
        elif fault == "swapped":
            made[at], made[at + 1] = made[at + 1], made[at]
        elif fault == "foreign":
            made.insert(at, Chunk(call=1, offset=7, data=made[0].data))
        elif fault == "cut":
            del made[at:]
            end = refused(Refusal.BROKEN, Outcome.UNKNOWN)
        else:
            made = made[:at]
        return [STREAM_HEAD, *made, end]

    return script


PLANS = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.integers(0, 40)), min_size=0, max_size=2
)


def judge(plan, kind: type[Dispatcher] = Dispatcher) -> str:
    """Return the verdict on a request whose attempts are damaged by a plan."""
    scripts = [torn(fault, place) for fault, place in plan]
    dispatcher, _ = make_dispatcher(*scripts, streams, kind=kind)
    return verdict(b"".join(dispatcher.dispatch(make_request())))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(plan=PLANS)
def test_damaged_streams_never_give_a_wrong_answer(plan):
    assert judge(plan) == "whole"


class UncheckedAttempt(Attempt):
    """An attempt that takes what comes, as if offsets were not there."""

    __slots__ = ()

    def iter_body(self):
        """Yield what comes."""
        while isinstance(message := self._next_message(), Chunk):
            yield message.data


@pytest.mark.parametrize("fault", ["lost", "repeated", "swapped", "foreign"])
def test_without_offsets_the_oracle_sees_the_damage(fault, monkeypatch):
    monkeypatch.setattr("toucanspool.entry.dispatcher.Attempt", UncheckedAttempt)
    assert judge([(fault, 9)]) == "WRONG"


@pytest.mark.parametrize("fault", ["cut", "short end"])
def test_without_resuming_the_answer_is_cut(fault, monkeypatch):
    broken = "toucanspool.entry.dispatcher.resume_body"
    monkeypatch.setattr(broken, lambda body, text, tokens: body)
    assert judge([(fault, 9)]) == "WRONG"


def told(dispatcher: Dispatcher, **fields) -> Problem:
    """Return what a caller is told in place of an answer."""
    with pytest.raises(Problem) as caught:
        dispatcher.dispatch(make_request(stream=False, **fields))
    return caught.value


def test_refused_everywhere_is_not_run():
    dispatcher, _ = make_dispatcher(
        says(refused(Refusal.DRAINING)), says(refused(Refusal.DRAINING)), unreachable
    )
    problem = told(dispatcher)
    assert (problem.status, problem.outcome) == (503, Outcome.NOT_RUN)
    assert problem.retry_after_s > 0


@pytest.mark.parametrize("last", [unreachable, says(refused(Refusal.BUSY))])
def test_one_attempt_that_may_have_run_makes_the_request_unknown(last):
    broken = says(refused(Refusal.BROKEN, Outcome.UNKNOWN))
    dispatcher, _ = make_dispatcher(broken, last)
    assert told(dispatcher).outcome == Outcome.UNKNOWN


def test_no_upstream_left_after_a_broken_attempt_is_unknown():
    broken = says(refused(Refusal.BROKEN, Outcome.UNKNOWN))
    dispatcher, _ = make_dispatcher(broken)
    assert told(dispatcher).outcome == Outcome.UNKNOWN


def test_what_may_have_run_is_not_sent_again():
    broken = says(refused(Refusal.BROKEN, Outcome.UNKNOWN))
    dispatcher, link = make_dispatcher(broken, answers(b"{}"))
    problem = told(dispatcher, idempotent=False, guarded=True, idempotency_key="k")
    assert problem.outcome == Outcome.UNKNOWN
    assert len(link.opened) == 1


def test_guarded_call_refused_before_it_ran_goes_elsewhere():
    dispatcher, link = make_dispatcher(
        says(refused(Refusal.UNREACHABLE)), answers(b"{}")
    )
    req = make_request(
        stream=False, idempotent=False, guarded=True, idempotency_key="k"
    )
    assert b"".join(dispatcher.dispatch(req)) == b"{}"
    assert len(link.opened) == 2


@pytest.mark.parametrize(
    "refusal", [Refusal.TABLE_DOWN, Refusal.IN_PROGRESS, Refusal.KEY_REUSED]
)
def test_verdicts_on_a_key_are_final(refusal):
    dispatcher, link = make_dispatcher(says(refused(refusal)), answers(b"{}"))
    told(dispatcher, idempotent=False, guarded=True, idempotency_key="k")
    assert len(link.opened) == 1


def test_every_ticket_is_given_back():
    dispatcher, _ = make_dispatcher(breaks_after(3), streams)
    reply = dispatcher.dispatch(make_request())
    assert dispatcher.running == 1
    reply.close()
    assert dispatcher.running == 0

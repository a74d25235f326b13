"""Tests of the dispatcher: no damaged replies, and correct outcomes of errors.

A caller gets its own complete reply or an error. An error says "not run" only if no
attempt can have run the request.
"""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.answers import DEFAULT_TOKENS, answer_token, prompt_seed
from tests.entry.fakes import (
    MESSAGES,
    STREAM_HEAD,
    breaks_after,
    chunks,
    completed,
    events,
    make_dispatcher,
    make_request,
    refused,
    replies_whole,
    replies_with,
    streams,
    unreachable,
)
from toucanspool.entry.attempt import Attempt
from toucanspool.entry.dispatcher import Dispatcher
from toucanspool.entry.problems import Problem
from toucanspool.wire.gen.messages.ttypes import Chunk, Head, Outcome, Refusal


def text_of(data: bytes) -> str:
    """Return the text of the events of a stream."""
    parts = []
    for item in data.split(b"\n\n"):
        if item.startswith(b"data: {"):
            choice = orjson.loads(item[6:])["choices"][0]
            parts.append(choice["delta"].get("content", ""))
    return "".join(parts)


def expected_text(tokens: int = DEFAULT_TOKENS) -> str:
    """Return the text of the correct reply."""
    seed = prompt_seed(MESSAGES)
    return "".join(answer_token(seed, index) for index in range(tokens))


def classify(data: bytes, tokens: int = DEFAULT_TOKENS) -> str:
    """Classify the bytes that a caller received as whole, cut or wrong."""
    text = text_of(data)
    looks_whole = data.endswith(b"data: [DONE]\n\n") and b"event: error" not in data
    if looks_whole:
        return "whole" if text == expected_text(tokens) else "WRONG"
    return "cut" if expected_text(tokens).startswith(text) else "WRONG"


@pytest.mark.parametrize("count", range(0, DEFAULT_TOKENS + 2, 3))
def test_broken_stream_goes_on_at_its_offset(count):
    dispatcher, _ = make_dispatcher(breaks_after(count), streams)
    data = b"".join(dispatcher.dispatch(make_request()))
    assert classify(data) == "whole"


@pytest.mark.parametrize("count", [0, 1, 7, 10, 11])
def test_broken_stream_keeps_to_the_callers_length(count):
    dispatcher, _ = make_dispatcher(breaks_after(count), streams)
    data = b"".join(dispatcher.dispatch(make_request(body={"max_tokens": 10})))
    assert classify(data, 10) == "whole"


def test_second_break_goes_on_again():
    dispatcher, _ = make_dispatcher(breaks_after(5), breaks_after(4), streams)
    assert classify(b"".join(dispatcher.dispatch(make_request()))) == "whole"


def test_lost_end_after_the_last_event_is_a_whole_answer():
    dispatcher, link = make_dispatcher(breaks_after(DEFAULT_TOKENS + 2), streams)
    assert classify(b"".join(dispatcher.dispatch(make_request()))) == "whole"
    assert len(link.opened_calls) == 1


def test_stream_that_can_not_go_on_ends_in_an_error():
    dispatcher, _ = make_dispatcher(breaks_after(5))
    data = b"".join(dispatcher.dispatch(make_request()))
    assert classify(data) == "cut"
    assert b'"outcome":"unknown"' in data


def ends_after(count: int):
    """Return a script whose stream is reported complete without its last events."""

    def script(message):
        pieces = events(message.body)[:count]
        return [STREAM_HEAD, *chunks(pieces), completed(pieces)]

    return script


@pytest.mark.parametrize("count", [0, 5, DEFAULT_TOKENS])
def test_a_stream_that_ends_without_its_end_marker_goes_on(count):
    dispatcher, _ = make_dispatcher(ends_after(count), streams)
    assert classify(b"".join(dispatcher.dispatch(make_request()))) == "whole"


def test_a_stream_that_ends_without_its_end_marker_does_not_look_complete():
    dispatcher, _ = make_dispatcher(ends_after(5))
    data = b"".join(dispatcher.dispatch(make_request()))
    assert classify(data) == "cut"
    assert b'"outcome":"unknown"' in data


@pytest.mark.parametrize(("stream", "framed"), [(False, False), (True, True)])
def test_only_a_chat_stream_needs_no_framing(stream, framed):
    def script(message):
        head = STREAM_HEAD if stream else Head(status=200, headers={})
        head = Head(status=200, headers=head.headers, framed=False)
        pieces = events(message.body)
        return [head, *chunks(pieces), completed(pieces)]

    dispatcher, _ = make_dispatcher(script)
    assert dispatcher.dispatch(make_request(stream=stream)).framed is framed


def test_two_answers_at_once_are_not_continued():
    dispatcher, _ = make_dispatcher(breaks_after(5), streams)
    data = b"".join(dispatcher.dispatch(make_request(body={"n": 2})))
    assert classify(data) == "cut"


FAULTS = ("lost", "repeated", "swapped", "foreign", "cut", "short end")


def damaged_stream(fault: str, position: int):
    """Return a script whose stream has a fault at a position."""

    def script(message):
        sent = chunks(events(message.body))
        end = completed([chunk.data for chunk in sent])
        at = position % (len(sent) - 1)
        if fault == "lost":
            del sent[at]
        elif fault == "repeated":
            sent.insert(at, sent[at])
        elif fault == "swapped":
            sent[at], sent[at + 1] = sent[at + 1], sent[at]
        elif fault == "foreign":
            sent.insert(at, Chunk(call=1, offset=7, data=sent[0].data))
        elif fault == "cut":
            del sent[at:]
            end = refused(Refusal.BROKEN, Outcome.UNKNOWN)
        else:
            sent = sent[:at]
        return [STREAM_HEAD, *sent, end]

    return script


PLANS = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.integers(0, 40)), min_size=0, max_size=2
)


def judge(plan, kind: type[Dispatcher] = Dispatcher) -> str:
    """Return the class of the reply to a request with a fault in each attempt."""
    scripts = [damaged_stream(fault, position) for fault, position in plan]
    dispatcher, _ = make_dispatcher(*scripts, streams, kind=kind)
    return classify(b"".join(dispatcher.dispatch(make_request())))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(plan=PLANS)
def test_damaged_streams_never_give_a_wrong_answer(plan):
    assert judge(plan) == "whole"


class UncheckedAttempt(Attempt):
    """Attempt that does not check the offsets of chunks."""

    __slots__ = ()

    def iter_body(self):
        """Yield all chunks as received."""
        while isinstance(message := self._next_message(), Chunk):
            yield message.data


@pytest.mark.parametrize("fault", ["lost", "repeated", "swapped", "foreign"])
def test_without_offsets_the_oracle_sees_the_damage(fault, monkeypatch):
    monkeypatch.setattr("toucanspool.entry.dispatcher.Attempt", UncheckedAttempt)
    assert judge([(fault, 9)]) == "WRONG"


@pytest.mark.parametrize("fault", ["cut", "short end"])
def test_without_resuming_the_answer_is_cut(fault, monkeypatch):
    target = "toucanspool.entry.dispatcher.resume_body"
    monkeypatch.setattr(target, lambda body, text, tokens: body)
    assert judge([(fault, 9)]) == "WRONG"


def dispatch_error(dispatcher: Dispatcher, **fields) -> Problem:
    """Return the error that the caller gets."""
    with pytest.raises(Problem) as caught:
        dispatcher.dispatch(make_request(stream=False, **fields))
    return caught.value


def test_refused_everywhere_is_not_run():
    dispatcher, _ = make_dispatcher(
        replies_with(refused(Refusal.DRAINING)),
        replies_with(refused(Refusal.DRAINING)),
        unreachable,
    )
    problem = dispatch_error(dispatcher)
    assert (problem.status, problem.outcome) == (503, Outcome.NOT_RUN)
    assert problem.retry_after_s > 0


@pytest.mark.parametrize("last", [unreachable, replies_with(refused(Refusal.BUSY))])
def test_one_attempt_that_may_have_run_makes_the_request_unknown(last):
    broken = replies_with(refused(Refusal.BROKEN, Outcome.UNKNOWN))
    dispatcher, _ = make_dispatcher(broken, last)
    assert dispatch_error(dispatcher).outcome == Outcome.UNKNOWN


def test_no_upstream_left_after_a_broken_attempt_is_unknown():
    broken = replies_with(refused(Refusal.BROKEN, Outcome.UNKNOWN))
    dispatcher, _ = make_dispatcher(broken)
    assert dispatch_error(dispatcher).outcome == Outcome.UNKNOWN


def test_what_may_have_run_is_not_sent_again():
    broken = replies_with(refused(Refusal.BROKEN, Outcome.UNKNOWN))
    dispatcher, link = make_dispatcher(broken, replies_whole(b"{}"))
    problem = dispatch_error(
        dispatcher, idempotent=False, guarded=True, idempotency_key="k"
    )
    assert problem.outcome == Outcome.UNKNOWN
    assert len(link.opened_calls) == 1


def test_guarded_call_refused_before_it_ran_goes_elsewhere():
    dispatcher, link = make_dispatcher(
        replies_with(refused(Refusal.UNREACHABLE)), replies_whole(b"{}")
    )
    req = make_request(
        stream=False, idempotent=False, guarded=True, idempotency_key="k"
    )
    assert b"".join(dispatcher.dispatch(req)) == b"{}"
    assert len(link.opened_calls) == 2


@pytest.mark.parametrize(
    "refusal", [Refusal.TABLE_DOWN, Refusal.IN_PROGRESS, Refusal.KEY_REUSED]
)
def test_verdicts_on_a_key_are_final(refusal):
    dispatcher, link = make_dispatcher(
        replies_with(refused(refusal)), replies_whole(b"{}")
    )
    dispatch_error(dispatcher, idempotent=False, guarded=True, idempotency_key="k")
    assert len(link.opened_calls) == 1


def test_every_ticket_is_given_back():
    dispatcher, _ = make_dispatcher(breaks_after(3), streams)
    reply = dispatcher.dispatch(make_request())
    assert dispatcher.running == 1
    reply.close()
    assert dispatcher.running == 0

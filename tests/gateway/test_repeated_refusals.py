"""An upstream writes a refusal of an earlier call once more, while it runs this one.

Guards against telling callers that a call was not run, and against running it at
another upstream, because of a refusal that is not its own. A connection carries one
call, so the copy stands before, inside or behind the answer to this one.
"""

import itertools

import gevent
import pytest

from standins.raw_upstream import ReceivedRequest, reply
from tests.gateway.gateways import RESET, Gateway, gateway, route
from tests.replies import FAILURES, FRAMINGS, MEDIA_TYPES, PROMISES
from toucanspool.platform import headers as names
from toucanspool.routing.routes import CallKind

KINDS = {
    "at most once": route(CallKind.AT_MOST_ONCE, max_attempts=1),
    "at most once, two attempts": route(CallKind.AT_MOST_ONCE, max_attempts=2),
    "stream that can't be resumed": route(CallKind.STREAM, max_attempts=2),
}


def refusal(
    status: str,
    *,
    call_id: str = "",
    not_run: bool = True,
    media_type: str = "",
    framing: str = "length",
) -> bytes:
    """Return the bytes of a refusal; without an id, it doesn't say which call it is."""
    lines = [f"HTTP/1.1 {status}", "Retry-After: 0.1"]
    lines += [f"{names.NOT_EXECUTED}: 1"] if not_run else []
    lines += [f"{names.ATTEMPT_ID}: {call_id}"] if call_id else []
    lines += [f"Content-Type: {media_type}"] if media_type else []
    body = b"full\n\n"
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def done(request: ReceivedRequest) -> bytes:
    return reply(request, b"data: done\n\n", headers="Content-Type: text/event-stream")


def check(gw: Gateway, what: object) -> None:
    """Check that a call which has run is neither called not run nor run again."""
    gw.core._balancer.set_tie_offset(0.0)
    status, _, body = gw.call("POST", body=b"book")
    assert sum(len(upstream.seen) for upstream in gw.upstreams) == 1, what
    assert status not in PROMISES, what
    assert b"not_run" not in body, what
    assert status in (0, 502, 504) or b"data: done" in body, (what, body)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", FAILURES)
def test_a_refusal_of_another_call_before_the_answer_is_not_this_calls(status, kind):
    for call_id, not_run, media_type, framing in itertools.product(
        ("", "zz"), (True, False), MEDIA_TYPES, FRAMINGS
    ):
        copy = refusal(
            status,
            call_id=call_id,
            not_run=not_run,
            media_type=media_type,
            framing=framing,
        )

        def script(sock, seen, copy=copy):
            sock.sendall(copy)
            gevent.sleep(0.01)
            sock.sendall(done(seen))

        if not not_run and not call_id and int(status[:3]) not in PROMISES:
            # It promises nothing, and may be passed on.
            continue
        with gateway(script, script, routes=[KINDS[kind]]) as gw:
            check(gw, copy)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("call_id", ["", "zz", "a1"])
def test_a_part_of_a_refusal_before_the_answer_is_no_refusal(call_id, kind):
    """Guards against a refusal whose head goes on with the answer's, and so its id."""
    copy = refusal("503 Service Unavailable", call_id=call_id)
    for cut in range(1, copy.index(b"\r\n\r\n") + 4):

        def script(sock, seen, part=copy[:cut]):
            sock.sendall(part + done(seen))

        with gateway(script, script, routes=[KINDS[kind]]) as gw:
            check(gw, copy[:cut])


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", FAILURES)
def test_a_refusal_behind_the_answer_belongs_to_no_call(status, kind):
    for call_id, framing in itertools.product(("", "zz", "a1"), FRAMINGS):
        copy = refusal(status, call_id=call_id, framing=framing)

        def script(sock, seen, copy=copy):
            sock.sendall(done(seen) + copy)

        with gateway(script, script, routes=[KINDS[kind]]) as gw:
            check(gw, copy)
            # The next call has a connection of its own.
            assert gw.call("POST", body=b"next")[0] == 200


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", [s for s in FAILURES if "421" not in s])
def test_a_status_that_promises_not_run_is_only_passed_on_with_that_statement(
    status, kind
):
    """Guards against an upstream's own 503 for a call that it has run.

    A 421 that names its call is that statement.
    """

    def script(sock, seen):
        sock.sendall(reply(seen, b"failed", status=status))

    with gateway(script, script, routes=[KINDS[kind]]) as gw:
        got, head, body = gw.call("POST", body=b"book")
        assert sum(len(upstream.seen) for upstream in gw.upstreams) == 1
    if int(status[:3]) in PROMISES:
        assert got == 502
        assert b'"unknown"' in body
        assert "Signature" not in head
    else:
        assert (got, body) == (int(status[:3]), b"failed")
    assert RESET not in body


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", FAILURES)
def test_a_calls_own_refusal_sends_it_elsewhere(status, kind):
    """Guards against calls that end although they have run nowhere."""

    def turn_away(sock, seen):
        sock.sendall(refusal(status, call_id="a1"))

    def run(sock, seen):
        sock.sendall(done(seen))

    with gateway(turn_away, run, routes=[KINDS[kind]]) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        assert gw.call("POST", body=b"book")[0] == 200

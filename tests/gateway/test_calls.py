"""Calls with a complete reply, as seen by callers and upstreams."""

from socket import SO_LINGER, SOL_SOCKET

import gevent
import gevent.event
import pytest

from standins.raw_upstream import answering, reply
from tests.gateway.gateways import HOST, gateway, route
from toucanspool.routing.routes import CallKind, KeyHolder
from toucanspool.wire.http_server import RESET_ON_CLOSE

AT_MOST_ONCE_ROUTES = [route(CallKind.AT_MOST_ONCE, max_attempts=1)]


def truncated_reply(sock, seen):
    sock.sendall(reply(seen, b"whole answer")[:-4])


def closing_without_reply(sock, seen):
    sock.close()


def silent(sock, seen):
    gevent.sleep(30)


def rejecting(sock, seen):
    sock.sendall(
        reply(
            seen,
            b"",
            status="503 Full",
            headers="Toucanspool-Not-Executed: 1",
            signed=False,
        )
    )


def resetting(sock, seen):
    sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def rejecting_another_call(sock, seen):
    rejection = reply(
        seen, b"", status="503 Full", headers="Toucanspool-Not-Executed: 1"
    )
    sock.sendall(rejection.replace(b"a1", b"zz"))


def reply_to_another_call(sock, seen):
    sock.sendall(reply(seen).replace(b"a1", b"zz"))


def request_count(upstreams) -> int:
    return sum(len(upstream.seen) for upstream in upstreams)


def test_a_call_reaches_its_upstream_unchanged():
    with gateway(answering()) as gw:
        status, head, body = gw.call(
            "POST", path="/p/a%2Fb?q=1&q=2", headers="X-Own: kept", body=b"order"
        )
        seen = gw.upstreams[0].seen[0]
    assert (status, body) == (200, b"answer")
    assert "Toucanspool-Server-Signature: s.1" in head
    assert seen.head.startswith("POST /p/a%2Fb?q=1&q=2 HTTP/1.1")
    assert seen.body == b"order"
    assert seen.header("host") == HOST
    assert seen.header("x-own") == "kept"
    assert seen.header("toucanspool-expect-instance") == "u0"
    assert 0 < int(seen.header("toucanspool-deadline-ms")) <= 2000


def test_a_body_in_chunks_goes_on_whole():
    with gateway(answering()) as gw:
        sock = gw.connect()
        sock.sendall(
            f"POST /p/x HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n"
            "Toucanspool-Attempt-Id: a1\r\nConnection: close\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n".encode()
        )
        assert sock.recv(100).startswith(b"HTTP/1.1 200")
        assert gw.upstreams[0].seen[0].body == b"abcde"


@pytest.mark.parametrize(
    "lengths",
    [
        "Content-Length: 3\r\nContent-Length: 5",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip",
    ],
)
def test_an_ambiguous_length_is_refused_and_reaches_no_upstream(lengths):
    with gateway(answering()) as gw:
        sock = gw.connect()
        sock.sendall(
            f"POST /p/x HTTP/1.1\r\nHost: {HOST}\r\n{lengths}\r\n\r\nabc".encode()
        )
        assert sock.recv(100).startswith(b"HTTP/1.1 400")
        assert not request_count(gw.upstreams)


def test_the_key_is_replaced_by_its_team():
    keys = {"k1": KeyHolder(name="clerks")}
    with gateway(answering(), keys=keys) as gw:
        status, _, _ = gw.call(
            headers="Authorization: Bearer k1\r\nToucanspool-Tenant: forged"
        )
        seen = gw.upstreams[0].seen[0]
    assert status == 200
    assert seen.header("toucanspool-tenant") == "clerks"
    assert not seen.header("authorization")


@pytest.mark.parametrize("headers", ["", "Authorization: Bearer k2"])
def test_an_unknown_key_is_refused(headers):
    with gateway(answering(), keys={"k1": KeyHolder(name="clerks")}) as gw:
        assert gw.call(headers=headers)[0] == 401
        assert not request_count(gw.upstreams)


def test_a_missing_route_is_answered_404():
    with gateway(answering()) as gw:
        assert gw.call(path="/other/x")[0] == 404


@pytest.mark.parametrize(
    "fault", [truncated_reply, closing_without_reply, reply_to_another_call]
)
def test_an_idempotent_call_is_sent_to_another_upstream(fault):
    with gateway(fault, answering(b"second")) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        assert gw.call()[2] == b"second"
        assert request_count(gw.upstreams) == 2


@pytest.mark.parametrize(
    "fault",
    [
        truncated_reply,
        closing_without_reply,
        resetting,
        reply_to_another_call,
        rejecting_another_call,
    ],
)
def test_a_call_that_may_have_run_once_is_not_sent_again_nor_called_not_run(fault):
    with gateway(fault, fault, routes=AT_MOST_ONCE_ROUTES) as gw:
        status, _, body = gw.call("POST", body=b"book")
        assert status in (502, 504)
        assert b'"unknown"' in body
        assert request_count(gw.upstreams) == 1


def test_a_rejected_call_goes_to_another_upstream_even_if_it_may_run_only_once():
    with gateway(rejecting, answering(b"booked"), routes=AT_MOST_ONCE_ROUTES) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        assert gw.call("POST", body=b"book")[2] == b"booked"


def test_a_call_rejected_by_all_upstreams_is_reported_as_not_run_with_retry_after():
    with gateway(rejecting, rejecting, routes=AT_MOST_ONCE_ROUTES) as gw:
        status, head, body = gw.call("POST", body=b"book")
    assert status == 503
    assert "Retry-After: 0" in head
    assert b'"not_run"' in body


def test_a_missing_upstream_is_answered_503():
    with gateway(routes=AT_MOST_ONCE_ROUTES) as gw:
        assert gw.call("POST", body=b"book")[0] == 503


def test_a_refused_connection_is_not_a_run():
    with gateway(answering(), answering(), routes=AT_MOST_ONCE_ROUTES) as gw:
        gw.upstreams[0].__exit__()
        gw.core._balancer.set_tie_offset(0.0)
        assert gw.call("POST", body=b"book")[0] == 200


def test_a_call_ends_with_its_routes_time_and_may_have_run():
    routes = [route(CallKind.AT_MOST_ONCE, timeout_s=0.3, max_attempts=1)]
    with gateway(silent, routes=routes) as gw, gevent.Timeout(1.0):
        assert gw.call("POST", body=b"book")[0] == 504


def test_a_silent_upstream_leaves_an_idempotent_call_time_for_another():
    routes = [route(timeout_s=0.6)]
    with gateway(silent, answering(b"second"), routes=routes) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        assert gw.call()[2] == b"second"


def test_an_unsigned_success_is_not_passed_on():
    with gateway(answering(signed=False), routes=AT_MOST_ONCE_ROUTES) as gw:
        assert gw.call("POST", body=b"book")[0] == 502


def test_the_upstreams_failure_is_passed_on_as_it_is():
    with gateway(
        answering(b"no", status="500 Failed"), routes=AT_MOST_ONCE_ROUTES
    ) as gw:
        status, head, body = gw.call("POST", body=b"book")
    assert (status, body) == (500, b"no")
    assert "Toucanspool-Server-Signature" in head


def test_bytes_after_the_reply_are_ignored():
    def extra(sock, seen):
        sock.sendall(reply(seen) + reply(seen, b"another"))

    with gateway(extra) as gw:
        assert gw.call()[2] == b"answer"


def test_an_answer_without_a_length_ends_with_its_connection():
    def unframed(sock, seen):
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nToucanspool-Attempt-Id: a1\r\n"
            b"Toucanspool-Server-Signature: s.1\r\n\r\nto the end"
        )

    with gateway(unframed) as gw:
        assert gw.call()[2] == b"to the end"


def test_an_answer_without_a_length_is_asked_for_again_if_its_upstream_crashes():
    with gateway(answering(b"par", framed=False), answering(b"whole")) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        gw.upstreams[0].crashes = True
        status, _, body = gw.call()
    assert (status, body) == (200, b"whole")


def test_an_answer_without_a_length_whose_upstream_crashes_does_not_look_complete():
    with gateway(answering(b"par", framed=False), routes=AT_MOST_ONCE_ROUTES) as gw:
        gw.upstreams[0].crashes = True
        status, _, body = gw.call("POST", body=b"book")
    assert status == 502
    assert b'"unknown"' in body


def test_an_answer_gets_no_length_that_the_upstream_did_not_give():
    with gateway(answering(framed=False)) as gw:
        sock = gw.connect()
        sock.sendall(
            f"GET /p/x HTTP/1.1\r\nHost: {HOST}\r\n"
            "Toucanspool-Attempt-Id: a1\r\n\r\n".encode()
        )
        data = sock.makefile("rb").read()
    head, _, body = data.partition(b"\r\n\r\n")
    assert (head[:12], body) == (b"HTTP/1.1 200", b"answer")
    assert b"Content-Length" not in head
    assert b"Transfer-Encoding" not in head


def test_the_upstreams_work_ends_as_the_caller_leaves():
    upstream_stopped = gevent.event.Event()

    def working(sock, seen):
        if not sock.recv(1):
            upstream_stopped.set()

    with gateway(working, routes=AT_MOST_ONCE_ROUTES) as gw:
        sock = gw.send("POST", body=b"book")
        gevent.sleep(0.05)
        sock.close()
        assert upstream_stopped.wait(0.5)
        gevent.sleep(0.05)
        assert gw.core.dispatcher.running == 0
        assert request_count(gw.upstreams) == 1


def test_a_caller_that_leaves_is_no_failure_of_the_upstream():
    def working(sock, seen):
        sock.recv(1)

    with gateway(working, working) as gw:
        for _ in range(4):
            sock = gw.send()
            gevent.sleep(0.05)
            sock.close()
            gevent.sleep(0.05)
        assert request_count(gw.upstreams) == 4
        assert not gw.core.ejector.ejected


def test_a_connection_serves_one_call_after_another():
    with gateway(answering()) as gw:
        sock = gw.connect()
        for _ in range(3):
            sock.sendall(
                f"GET /p/x HTTP/1.1\r\nHost: {HOST}\r\n"
                "Toucanspool-Attempt-Id: a1\r\n\r\n".encode()
            )
            data = sock.recv(4000)
            assert data.startswith(b"HTTP/1.1 200")
            assert data.endswith(b"answer")


def test_a_draining_entry_refuses_and_ends_the_connection():
    with gateway(answering()) as gw:
        gw.core.dispatcher.draining = True
        status, head, _ = gw.call()
    assert status == 503
    assert "Connection: close" in head


def test_an_upstream_that_says_it_is_leaving_gets_no_further_call():
    leaving = answering(b"last", headers="Server-Leaving: 1")
    with gateway(leaving, answering(b"other")) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        assert gw.call()[2] == b"last"
        assert {gw.call()[2] for _ in range(5)} == {b"other"}


def pausing(seconds: str):
    def script(sock, seen):
        headers = f"Toucanspool-Not-Executed: 1\r\nRetry-After: {seconds}"
        sock.sendall(reply(seen, b"", status="503 Full", headers=headers, signed=False))

    return script


def test_an_upstream_that_asks_for_a_pause_gets_no_call_until_it_is_over():
    with gateway(pausing("30"), answering(b"other")) as gw:
        gw.core._balancer.set_tie_offset(0.0)
        assert {gw.call()[2] for _ in range(6)} == {b"other"}
        assert len(gw.upstreams[0].seen) == 1


def test_a_call_is_told_when_the_first_upstream_takes_calls_again():
    with gateway(pausing("30"), pausing("1.5"), routes=AT_MOST_ONCE_ROUTES) as gw:
        gw.call("POST", body=b"book")
        status, head, body = gw.call("POST", body=b"book")
        seen = request_count(gw.upstreams)
    assert status == 503
    assert b'"not_run"' in body
    assert "Retry-After: 1." in head
    assert seen == 2

"""The platform's headers, both ways."""

from tests.gateway.gateways import route
from toucanspool.gateway.call import Call
from toucanspool.platform.headers import PlatformDialect, passed_on, sizes
from toucanspool.retries.deadline import Deadline
from toucanspool.routing.routes import CallKind


def call(**more: object) -> Call:
    options = {
        "id": "a1",
        "method": "GET",
        "target": "/p/x",
        "headers": [("X-Own", "1")],
        "body": b"",
        "route": route(CallKind.STREAM),
        "routes_version": 1,
        "service": "desk",
        "team": "clerks",
        "priority": 1,
        "deadline": Deadline(10.0),
        "arrived_at": 0.0,
        **more,
    }
    return Call(**options)


def request(of: Call, last_event_id: str = "") -> dict[str, str]:
    return dict(
        PlatformDialect().request_headers(
            of, upstream="i-1", left_ms=700, last_event_id=last_event_id
        )
    )


def test_a_request_names_upstream_team_and_time_left():
    found = request(call(), "12")
    assert found["toucanspool-expect-instance"] == "i-1"
    assert found["toucanspool-tenant"] == "clerks"
    assert found["toucanspool-deadline-ms"] == "700"
    assert found["last-event-id"] == "12"
    assert found["X-Own"] == "1"


def test_a_request_of_no_team_names_none():
    assert "toucanspool-tenant" not in request(call(team=""))


def test_a_get_without_a_body_has_no_length_and_a_post_has():
    assert "Content-Length" not in request(call())
    assert request(call(method="POST"))["Content-Length"] == "0"


def test_headers_of_one_connection_and_those_set_here_are_not_passed_on():
    found = passed_on(
        [
            ("Authorization", "Bearer k"),
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Toucanspool-Tenant", "forged"),
            ("Toucanspool-Expect-Instance", "forged"),
            ("Toucanspool-Attempt-Id", "a1"),
            ("X-Own", "1"),
        ]
    )
    assert found == [("Toucanspool-Attempt-Id", "a1"), ("X-Own", "1")]


def test_what_a_reply_tells():
    facts = PlatformDialect().parse_reply_head(
        200,
        [
            ("Toucanspool-Attempt-Id", "a1"),
            ("Toucanspool-Server-Signature", "s"),
            ("Toucanspool-Server-Load", "3,2,6"),
            ("Connection", "close"),
        ],
    )
    assert (facts.call_id, facts.signed, facts.not_run) == ("a1", True, False)
    assert (facts.running, facts.waiting) == (3, 2)
    assert "Connection" not in dict(facts.headers)


def test_what_did_not_run():
    dialect = PlatformDialect()
    assert dialect.parse_reply_head(503, [("Toucanspool-Not-Executed", "1")]).not_run
    assert dialect.parse_reply_head(421, []).not_run
    assert not dialect.parse_reply_head(503, []).not_run


def test_a_load_that_can_not_be_read_is_none():
    facts = PlatformDialect().parse_reply_head(
        200, [("Toucanspool-Server-Load", "many")]
    )
    assert (facts.running, facts.waiting) == (None, None)


def test_sizes():
    assert sizes({"toucanspool-token-count": "1460,80"}) == (1460, 80)
    hinted = {"toucanspool-token-count": "9,80", "toucanspool-length-hint": "30"}
    assert sizes(hinted) == (9, 30)
    assert sizes({"toucanspool-token-count": "x"}) == (0, 0)

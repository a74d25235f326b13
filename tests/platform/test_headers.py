"""The platform's headers on requests and replies."""

from tests.gateway.gateways import route
from toucanspool.gateway.call import Call
from toucanspool.platform.headers import (
    PREFIX_HASH,
    PlatformDialect,
    forwarded_headers,
    parse_shared_prompt,
    parse_token_counts,
)
from toucanspool.retries.deadline import Deadline
from toucanspool.routing.routes import CallKind


def call(**changes: object) -> Call:
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
        "urgency": 1,
        "deadline": Deadline(10.0),
        "arrived_at": 0.0,
        **changes,
    }
    return Call(**options)


def headers_of(sent_call: Call, last_event_id: str = "") -> dict[str, str]:
    return dict(
        PlatformDialect().request_headers(
            sent_call, upstream="i-1", left_ms=700, last_event_id=last_event_id
        )
    )


def test_a_request_names_upstream_team_and_time_left():
    headers = headers_of(call(), "12")
    assert headers["toucanspool-expect-instance"] == "i-1"
    assert headers["toucanspool-tenant"] == "clerks"
    assert headers["toucanspool-deadline-ms"] == "700"
    assert headers["last-event-id"] == "12"
    assert headers["X-Own"] == "1"


def test_a_request_without_a_team_has_no_tenant_header():
    assert "toucanspool-tenant" not in headers_of(call(team=""))


def test_engines_are_told_the_urgency_only_where_calls_differ_in_it():
    assert "toucanspool-request-priority" not in headers_of(call())
    headers = headers_of(call(ordered=True, urgency=12))
    assert headers["toucanspool-request-priority"] == "9"


def test_a_post_has_a_content_length_and_a_get_without_body_has_none():
    assert "Content-Length" not in headers_of(call())
    assert headers_of(call(method="POST"))["Content-Length"] == "0"


def test_connection_and_replaced_headers_are_not_forwarded():
    headers = forwarded_headers(
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
    assert headers == [("Toucanspool-Attempt-Id", "a1"), ("X-Own", "1")]


def test_a_reply_head_is_parsed():
    head = PlatformDialect().parse_reply_head(
        200,
        [
            ("Toucanspool-Attempt-Id", "a1"),
            ("Toucanspool-Server-Signature", "s"),
            ("Toucanspool-Server-Load", "3,2,6"),
            ("Connection", "close"),
        ],
    )
    assert (head.call_id, head.signed, head.not_run) == ("a1", True, False)
    assert (head.running, head.waiting) == (3, 2)
    assert "Connection" not in dict(head.headers)


def test_not_executed_and_421_mean_not_run():
    dialect = PlatformDialect()
    assert dialect.parse_reply_head(503, [("Toucanspool-Not-Executed", "1")]).not_run
    assert dialect.parse_reply_head(421, []).not_run
    assert not dialect.parse_reply_head(503, []).not_run


def test_an_invalid_load_is_none():
    head = PlatformDialect().parse_reply_head(
        200, [("Toucanspool-Server-Load", "many")]
    )
    assert (head.running, head.waiting) == (None, None)


def test_token_counts():
    assert parse_token_counts({"toucanspool-token-count": "1460,80"}) == (1460, 80)
    hinted = {"toucanspool-token-count": "9,80", "toucanspool-length-hint": "30"}
    assert parse_token_counts(hinted) == (9, 30)
    assert parse_token_counts({"toucanspool-token-count": "x"}) == (0, 0)


def test_the_last_part_of_a_prompt_is_not_shared():
    parsed = parse_shared_prompt(
        {PREFIX_HASH: "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}
    )
    assert parsed == ("5c1e07a2", "91bd3f06")
    assert parse_shared_prompt({}) == ()

"""Malformed rows, headers and requests are refused where they are read."""

import time

import orjson
import pytest

from standins.raw_upstream import answering
from tests.gateway.gateways import HOST, gateway, route
from tests.platform.test_listings import FIELDS, listing
from tests.platform.test_operator_configuration import ROUTE, decode_with
from toucanspool.backing.table import Row
from toucanspool.groups.rank_record import RankRecord, decode_rank
from toucanspool.membership.entries import EntryRecord, decode_entry
from toucanspool.platform.configuration import BadConfiguration
from toucanspool.platform.headers import PlatformDialect, parse_token_counts
from toucanspool.platform.listings import decode_listing
from toucanspool.retries.crash_reports import MAX_CLOCK_AHEAD_S, decode_report
from toucanspool.routing.routes import CallKind
from toucanspool.routing.upstream import MAX_PAUSE_S

JUNK = [None, 5, -1, 1e300, "x", "", [], {}, [[]], {"a": 1}, True]
DEEP = b"[" * 3000
ENTRY = orjson.loads(EntryRecord("e", "10.0.0.1:1", "10.0.0.1:2").encode())
RANK = orjson.loads(
    RankRecord("r", "10.0.0.1", 1, "g", 0, "u", "10.0.0.1:2", 1.0).encode()
)
ENTRY_KEY, RANK_KEY, REPORT_KEY = "entry/e", "rank/r", "crash/e"
REPORT = {
    "crashes": [
        {"upstream": "u", "started_ms": 1, "number": 1, "prompts": [["p"]], "at_s": 1.0}
    ],
    "blocked": {"p": 1.0},
    "sound": {"p": 1.0},
}


@pytest.mark.parametrize(
    ("key", "row", "decode"),
    [
        (ENTRY_KEY, ENTRY, decode_entry),
        (RANK_KEY, RANK, decode_rank),
        (REPORT_KEY, REPORT, decode_report),
    ],
)
def test_own_rows_with_a_value_of_another_type_are_ignored(key, row, decode):
    """Guards against a row that ends the feed follower of its table."""
    assert decode(Row(key, orjson.dumps(row), 1)) is not None
    for junk in JUNK:
        assert decode(Row(key, orjson.dumps(junk), 1)) is None
        for field, value in row.items():
            if type(junk) is not type(value) and not (field == "pace" and junk == 5):
                data = orjson.dumps({**row, field: junk})
                assert decode(Row(key, data, 1)) is None, (field, junk)


@pytest.mark.parametrize(
    ("row", "decode", "change"),
    [
        (RANK, decode_rank, {"pace": 0.0}),
        (RANK, decode_rank, {"pace": -1.0}),
        (RANK, decode_rank, {"pace": 1e300}),
        (RANK, decode_rank, {"rank": -1}),
        (RANK, decode_rank, {"port": 70000}),
        (RANK, decode_rank, {"engine": "nowhere"}),
    ],
)
def test_own_rows_with_an_impossible_value_are_ignored(row, decode, change):
    """Guards against probes, placements and orders that fail because of one row."""
    assert decode(Row(RANK_KEY, orjson.dumps({**row, **change}), 1)) is None


@pytest.mark.parametrize("host", ["", "a b", "a\x00b", "\u00ad", "x" * 64, "\u0663"])
def test_a_rank_with_a_host_to_which_no_connection_can_be_opened_is_ignored(host):
    """Guards against UnicodeError in place of a lost connection to a rank agent."""
    assert decode_rank(Row(RANK_KEY, orjson.dumps({**RANK, "host": host}), 1)) is None


@pytest.mark.parametrize("field", list(REPORT["crashes"][0]))
@pytest.mark.parametrize("value", [None, "nan", "inf", [], {}, [[[]]], "x"])
def test_a_crash_with_a_wrong_value_is_ignored(field, value):
    """Guards against evidence that counts for ever, or ends the feed follower."""
    crash = {**REPORT["crashes"][0], field: value}
    report = decode_report(
        Row(REPORT_KEY, orjson.dumps({**REPORT, "crashes": [crash]}), 1)
    )
    if report is not None:
        assert isinstance(report.crashes[0].upstream, str)
        assert abs(report.crashes[0].at_s) < 1e12


@pytest.mark.parametrize("path", ["at_s", "blocked", "sound"])
def test_a_report_from_the_future_is_ignored(path):
    """Guards against evidence and blocks that never grow old."""
    for ahead_s, is_read in ((MAX_CLOCK_AHEAD_S - 5.0, True), (1e6, False)):
        at_s = time.time() + ahead_s
        changes = {path: {"p": at_s}}
        if path == "at_s":
            changes = {"crashes": [{**REPORT["crashes"][0], "at_s": at_s}]}
        row = Row(REPORT_KEY, orjson.dumps({**REPORT, **changes}), 1)
        assert (decode_report(row) is not None) == is_read


@pytest.mark.parametrize("raw", [b"", b"\xff", DEEP, b"{", b'{"name": "\xff"}'])
def test_rows_that_are_no_json_are_ignored(raw):
    for key, decode in (
        (ENTRY_KEY, decode_entry),
        (RANK_KEY, decode_rank),
        (REPORT_KEY, decode_report),
    ):
        assert decode(Row(key, raw, 1)) is None


@pytest.mark.parametrize(
    "changes",
    [
        {"address": "10.0.0.9:70000"},
        {"address": "10.0.0.9:-1"},
        {"address": "a..b:80"},
        {"slots": -1},
        {"slots": True},
        {"born": 1.5},
    ],
)
def test_a_listing_that_no_request_can_use_is_ignored(changes):
    """Guards against addresses for which connecting raises no `OSError`."""
    assert listing(**changes) is None


@pytest.mark.parametrize(
    "host",
    [
        "a b",
        " 10.0.0.9",
        "10.0.0.9\n",
        "10.0.0.9\r\nX-Injected: 1",
        "10.0.0.9\x00",
        "\x7f",
        "\u0661\u0660.0.0.9",
        "\u00ad",
        "xn--\u00fc",
        "\u00fc" * 62,
        "\U0001f600",
        "a/b",
        "a@b",
        "%",
    ],
)
def test_a_host_to_which_no_connection_can_be_opened_is_refused(host):
    """Guards against calls, probes and orders that fail with an unexpected error.

    http.client raises InvalidURL, and the resolver UnicodeError or ValueError.
    """
    assert listing(address=f"{host}:80") is None
    value = orjson.dumps({**RANK, "engine": f"{host}:80"})
    assert decode_rank(Row(RANK_KEY, value, 1)) is None


@pytest.mark.parametrize(
    "name",
    ["u\u20ac", "u\r\nX-Injected: 1", "u\x00", " u", "u ", "u v", "\u0663", "\x7f"],
)
def test_an_upstream_whose_name_fits_in_no_header_is_not_listed(name):
    """Guards against calls that are answered 500; requests name their upstream."""
    assert decode_listing(Row(name, orjson.dumps(FIELDS), 1)) is None


def test_an_upstream_may_have_a_name_of_all_visible_characters():
    name = "".join(map(chr, range(0x21, 0x7F)))
    assert decode_listing(Row(name, orjson.dumps(FIELDS), 1)).name == name


@pytest.mark.parametrize(
    "host", ["nowhere.example", "localhost", "0", "10.0.0", "10.0.0.9.1", "[::1]", "-"]
)
def test_a_listing_with_a_host_that_must_be_looked_up_is_ignored(host):
    """Guards against look-ups, which have no time limit and delay all connections."""
    assert listing(address=f"{host}:80") is None
    assert listing(address="::1:80").host == "::1"


@pytest.mark.parametrize("raw", [b"null", b"5", b"[]", b"{}", b"[" * 90 + b"]" * 90])
def test_a_listing_with_a_failure_domain_of_another_type_is_ignored(raw):
    """Guards against a failure domain that is named after the wrong value."""
    value = orjson.dumps({**FIELDS, "zone": 0}).replace(b'"zone":0', b'"zone":' + raw)
    assert decode_listing(Row("u", value, 1)) is None


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("prefix", 5),
        ("prefix", None),
        ("hostname", 5),
        ("timeoutMs", -1),
        ("timeoutMs", "x"),
        ("timeoutMs", 0),
        ("priority", [1]),
        ("backends", [{"service": 5, "weight": 1}]),
        ("backends", [{"service": "a", "weight": -1}]),
        ("name", []),
    ],
)
def test_a_route_that_no_call_can_use_makes_the_configuration_invalid(field, value):
    """Guards against a configuration in force with which every call fails."""
    with pytest.raises(BadConfiguration):
        decode_with(routes=[{**ROUTE, field: value}])


@pytest.mark.parametrize(
    "tenant",
    [
        {"name": "t", "apiKeys": "abc"},
        {"name": "t", "apiKeys": [5]},
        {"name": 5, "apiKeys": ["k"]},
        {"name": "t", "apiKeys": ["k"], "priority": "high"},
    ],
)
def test_a_tenant_with_a_wrong_value_makes_the_configuration_invalid(tenant):
    """Guards against keys of one letter, which a string of keys would give."""
    with pytest.raises(BadConfiguration):
        decode_with(tenants=[tenant])


@pytest.mark.parametrize(
    "value", ["inf", "nan", "-1", "1e999", "9" * 5000, "\xff", "x"]
)
def test_headers_with_impossible_numbers(value):
    """Guards against an upstream that is out for ever, and failures of sound calls."""
    head = PlatformDialect().parse_reply_head(
        503,
        [("Retry-After", value), ("Toucanspool-Server-Load", f"{value},{value},1")],
    )
    assert 0.0 <= head.retry_after_s < float("inf")
    assert head.running is None or head.running < 1 << 31
    counts = parse_token_counts(
        {
            "toucanspool-token-count": f"{value},{value}",
            "toucanspool-length-hint": value,
        }
    )
    assert all(0 <= count < 1 << 31 for count in counts)


def test_an_upstream_can_not_pause_for_ever():
    """Guards against a reply that takes an upstream out until this entry restarts."""
    script = answering(
        status="503 Full", headers="Toucanspool-Not-Executed: 1\r\nRetry-After: 1e8"
    )
    with gateway(script) as gw:
        gw.call()
        upstream = gw.core.upstreams.find("u0")
        assert upstream.paused_until < 1e7
        assert 0.0 < upstream.wait_s(upstream.paused_until - MAX_PAUSE_S) <= MAX_PAUSE_S


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("/p/\xff", ""),
        ("/p/\x01", ""),
        ("/p/x", "X-\xff: 1"),
        ("/p/x", "Toucanspool-Token-Count: inf,inf"),
        ("/p/x", "Toucanspool-Deadline-Ms: nan"),
        ("/p/x", "X-Value: \xff\xfe"),
    ],
)
def test_a_request_with_unusual_bytes_is_answered_or_refused(path, headers):
    """Guards against requests that are answered 500, as if the gateway had failed."""
    raw = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
    raw += f"Toucanspool-Attempt-Id: a1\r\n{headers}\r\n" if headers else ""
    with gateway(answering(), routes=[route(CallKind.AT_MOST_ONCE)]) as gw:
        status, _, _ = gw.exchange(f"{raw}\r\n".encode("latin-1"))
        assert status in (200, 400)
        assert gw.call()[0] == 200
        assert gw.core.upstreams.find("u0").in_flight == 0


def test_a_route_whose_services_have_no_weight_refuses_its_calls():
    """Guards against 500 for a route that the operator has closed by its weights."""
    decoded = decode_with(
        routes=[{**ROUTE, "backends": [{"service": "a", "weight": 0}]}]
    )
    assert decoded.routes[0].services == ()
    with gateway(answering(), routes=[route(services=())]) as gw:
        status, _, body = gw.call()
    assert status == 503
    assert b'"not_run"' in body

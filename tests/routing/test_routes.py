"""Routes are matched by host and longest prefix."""

import random
from collections import Counter

import pytest

from toucanspool.routing.routes import CallKind, KeyHolder, Route, RouteTable


def route(name: str, prefix: str, *, host: str = "a.example", **more: object) -> Route:
    options = {"kind": CallKind.IDEMPOTENT, "services": (("s", 1.0),), **more}
    return Route(
        name=name, host=host, prefix=prefix, timeout_s=1, objective_s=1, **options
    )


TABLE = RouteTable(
    version=1,
    routes=[
        route("top", "/a/"),
        route("deep", "/a/b/"),
        route("other", "/a/", host="b.example"),
    ],
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/a/x", "top"),
        ("a.example", "/a/", "top"),
        ("a.example", "/a/b/c/d", "deep"),
        ("a.example", "/a/bc", "top"),
        ("b.example", "/a/b/x", "other"),
        ("a.example", "/a", None),
        ("a.example", "/b/", None),
        ("c.example", "/a/x", None),
        ("a.example", "", None),
    ],
)
def test_the_longest_prefix_wins(host, path, name):
    match = TABLE.find(host, path)
    assert (match.name if match else None) == name


def test_services_are_drawn_by_weight():
    split = route("r", "/", services=(("big", 90.0), ("small", 10.0)))
    rng = random.Random(1)
    drawn = Counter(split.service(rng) for _ in range(2000))
    assert 0.07 < drawn["small"] / 2000 < 0.13


@pytest.mark.parametrize(
    ("kind", "resumable", "retryable"),
    [
        (CallKind.IDEMPOTENT, False, True),
        (CallKind.AT_MOST_ONCE, False, False),
        (CallKind.AT_MOST_ONCE, True, False),
        (CallKind.STREAM, False, False),
        (CallKind.STREAM, True, True),
    ],
)
def test_which_calls_are_retryable(kind, resumable, retryable):
    assert route("r", "/", kind=kind, resumable=resumable).retryable is retryable


def test_streams_are_ranked_by_the_priorities_of_team_and_route():
    routes = [
        route("r0", "/0/", kind=CallKind.STREAM, priority=0),
        route("r2", "/2/", kind=CallKind.STREAM, priority=2),
        route("other", "/3/", priority=7),
    ]
    keys = {
        "k1": KeyHolder(name="a", priority=1),
        "k2": KeyHolder(name="b", priority=0),
    }
    table = RouteTable(version=1, routes=routes, keys=keys)
    assert table.urgency("s").levels == 4
    assert table.urgency("s").rank(2, 0) == 1
    assert table.urgency("absent").levels == 0

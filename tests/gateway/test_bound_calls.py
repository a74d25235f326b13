"""Calls that are bound to regions, as seen by callers and upstreams."""

import time

import pytest

from standins.raw_upstream import answering
from tests.gateway.gateways import gateway, route
from tests.gateway.test_evacuated_upstreams import evacuate, limit_streams, place
from toucanspool.gateway.call import RefusalCause
from toucanspool.routing.routes import CallKind, KeyHolder

NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})
ZONES = {"one": "north", "two": "south"}
KEYS = {
    "free": KeyHolder(name="free"),
    "bound": KeyHolder(name="bound", allowed_regions=SOUTH),
}


def authorization(key: str) -> str:
    return f"Authorization: Bearer {key}"


def test_calls_run_only_in_the_regions_of_their_route():
    routes = [route(allowed_regions=SOUTH)]
    with gateway(answering(), answering(), routes=routes) as gw:
        gw.core.regions.replace(ZONES)
        place(gw, "one", "two")
        assert {gw.call()[0] for _ in range(6)} == {200}
        assert [len(upstream.seen) for upstream in gw.upstreams] == [0, 6]


def test_calls_run_only_in_the_regions_of_their_team():
    with gateway(answering(b"0"), answering(b"1"), keys=KEYS) as gw:
        gw.core.regions.replace(ZONES)
        place(gw, "one", "two")
        assert gw.call(headers=authorization("free"))[2] == b"0"
        assert gw.call(headers=authorization("bound"))[2] == b"1"


def test_a_call_is_refused_at_once_if_route_and_team_have_no_region_in_common():
    routes = [route(allowed_regions=NORTH)]
    with gateway(answering(), answering(), routes=routes, keys=KEYS) as gw:
        gw.core.regions.replace(ZONES)
        place(gw, "one", "two")
        started = time.monotonic()
        status, head, body = gw.call(headers=authorization("bound"))
        assert time.monotonic() - started < 0.2
        assert status == 503
        assert "Retry-After: " in head
        assert RefusalCause.OUTSIDE_REGIONS.value.encode() in body
        assert not any(upstream.seen for upstream in gw.upstreams)


def test_a_failed_call_is_not_retried_in_another_region():
    failing = answering(status="500 Failed")
    routes = [route(allowed_regions=NORTH)]
    with gateway(failing, answering(), routes=routes) as gw:
        gw.core.regions.replace(ZONES)
        place(gw, "one", "two")
        assert gw.call()[0] == 500
        assert not gw.upstreams[1].seen


@pytest.mark.parametrize("kind", [CallKind.IDEMPOTENT, CallKind.STREAM])
def test_a_call_bound_to_an_evacuated_domain_is_refused(kind):
    routes = [route(kind, allowed_regions=NORTH)]
    with gateway(answering(), answering(), routes=routes) as gw:
        gw.core.regions.replace(ZONES)
        place(gw, "one", "two")
        evacuate(gw, "one")
        status, _, body = gw.call("POST", body=b"x")
        assert status == 503
        assert RefusalCause.EVACUATED.value.encode() in body


def test_calls_without_regions_run_anywhere_also_where_no_region_is_known():
    with gateway(answering(), answering()) as gw:
        place(gw, "one", "two")
        limit_streams(gw)
        assert gw.call("POST", body=b"x")[0] == 200

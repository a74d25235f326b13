"""Decoding of the operator's configuration."""

import orjson
import pytest

from toucanspool.platform.configuration import (
    BadConfiguration,
    decode_configuration,
)
from toucanspool.routing.routes import CallKind

ROUTE = {
    "name": "r",
    "hostname": "Desk.Example",
    "prefix": "/p/",
    "routeType": "streaming",
    "timeoutMs": 8000,
    "objectiveMs": 502,
    "priority": 1,
    "backends": [{"service": "a", "weight": 90}, {"service": "b", "weight": 0}],
    "maxAttempts": 2,
    "public": False,
    "resumable": True,
    "gapTargetMs": 120,
}
ENGINE = {
    "slots": 6,
    "stride": 4,
    "step_ms": 4.55,
    "per_seq_ms": 1.81,
    "context_per_k": 0.0366,
    "read_per_s": 61400.0,
    "pairs_per_m": 0.525,
    "chunk": 512,
    "usual": {"prompt": 835, "answer": 97},
    "sets": 3,
    "experts": 96,
    "placements": 11,
    "spare": 4,
    "expertMb": 2200.0,
    "expertShare": 0.85,
    "linkMbps": 44000.0,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "a", "healthPath": "/h", "maxConnections": 9, "engine": ENGINE}
    ],
    "limits": {"maxBodyBytes": 100, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 2}],
}


def decode_with(**changes: object):
    return decode_configuration(orjson.dumps({**CONFIGURATION, **changes}))


def test_a_route():
    route = decode_with().routes[0]
    assert (route.host, route.prefix) == ("desk.example", "/p/")
    assert route.kind is CallKind.STREAM
    assert route.services == (("a", 90.0),)
    assert (route.timeout_s, route.gap_target_s, route.max_attempts) == (8.0, 0.12, 2)


def test_a_route_with_one_service():
    one = {k: v for k, v in ROUTE.items() if k != "backends"} | {"service": "c"}
    assert decode_with(routes=[one]).routes[0].services == (("c", 1.0),)


def test_an_engine():
    engine = decode_with().service("a").engine
    assert engine.step_base_s == pytest.approx(0.00455)
    assert engine.expert_copy_s == pytest.approx(0.4)
    assert (engine.layer_sets, engine.expert_slots) == (3, 11)


def test_keys_and_limits():
    table = decode_with()
    assert table.keys["k2"].name == "t"
    assert table.keys["k2"].priority == 2
    assert (table.limits.max_body_bytes, table.limits.idle_timeout_s) == (100, 15.0)


def test_regions_of_routes_and_teams():
    tenants = [{"name": "t", "apiKeys": ["k"], "allowedRegions": ["south"]}]
    table = decode_with(
        routes=[{**ROUTE, "allowedRegions": ["north", "south"]}], tenants=tenants
    )
    assert table.routes[0].allowed_regions == {"north", "south"}
    assert table.keys["k"].allowed_regions == {"south"}


@pytest.mark.parametrize(
    "absent", [{}, {"allowedRegions": []}, {"allowedRegions": None}]
)
def test_absent_and_empty_regions_are_no_restriction(absent):
    assert not decode_with(routes=[{**ROUTE, **absent}]).routes[0].allowed_regions


@pytest.mark.parametrize("regions", ["north", 7, [7], {"north": 1}, [["north"]]])
def test_regions_that_are_no_list_of_names_are_an_error(regions):
    # The letters of a single name must not be taken for regions.
    with pytest.raises(BadConfiguration):
        decode_with(routes=[{**ROUTE, "allowedRegions": regions}])


def test_keys_are_not_required_without_tenants():
    data = {k: v for k, v in CONFIGURATION.items() if k != "tenants"}
    assert not decode_configuration(orjson.dumps(data)).keys_required


def test_an_unknown_service_has_no_engine():
    assert decode_with().service("zz").engine is None


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b"{}", b'{"version":1,"routes":[{}]}', b'{"version":"x","routes":[]}'],
)
def test_an_invalid_configuration_is_an_error(value):
    with pytest.raises(BadConfiguration):
        decode_configuration(value)


def test_a_service_says_what_its_cold_upstreams_tolerate():
    plain = decode_with().services["a"]
    assert (plain.cold_start_s, plain.cold_per_s) == (0.0, 0.0)
    cold = {"name": "a", "coldStartS": 20, "coldPerS": 2.5}
    service = decode_with(services=[cold]).services["a"]
    assert (service.cold_start_s, service.cold_per_s) == (20.0, 2.5)
    unbounded = {"name": "a", "coldStartS": None, "coldPerS": 0}
    assert decode_with(services=[unbounded]).services["a"].cold_per_s == 0.0


@pytest.mark.parametrize("field", ["coldStartS", "coldPerS"])
@pytest.mark.parametrize("value", ["nan", "inf", 1e308, -1])
def test_cold_starts_that_can_not_be_divided_are_refused(field, value):
    """Guards against a rate at which each tick of the limits would raise."""
    with pytest.raises(BadConfiguration):
        decode_with(services=[{"name": "a", field: value}])


@pytest.mark.parametrize("field", ["stride", "sets", "experts", "placements", "spare"])
@pytest.mark.parametrize("value", [1e308, 1 << 63, -1, "7", True, [1]])
def test_an_engine_with_an_impossible_number_makes_the_configuration_invalid(
    field, value
):
    """Guards against estimates and maps that raise OverflowError or MemoryError."""
    service = {"name": "a", "engine": {**ENGINE, field: value}}
    with pytest.raises(BadConfiguration):
        decode_with(services=[service])


def test_an_engine_with_less_than_one_step_in_a_pass_is_refused():
    """Guards against a division by zero."""
    service = {"name": "a", "engine": {**ENGINE, "stride": 0.4}}
    with pytest.raises(BadConfiguration):
        decode_with(services=[service])

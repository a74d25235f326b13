"""The operator's configuration, decoded."""

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


def decoded(**changes: object):
    return decode_configuration(orjson.dumps({**CONFIGURATION, **changes}))


def test_a_route():
    route = decoded().routes[0]
    assert (route.host, route.prefix) == ("desk.example", "/p/")
    assert route.kind is CallKind.STREAM
    assert route.services == (("a", 90.0),)
    assert (route.timeout_s, route.gap_target_s, route.max_attempts) == (8.0, 0.12, 2)


def test_a_route_with_one_service():
    one = {k: v for k, v in ROUTE.items() if k != "backends"} | {"service": "c"}
    assert decoded(routes=[one]).routes[0].services == (("c", 1.0),)


def test_an_engine():
    engine = decoded().service("a").engine
    assert engine.step_base_s == pytest.approx(0.00455)
    assert engine.expert_copy_s == pytest.approx(0.4)
    assert (engine.layer_sets, engine.places) == (3, 11)


def test_keys_and_limits():
    table = decoded()
    assert table.keys["k2"].name == "t"
    assert table.keys["k2"].priority == 2
    assert (table.limits.max_body_bytes, table.limits.idle_timeout_s) == (100, 15.0)


def test_without_tenants_no_key_is_due():
    data = {k: v for k, v in CONFIGURATION.items() if k != "tenants"}
    assert not decode_configuration(orjson.dumps(data)).keys_required


def test_a_service_that_is_not_configured_has_only_a_name():
    assert decoded().service("zz").engine is None


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b"{}", b'{"version":1,"routes":[{}]}', b'{"version":"x","routes":[]}'],
)
def test_what_can_not_be_read_is_told(value):
    with pytest.raises(BadConfiguration):
        decode_configuration(value)

"""The configuration of the system under test, as the operator writes it."""

from collections.abc import Sequence

import orjson

from soak.callers import HOST, KEY, ROUTE_TIMEOUT_S
from soak.cold_watch import COLD_PER_S, COLD_START_S
from soak.config_watch import version_prefix
from soak.process import GRACE_S

LAYER_SETS, EXPERTS, PLACES = 2, 12, 6
ROUTE_TYPES = {
    "/book/": "non_idempotent",
    "/read/": "idempotent",
    "/stream/": "streaming",
}
ENGINE = {
    "slots": 8,
    "stride": 4,
    "step_ms": 5.0,
    "per_seq_ms": 1.0,
    "read_per_s": 60000.0,
    "chunk": 512,
    "usual": {"prompt": 100, "answer": 32},
    "sets": LAYER_SETS,
    "experts": EXPERTS,
    "placements": PLACES,
    "spare": 4,
    "expertMb": 10.0,
    "expertShare": 0.8,
    "linkMbps": 8000.0,
}


def build_configuration(version: int, known_versions: Sequence[int]) -> bytes:
    """Return the configuration of a version.

    Parameters
    ----------
    version : int
        The version.
    known_versions : sequence of int
        Versions so far with this one; each adds a route.

    Returns
    -------
    bytes
    """
    route_types = ROUTE_TYPES | {
        version_prefix(v): "idempotent" for v in known_versions
    }
    routes = [
        {
            "name": prefix,
            "hostname": HOST,
            "prefix": prefix,
            "routeType": route_type,
            "timeoutMs": int(ROUTE_TIMEOUT_S.get(prefix, 1.0) * 1000),
            "objectiveMs": 500,
            "service": "desk",
            "maxAttempts": 1 if prefix == "/book/" else 2,
            "resumable": True,
            "gapTargetMs": 120,
        }
        for prefix, route_type in route_types.items()
    ]
    cold = {"coldStartS": COLD_START_S, "coldPerS": COLD_PER_S}
    services = [{"name": "desk"} | cold, {"name": "ranks", "engine": ENGINE}]
    tenants = [{"name": "clerks", "apiKeys": [KEY]}]
    config = {"version": version, "routes": routes}
    config |= {"services": services, "tenants": tenants}
    return orjson.dumps(config)


def build_settings(name: str, role: str, section: dict, *, port: int) -> dict:
    """Return the settings of a process without the address of the store."""
    return {
        "role": role,
        "instance": name,
        "failure_domain": "one",
        "host": "127.0.0.1",
        "port": port,
        "drain": {"grace_s": GRACE_S},
        role: section,
    }

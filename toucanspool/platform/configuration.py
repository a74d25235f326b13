"""Decoder for the operator's configuration: routes, services, keys and limits."""

from typing import Any

import orjson
import structlog

from toucanspool.backing.checked_values import DECODING_ERRORS, brief, number, text
from toucanspool.recovery.feed import Changes
from toucanspool.routing.routes import (
    CallKind,
    EngineModel,
    KeyHolder,
    RequestLimits,
    Route,
    RouteTable,
    ServiceModel,
)

TABLE = "op"
KEY = "config"
MS_PER_S = 1000.0
MIN_TIMEOUT_MS = 1.0
MAX_PRIORITY = 1000
# Maps hold experts as 16-bit integers.
MAX_ENGINE_COUNT = (1 << 15) - 1
BITS_PER_MBIT = 1e6
BITS_PER_MB = 8e6

_log = structlog.get_logger()

_CALL_KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.AT_MOST_ONCE,
    "streaming": CallKind.STREAM,
}


class BadConfiguration(Exception):
    """Report a configuration that can't be decoded."""


def decode_configuration(value: bytes) -> RouteTable:
    """Decode the value of the configuration's row.

    Parameters
    ----------
    value : bytes
        The configuration as JSON.

    Returns
    -------
    RouteTable

    Raises
    ------
    BadConfiguration
        It is no JSON, or a field is missing or invalid.
    """
    try:
        data = orjson.loads(value)
        return RouteTable(
            version=int(number(data["version"])),
            routes=[_decode_route(route) for route in data["routes"]],
            services={s["name"]: _decode_service(s) for s in data.get("services", ())},
            keys=_decode_keys(data),
            keys_required="tenants" in data,
            limits=_decode_limits(data.get("limits") or {}),
        )
    except DECODING_ERRORS as exc:
        raise BadConfiguration(repr(exc)) from exc


def find_routes(changes: Changes) -> RouteTable | None:
    """Find and decode the configuration among changed rows.

    Parameters
    ----------
    changes : Changes
        Changes of the table `TABLE`.

    Returns
    -------
    RouteTable or None
        None if it is not among the rows, or is invalid; the latter is logged.
    """
    for row in changes.rows:
        if row.key != KEY:
            continue
        try:
            return decode_configuration(row.value)
        except BadConfiguration as exc:
            _log.error("unreadable configuration", error=str(exc), row=row.version)
    return None


def _decode_route(route: dict[str, Any]) -> Route:
    # A route has either a single service or weighted backends.
    backends = route.get("backends") or [{"service": route["service"], "weight": 1}]
    weighted = tuple(
        (text(b["service"]), number(b["weight"])) for b in backends if b["weight"]
    )
    return Route(
        name=text(route["name"]),
        host=text(route["hostname"]).lower(),
        prefix=text(route["prefix"]),
        kind=_CALL_KINDS[route["routeType"]],
        services=weighted,
        timeout_s=number(route["timeoutMs"], MIN_TIMEOUT_MS) / MS_PER_S,
        objective_s=number(route["objectiveMs"]) / MS_PER_S,
        gap_target_s=number(route.get("gapTargetMs") or 0) / MS_PER_S,
        priority=int(number(route.get("priority") or 0, -MAX_PRIORITY, MAX_PRIORITY)),
        max_attempts=int(number(route.get("maxAttempts") or 1)),
        public=bool(route.get("public")),
        resumable=bool(route.get("resumable")),
        allowed_regions=_decode_regions(route),
    )


def _decode_service(service: dict[str, Any]) -> ServiceModel:
    engine = service.get("engine")
    return ServiceModel(
        name=text(service["name"]),
        health_path=text(service.get("healthPath") or "/"),
        engine=_decode_engine(engine) if engine else None,
        cold_start_s=number(service.get("coldStartS") or 0.0),
        cold_per_s=number(service.get("coldPerS") or 0.0),
    )


def _decode_engine(engine: dict[str, Any]) -> EngineModel:
    mean_tokens = engine.get("usual") or {}
    link_mbit_per_s = number(engine.get("linkMbps") or 0.0)
    expert_mb = number(engine.get("expertMb") or 0.0)
    return EngineModel(
        slots=int(number(engine["slots"], 1)),
        step_base_s=number(engine["step_ms"]) / MS_PER_S,
        step_per_request_s=number(engine.get("per_seq_ms", 0.0)) / MS_PER_S,
        prefill_tokens_per_s=number(engine.get("read_per_s") or 1.0),
        steps_per_pass=int(number(engine.get("stride") or 1, 1, MAX_ENGINE_COUNT)),
        mean_prompt_tokens=number(mean_tokens.get("prompt") or 0.0),
        mean_answer_tokens=number(mean_tokens.get("answer") or 0.0),
        layer_sets=int(number(engine.get("sets") or 0, high=MAX_ENGINE_COUNT)),
        experts=int(number(engine.get("experts") or 0, high=MAX_ENGINE_COUNT)),
        expert_slots=int(number(engine.get("placements") or 0, high=MAX_ENGINE_COUNT)),
        copies_per_set=int(number(engine.get("spare") or 0, high=MAX_ENGINE_COUNT)),
        expert_copy_s=expert_mb * BITS_PER_MB / (link_mbit_per_s * BITS_PER_MBIT)
        if link_mbit_per_s
        else 0.0,
    )


def _decode_keys(data: dict[str, Any]) -> dict[str, KeyHolder]:
    keys = {}
    for tenant in data.get("tenants") or ():
        priority = tenant.get("priority")
        if priority is not None:
            priority = int(number(priority, -MAX_PRIORITY, MAX_PRIORITY))
        holder = KeyHolder(
            name=text(tenant["name"]),
            priority=priority,
            allowed_regions=_decode_regions(tenant),
        )
        if not isinstance(tenant["apiKeys"], list):
            raise TypeError("apiKeys must be a list")
        keys.update({text(key): holder for key in tenant["apiKeys"]})
    return keys


def _decode_regions(restricted: dict[str, Any]) -> frozenset[str]:
    regions = restricted.get("allowedRegions") or []
    if not isinstance(regions, list) or not all(isinstance(r, str) for r in regions):
        raise TypeError(f"invalid allowedRegions {brief(regions)}")
    return frozenset(regions)


def _decode_limits(limits: dict[str, Any]) -> RequestLimits:
    default = RequestLimits()
    return RequestLimits(
        max_header_bytes=int(
            number(limits.get("maxHeaderBytes") or 0) or default.max_header_bytes
        ),
        max_body_bytes=int(
            number(limits.get("maxBodyBytes") or 0) or default.max_body_bytes
        ),
        header_timeout_s=number(limits.get("headerTimeoutMs") or 0) / MS_PER_S
        or default.header_timeout_s,
        idle_timeout_s=number(limits.get("idleTimeoutMs") or 0) / MS_PER_S
        or default.idle_timeout_s,
    )

"""The operator's configuration, decoded into routes, services and keys."""

from typing import Any

import orjson
import structlog

from toucanspool.recovery.feed import Changes
from toucanspool.routing.routes import (
    CallKind,
    EngineModel,
    KeyHolder,
    RequestLimits,
    Route,
    RouteTable,
    Service,
)

TABLE = "op"
KEY = "config"
MS_PER_S = 1000.0
MBIT = 1e6
MB_IN_BITS = 8e6

_log = structlog.get_logger()

_KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.AT_MOST_ONCE,
    "streaming": CallKind.STREAM,
}


class BadConfiguration(Exception):
    """Report a configuration that this version can't read."""


def decode_configuration(value: bytes) -> RouteTable:
    """Return the configuration in a row's value.

    Parameters
    ----------
    value : bytes
        JSON.

    Returns
    -------
    RouteTable

    Raises
    ------
    BadConfiguration
        It can't be read.
    """
    try:
        data = orjson.loads(value)
        return RouteTable(
            version=int(data["version"]),
            routes=[_route(route) for route in data["routes"]],
            services={s["name"]: _service(s) for s in data.get("services", ())},
            keys=_keys(data),
            keys_required="tenants" in data,
            limits=_limits(data.get("limits") or {}),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise BadConfiguration(repr(exc)) from exc


def routes_in(changes: Changes) -> RouteTable | None:
    """Return the configuration among changed rows.

    Parameters
    ----------
    changes : Changes
        Of the table `TABLE`.

    Returns
    -------
    RouteTable or None
        None where there is none, or none that can be read.
    """
    for row in changes.rows:
        if row.key != KEY:
            continue
        try:
            return decode_configuration(row.value)
        except BadConfiguration as exc:
            _log.error("unreadable configuration", error=str(exc), row=row.version)
    return None


def _route(route: dict[str, Any]) -> Route:
    # A route has either one service, or several with weights.
    split = route.get("backends") or [{"service": route["service"], "weight": 1}]
    weighted = tuple((s["service"], float(s["weight"])) for s in split if s["weight"])
    return Route(
        name=route["name"],
        host=route["hostname"].lower(),
        prefix=route["prefix"],
        kind=_KINDS[route["routeType"]],
        services=weighted,
        timeout_s=route["timeoutMs"] / MS_PER_S,
        objective_s=route["objectiveMs"] / MS_PER_S,
        gap_target_s=(route.get("gapTargetMs") or 0) / MS_PER_S,
        priority=int(route.get("priority") or 0),
        max_attempts=int(route.get("maxAttempts") or 1),
        public=bool(route.get("public")),
        resumable=bool(route.get("resumable")),
    )


def _service(service: dict[str, Any]) -> Service:
    engine = service.get("engine")
    return Service(
        name=service["name"],
        health_path=service.get("healthPath") or "/",
        engine=_engine(engine) if engine else None,
    )


def _engine(engine: dict[str, Any]) -> EngineModel:
    usual = engine.get("usual") or {}
    rate = engine.get("linkMbps") or 0.0
    size = engine.get("expertMb") or 0.0
    return EngineModel(
        slots=int(engine["slots"]),
        step_base_s=engine["step_ms"] / MS_PER_S,
        step_per_request_s=engine.get("per_seq_ms", 0.0) / MS_PER_S,
        prefill_tokens_per_s=engine.get("read_per_s") or 1.0,
        steps_per_pass=int(engine.get("stride") or 1),
        mean_prompt_tokens=usual.get("prompt") or 0.0,
        mean_answer_tokens=usual.get("answer") or 0.0,
        layer_sets=int(engine.get("sets") or 0),
        experts=int(engine.get("experts") or 0),
        places=int(engine.get("placements") or 0),
        copies_per_set=int(engine.get("spare") or 0),
        expert_copy_s=size * MB_IN_BITS / (rate * MBIT) if rate else 0.0,
    )


def _keys(data: dict[str, Any]) -> dict[str, KeyHolder]:
    keys = {}
    for tenant in data.get("tenants") or ():
        holder = KeyHolder(name=tenant["name"], priority=tenant.get("priority"))
        keys.update(dict.fromkeys(tenant["apiKeys"], holder))
    return keys


def _limits(limits: dict[str, Any]) -> RequestLimits:
    default = RequestLimits()
    return RequestLimits(
        max_header_bytes=int(limits.get("maxHeaderBytes") or default.max_header_bytes),
        max_body_bytes=int(limits.get("maxBodyBytes") or default.max_body_bytes),
        header_timeout_s=(limits.get("headerTimeoutMs") or 0) / MS_PER_S
        or default.header_timeout_s,
        idle_timeout_s=(limits.get("idleTimeoutMs") or 0) / MS_PER_S
        or default.idle_timeout_s,
    )

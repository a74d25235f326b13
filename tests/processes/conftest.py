"""Fixtures: a small system of real processes."""

import os
from collections.abc import Iterator

import pytest

from demo.caller import Caller
from demo.launcher import System

# Test workers run their systems at the same time, each in its own part of the ports.
PART = 1 + int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % 7
PLAN = {
    "region": "test",
    "entries": [
        {"name": "entry-1", "failure_domain": "one"},
        {"name": "entry-2", "failure_domain": "two"},
    ],
    "runners": [
        {"name": "guide-1", "model": "guide", "failure_domain": "one"},
        {"name": "guide-2", "model": "guide", "failure_domain": "two"},
    ],
    "services": [
        {
            "name": "desk-1",
            "service": "booking-desk",
            "failure_domain": "one",
            "guarded": True,
        },
        {
            "name": "desk-2",
            "service": "booking-desk",
            "failure_domain": "two",
            "guarded": True,
        },
    ],
    "step_ms": 10.0,
    "instance_lag_s": 0.3,
    "entry_settings": {
        "address_ttl_s": 0.5,
        "http": {"max_body_bytes": 65536, "body_timeout_s": 1.0},
    },
    "drain_grace_s": 10.0,
    "config_interval_s": 5.0,
    "instances_interval_s": 0.3,
}
RECORDS = [
    {"kind": "operator", "name": "ana"},
    {"kind": "team", "name": "members", "labels": {"share": "1"}},
    {"kind": "team", "name": "clerks", "labels": {"priority": "high"}},
    {
        "kind": "selector",
        "name": "drained",
        "action": "drain",
        "order": 10,
        "upstreams": {"has": {"state": "drain"}},
    },
]


@pytest.fixture
def caller() -> Iterator[Caller]:
    """Yield a caller of a new system whose first configuration is active."""
    with System(PLAN, part=PART) as system:
        client = Caller(system)
        client.configure([dict(record) for record in RECORDS])
        yield client


@pytest.fixture(scope="module")
def module_caller() -> Iterator[Caller]:
    """Yield a caller of one system that all tests of a module share."""
    with System(PLAN, part=PART) as system:
        client = Caller(system)
        client.configure([dict(record) for record in RECORDS])
        yield client

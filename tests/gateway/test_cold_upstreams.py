"""A gateway sends cold upstreams no more than they tolerate."""

import random
import time

import gevent
import pytest
from gevent.pool import Pool

from standins.raw_upstream import answering
from tests.gateway.gateways import Gateway, gateway
from toucanspool.backing.table import Row
from toucanspool.gateway.cold_sharing import SETTLE_S
from toucanspool.membership.entries import ENTRY_PREFIX, Entries, EntryRecord
from toucanspool.platform.probes import Prober
from toucanspool.routing.routes import RouteTable, ServiceModel
from toucanspool.routing.upstream import Listing
from toucanspool.settings.settings import ColdStarts
from toucanspool.telemetry.call_metrics import CallMetrics

PER_S = 4.0
COLD_STARTS = ColdStarts(overrun=1.5, slack=5.0)


def apply_rule(gw: Gateway, settings: ColdStarts | None = COLD_STARTS) -> None:
    """Put the rule on cold upstreams in force at an entry that others know."""
    record = EntryRecord("e1", "a:1", "b:1")
    gw.core._entries.replace([Row(ENTRY_PREFIX + "e1", record.encode(), 1)])
    service = ServiceModel(name="desk", cold_start_s=60.0, cold_per_s=PER_S)
    before = gw.core.routes
    gw.core.set_cold_starts(settings)
    gw.core.set_routes(
        RouteTable(version=2, routes=before.routes, services={"desk": service})
    )


def become_cold(gw: Gateway, *names: str, seconds: float = 60.0) -> None:
    """List upstreams as cold."""
    changes = {
        name: Listing(
            name=name,
            service="desk",
            host="127.0.0.1",
            port=gw.core.upstreams.find(name).listing.port,
            cold_remaining_s=seconds,
        )
        for name in names
    }
    gw.core.upstreams.change(changes, 2, now=time.monotonic())


def call_for(gw: Gateway, seconds: float) -> list[int]:
    """Make 20 calls a second, with ticks in between; return the statuses."""
    calls, statuses = Pool(), []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        gw.core.tick()
        calls.spawn(lambda: statuses.append(gw.call()[0]))
        gevent.sleep(0.05)
    calls.join(timeout=5.0)
    return statuses


def test_a_cold_upstream_gets_no_more_than_its_rate():
    with gateway(answering(b"cold")) as gw:
        apply_rule(gw)
        become_cold(gw, "u0")
        statuses = call_for(gw, SETTLE_S + 3.0)
        seen = len(gw.upstreams[0].seen)
    assert set(statuses) == {200, 503}
    assert 2.0 * PER_S <= seen <= 3.0 * PER_S + 2


def test_calls_go_to_a_warm_upstream_meanwhile():
    with gateway(answering(b"cold"), answering(b"warm")) as gw:
        apply_rule(gw)
        become_cold(gw, "u0")
        assert set(call_for(gw, SETTLE_S + 1.0)) == {200}
        assert not gw.upstreams[0].seen


def test_an_upstream_that_is_warm_again_gets_calls_without_a_bound():
    with gateway(answering(b"cold")) as gw:
        apply_rule(gw)
        become_cold(gw, "u0", seconds=0.3)
        assert gw.call()[0] == 503
        gevent.sleep(0.4)
        assert set(call_for(gw, 1.0)) == {200}


@pytest.mark.parametrize("settings", [None, COLD_STARTS])
def test_deployments_without_the_rule_have_no_bound(settings):
    with gateway(answering(b"answer")) as gw:
        # Either the settings or the service's rate is missing.
        if settings is None:
            apply_rule(gw, None)
        else:
            gw.core.set_cold_starts(settings)
        become_cold(gw, "u0")
        assert set(call_for(gw, 1.0)) == {200}


def test_refused_callers_are_told_different_times():
    with gateway(answering(b"cold")) as gw:
        apply_rule(gw)
        become_cold(gw, "u0")
        gw.core.tick()
        heads = [gw.call()[1] for _ in range(4)]
    times = [float(h.partition("Retry-After: ")[2].split("\r\n")[0]) for h in heads]
    assert len(set(times)) == 4


@pytest.mark.parametrize(
    ("headers", "status", "cold"),
    [
        ("Toucanspool-Cold-Ms: 5000", "200 OK", True),
        ("Toucanspool-Cold-Ms: 5000", "503 Cold", True),
        ("Toucanspool-Cold-Ms: 5000", "421 Other", False),
        ("Toucanspool-Cold-Ms: 0", "200 OK", False),
        ("Toucanspool-Cold-Ms: soon", "200 OK", False),
        ("Toucanspool-Cold-Ms: inf", "200 OK", False),
        ("", "200 OK", False),
    ],
)
def test_a_health_reply_says_that_an_upstream_is_cold(headers, status, cold):
    with gateway(answering(b"", headers=headers, status=status)) as gw:
        apply_rule(gw)
        entries = Entries(EntryRecord("e1", "", ""))
        Prober(entries, gw.core, random.Random(1))._probe_upstream("u0")
        assert gw.core.upstreams.find("u0").bounded == cold


def test_health_checks_count_as_requests_of_a_cold_upstream():
    with gateway(answering(b"")) as gw:
        apply_rule(gw)
        become_cold(gw, "u0")
        prober = Prober(Entries(EntryRecord("e1", "", "")), gw.core, random.Random(1))
        for _ in range(5):
            prober._probe_upstream("u0")
        assert not gw.upstreams[0].seen


def test_the_metric_is_exported():
    metrics = CallMetrics()
    metrics.cold_upstreams.labels("s").set(3)
    assert b'toucanspool_cold_upstreams{service="s"} 3.0' in metrics.render()

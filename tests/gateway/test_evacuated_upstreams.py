"""Calls while failure domains are evacuated, as seen by callers and upstreams."""

import time
from collections.abc import Callable

import gevent
import pytest

from standins.raw_upstream import answering, event, streaming
from tests.gateway.gateways import Gateway, gateway, route
from toucanspool.gateway.call import RefusalCause
from toucanspool.membership.entries import Entries
from toucanspool.membership.entry_record import EntryRecord
from toucanspool.platform.probes import Prober
from toucanspool.retries.ejection import AttemptResult
from toucanspool.routing.routes import CallKind, EngineModel, RouteTable, ServiceModel
from toucanspool.routing.upstream import Listing

ENGINE = EngineModel(
    slots=5,
    step_base_s=0.005,
    step_per_request_s=0.001,
    prefill_tokens_per_s=60_000.0,
    steps_per_pass=4,
    mean_prompt_tokens=100.0,
    mean_answer_tokens=32.0,
)
STREAM = route(CallKind.STREAM, resumable=True, gap_target_s=0.12, max_attempts=3)


def place(gw: Gateway, *domains: str) -> None:
    """Put the upstreams into failure domains, in order."""
    listings = [
        Listing(
            name=f"u{number}",
            service="desk",
            host="127.0.0.1",
            port=upstream.port,
            failure_domain=domain,
        )
        for number, (upstream, domain) in enumerate(
            zip(gw.upstreams, domains, strict=True)
        )
    ]
    gw.core.upstreams.replace(listings, 2, now=time.monotonic())


def evacuate(gw: Gateway, *domains: str) -> None:
    gw.core.upstreams.evacuations.replace(domains, time.monotonic())


def limit_streams(gw: Gateway) -> None:
    """Give the service an engine model, so that its streams are limited."""
    services = {"desk": ServiceModel(name="desk", engine=ENGINE)}
    gw.core.set_routes(RouteTable(version=2, routes=[STREAM], services=services))
    gw.core.tick()


def test_an_evacuated_domain_gets_no_call_until_it_is_taken_back():
    with gateway(answering(b"0"), answering(b"1")) as gw:
        place(gw, "one", "two")
        evacuate(gw, "one")
        assert {gw.call()[2] for _ in range(6)} == {b"1"}
        evacuate(gw)
        # The entry prefers its own failure domain.
        assert gw.call()[2] == b"0"


@pytest.mark.parametrize("prepare", [lambda gw: None, limit_streams])
def test_calls_are_refused_at_once_with_a_retry_time_if_all_are_evacuated(
    prepare: Callable[[Gateway], None],
):
    with gateway(answering()) as gw:
        prepare(gw)
        place(gw, "one")
        evacuate(gw, "one")
        gw.core.tick()
        started = time.monotonic()
        status, head, body = gw.call("POST", body=b"x")
        # Waiting for a free place or an upstream would take 0.25 s.
        assert time.monotonic() - started < 0.2
        assert status == 503
        assert "Retry-After: 1.000" in head
        assert RefusalCause.EVACUATED.value.encode() in body
        assert not gw.upstreams[0].seen
        assert b'refusals_total{cause="EVACUATED"} 1.0' in gw.metrics.render()


def test_a_draining_upstream_is_no_evacuated_one():
    with gateway(answering()) as gw:
        place(gw, "one")
        gw.core.upstreams.find("u0").leave()
        evacuate(gw, "one")
        assert RefusalCause.NO_UPSTREAM.value.encode() in gw.call()[2]


def test_a_running_stream_ends_normally_and_a_broken_one_goes_elsewhere():
    events = [event(number) for number in range(1, 5)]
    whole = streaming(events, gap_s=0.1)
    with gateway(whole, answering(), routes=[STREAM]) as gw:
        place(gw, "one", "two")
        evacuate(gw, "two")
        call = gevent.spawn(gw.call, "POST", body=b"ask")
        gevent.sleep(0.15)
        evacuate(gw, "one", "two")
        status, _, body = call.get(timeout=3.0)
        assert status == 200
        assert body.endswith(b"0\r\n\r\n")
    broken = streaming(events[:2], gap_s=0.1, cut=True)
    with gateway(broken, whole, whole, routes=[STREAM]) as gw:
        place(gw, "one", "two", "three")
        evacuate(gw, "two", "three")
        call = gevent.spawn(gw.call, "POST", body=b"ask")
        gevent.sleep(0.15)
        evacuate(gw, "one", "two")
        assert call.get(timeout=3.0)[0] == 200
        assert [len(upstream.seen) for upstream in gw.upstreams] == [1, 0, 1]


def test_the_stream_limit_follows_within_one_tick():
    with gateway(*[answering()] * 3) as gw:
        limit_streams(gw)
        place(gw, "one", "two", "three")
        gw.core.tick()
        before = gw.core.limits()["desk"]["limit"]
        evacuate(gw, "two", "three")
        gw.core.tick()
        assert gw.core.limits()["desk"]["limit"] == pytest.approx(before / 3, abs=0.2)


def test_the_metric_counts_evacuated_domains():
    with gateway(answering()) as gw:
        evacuate(gw, "one", "two")
        gw.core.tick()
        assert b"toucanspool_evacuated_domains 2.0" in gw.metrics.render()


def test_an_ejected_upstream_of_an_evacuated_domain_is_not_probed():
    with gateway(answering(), answering()) as gw:
        place(gw, "one", "two")
        evacuate(gw, "one")
        for _ in range(20):
            for name in ("u0", "u1"):
                now = time.monotonic()
                gw.core.ejector.record(name, AttemptResult.UNREACHABLE, now)
        prober = Prober(Entries(EntryRecord("e1", "", "")), gw.core, None)
        for name in ("u0", "u1"):
            prober._probe_upstream(name)
        assert [len(upstream.seen) for upstream in gw.upstreams] == [0, 1]

"""Upstreams that crash are told from connections that break."""

import time
from contextlib import contextmanager

import gevent
from gevent.server import StreamServer

from toucanspool.gateway.crash_watch import CHECK_DELAY_S, Crash, CrashWatch
from toucanspool.retries.crash_evidence import CrashId
from toucanspool.routing.upstream import Listing, Upstream


@contextmanager
def listening_upstream():
    server = StreamServer(("127.0.0.1", 0), lambda sock, address: sock.close())
    server.start()
    listing = Listing(
        name="u0", service="s", host="127.0.0.1", port=server.server_port, started_ms=5
    )
    yield server, Upstream(listing)
    server.stop(timeout=0)


def test_an_upstream_that_refuses_connections_after_a_break_has_crashed():
    crashes = []
    with listening_upstream() as (server, upstream):
        watch = CrashWatch(crashes.append)
        watch.record_break(upstream, ("a", "b"), 1.0)
        watch.record_break(upstream, ("a", "c"), 2.0)
        server.stop(timeout=0)
        gevent.sleep(CHECK_DELAY_S * 2)
    assert crashes == [Crash(CrashId("u0", 5, 1), (("a", "b"), ("a", "c")))]


def test_a_broken_reply_of_a_running_upstream_is_no_crash():
    crashes = []
    with listening_upstream() as (_, upstream):
        CrashWatch(crashes.append).record_break(upstream, ("a", "b"), 1.0)
        gevent.sleep(CHECK_DELAY_S * 2)
    assert not crashes


def test_breaks_of_calls_sent_before_a_crash_belong_to_it_and_later_ones_to_another():
    crashes = []
    with listening_upstream() as (server, upstream):
        watch = CrashWatch(crashes.append)
        server.stop(timeout=0)
        sent_at = time.monotonic()
        watch.record_break(upstream, ("a",), sent_at)
        gevent.sleep(CHECK_DELAY_S * 2)
        watch.record_break(upstream, ("b",), sent_at)
        gevent.sleep(CHECK_DELAY_S * 2)
        watch.record_break(upstream, ("c",), time.monotonic())
        gevent.sleep(CHECK_DELAY_S * 2)
    assert [crash.id.number for crash in crashes] == [1, 1, 2]

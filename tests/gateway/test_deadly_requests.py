"""A request that crashes what runs it, and comes again, stops reaching upstreams."""

import gevent
import pytest
from gevent.pool import Pool

from standins.raw_upstream import (
    RawUpstream,
    ReceivedRequest,
    Script,
    answering,
    event,
    streaming,
)
from tests.gateway.gateways import Gateway, gateway, route
from toucanspool.routing.routes import CallKind

UPSTREAMS = 20
DOWN_S = 0.5
REPEATS = 8
REPEAT_GAP_S = 0.7
# Three upstreams may end before anybody can know, and three more retries are allowed.
MAX_CRASHES = 6
DEADLY, SOUND = b"deadly", b"sound"


class CrashingUpstream:
    """Crash under deadly requests some time after they begin, and come back."""

    def __init__(self, delay_s: float, script: Script) -> None:
        self.raw: RawUpstream | None = None
        self._delay_s = delay_s
        self._script = script

    def __call__(self, sock: object, seen: ReceivedRequest) -> None:
        """Serve a request."""
        if seen.body != DEADLY:
            self._script(sock, seen)
            return
        gevent.sleep(self._delay_s)
        gevent.spawn(self._crash)
        gevent.sleep(DOWN_S)

    def _crash(self) -> None:
        self.raw.crash()
        gevent.sleep(DOWN_S)
        self.raw.restart()


def crashing_gateway(delay_s: float, script: Script, **options: object):
    scripts = [CrashingUpstream(delay_s, script) for _ in range(UPSTREAMS)]
    return scripts, gateway(*scripts, **options)


def send_repeatedly(gw: Gateway, path: str = "/p/x") -> list[int]:
    statuses = []
    for _ in range(REPEATS):
        statuses.append(gw.call("POST", path=path, body=DEADLY)[0])
        gevent.sleep(REPEAT_GAP_S)
    return statuses


def crashes(gw: Gateway) -> int:
    return sum(seen.body == DEADLY for u in gw.upstreams for seen in u.seen)


STREAM_ROUTE = route(CallKind.STREAM, resumable=True)
ROUTES = {
    "idempotent": (route(), answering()),
    "at most once": (route(CallKind.AT_MOST_ONCE, max_attempts=1), answering()),
    "stream": (STREAM_ROUTE, streaming([event(1)])),
}


@pytest.mark.parametrize("delay_s", [0.0, 0.08])
@pytest.mark.parametrize("kind", ROUTES)
def test_a_request_that_crashes_upstreams_is_rejected_when_it_comes_again(
    kind, delay_s
):
    routes, script = [ROUTES[kind][0]], ROUTES[kind][1]
    scripts, running = crashing_gateway(delay_s, script, routes=routes)
    with running as gw:
        for crashing, raw in zip(scripts, gw.upstreams, strict=True):
            crashing.raw = raw
        statuses = send_repeatedly(gw)
        assert crashes(gw) <= MAX_CRASHES
        assert statuses[-1] == 503
        # Other requests of the same path are served.
        assert gw.call("POST", body=SOUND)[0] == 200


def test_sound_requests_beside_a_deadly_one_are_not_blocked():
    scripts, running = crashing_gateway(0.05, answering())
    with running as gw:
        for crashing, raw in zip(scripts, gw.upstreams, strict=True):
            crashing.raw = raw
        sound, statuses = Pool(), []

        def call_sound(number: int) -> None:
            # Ten requests come again and again, as the deadly one does.
            body = SOUND + str(number % 10).encode()
            statuses.append(gw.call("POST", body=body)[0])

        def call_steadily() -> None:
            for number in range(150):
                sound.spawn(call_sound, number)
                gevent.sleep(0.04)

        steady = gevent.spawn(call_steadily)
        send_repeatedly(gw)
        steady.join()
        sound.join(timeout=5.0)
        assert crashes(gw) <= MAX_CRASHES
        assert statuses[-20:] == [200] * 20
        assert len(gw.core.quarantine.blocked) == 1


def test_the_caller_is_told_that_the_request_was_not_run_again():
    scripts, running = crashing_gateway(0.0, answering())
    with running as gw:
        for crashing, raw in zip(scripts, gw.upstreams, strict=True):
            crashing.raw = raw
        send_repeatedly(gw)
        status, head, body = gw.call("POST", body=DEADLY)
    assert status == 503
    assert "Retry-After: " in head
    assert b'"not_run"' in body

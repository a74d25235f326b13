"""Second attempts of a gateway as a real process, with one upstream that gets slow."""

import signal
import time
from contextlib import contextmanager

import gevent

from standins.raw_upstream import answering
from standins.row_store import RowStore
from tests.gateway.gateways import HOST, request
from tests.platform.test_operator_configuration import ROUTE
from tests.processes.test_gateway import GatewayProcess

RATIO = 0.1
SLOW_S = 1.5
WARM_UP_CALLS = 90
CALLS = 40
# Without a second attempt, a slow call takes 1.5 s.
SOON_S = 1.0
ROUTES = [
    {
        **ROUTE,
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "routeType": kind,
        "backends": [{"service": "s", "weight": 1}],
        "maxAttempts": 2,
    }
    for name, kind in (("find", "idempotent"), ("book", "non_idempotent"))
]


class Changing:
    """Answer at once until told to be slow."""

    def __init__(self) -> None:
        self.slow = False
        self.served = 0

    def __call__(self, sock, seen):
        """Serve a request."""
        self.served += 1
        if self.slow:
            gevent.sleep(SLOW_S)
        answering()(sock, seen)


@contextmanager
def hedging_process(folder, *scripts):
    with RowStore() as store:
        process = GatewayProcess(store, folder, *scripts)
        process.configure(1, routes=ROUTES)
        process.write_settings(hedging={"ratio": RATIO, "min_delay_ms": 50})
        process.start()
        try:
            yield process
        finally:
            process.close()


def call(one, path="/find/x") -> float:
    began_at = time.monotonic()
    assert one.send(request("POST", path=path, body=b"x"))[0] == 200
    return time.monotonic() - began_at


def test_slow_calls_are_answered_elsewhere_within_the_share(tmp_path):
    scripts = Changing(), Changing(), Changing()
    with hedging_process(tmp_path, *scripts) as one:
        for _ in range(WARM_UP_CALLS):
            call(one)
        served_before = sum(script.served for script in scripts)
        scripts[0].slow = True
        times = [call(one) for _ in range(CALLS)]
        hedges = one.lines("second attempt")
        won = [line for line in hedges if line["winner"] == "second"]
        assert won
        assert {line["upstream"] for line in won} == {"u0"}
        assert all(line["took_ms"] < 1000 * SOON_S for line in won)
        # Each second attempt is one request more, and no call is run a third time.
        extra = sum(script.served for script in scripts) - served_before - CALLS
        assert extra == len(hedges) <= RATIO * (WARM_UP_CALLS + CALLS)
        # Losing is a failure, so the slow upstream is ejected, and few calls are slow.
        assert sum(t >= SOON_S for t in times) <= 2
        metrics = one.get(one.metrics, "/metrics")[1]
        sample = f'attempts_total{{service="s",winner="second"}} {len(won)}.0'
        assert sample.encode() in metrics


def test_calls_that_run_at_most_once_are_never_sent_twice(tmp_path):
    scripts = Changing(), Changing()
    with hedging_process(tmp_path, *scripts) as one:
        for _ in range(WARM_UP_CALLS):
            call(one, "/book/x")
        scripts[0].slow = scripts[1].slow = True
        call(one, "/book/x")
        assert sum(script.served for script in scripts) == WARM_UP_CALLS + 1
        assert not one.lines("second attempt")


def test_second_attempts_end_as_their_section_is_taken_out_of_the_settings(tmp_path):
    scripts = Changing(), Changing()
    with hedging_process(tmp_path, *scripts) as one:
        for _ in range(WARM_UP_CALLS):
            call(one)
        one.write_settings()
        one.process.send_signal(signal.SIGHUP)
        gevent.sleep(0.5)
        scripts[0].slow = scripts[1].slow = True
        call(one)
        assert not one.lines("second attempt")
        assert not one.lines("no second attempt")

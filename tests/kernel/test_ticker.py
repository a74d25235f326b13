"""A ticker goes on whatever its function raises."""

import random

import gevent
import pytest

from toucanspool.kernel.ticker import Ticker


@pytest.mark.parametrize("error", [ValueError("x"), gevent.Timeout(1.0)])
def test_a_ticker_goes_on_after_an_error(error):
    """Guards against a periodic task that ends while the process runs on."""
    calls = []

    def fail():
        calls.append(None)
        raise error

    ticker = Ticker("t", 0.01, fail, rng=random.Random(1))
    ticker.start()
    gevent.sleep(0.1)
    ticker.stop()
    assert len(calls) > 2

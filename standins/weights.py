"""The rate-limited weight store as a process: ``python -m standins.weights --port=N``.

``GET /weights?bytes=N`` is answered after the time that N bytes take at the store's
rate. All callers share that rate.
"""

from gevent import monkey

monkey.patch_all()

import time

import falcon
import gevent
from absl import app as absl_app
from absl import flags

from standins.faults import Faults
from standins.http import make_app, serve

BYTES_PER_S = flags.DEFINE_float("bytes_per_s", 1e9, "Rate of the store.")


class WeightPages:
    """Serve weight requests one after another at a fixed rate.

    Parameters
    ----------
    faults : Faults
        The active faults.
    bytes_per_s : float
        Rate of the store.
    """

    def __init__(self, faults: Faults, bytes_per_s: float) -> None:
        self._faults = faults
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self._served_bytes = 0

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer after the time that the bytes take."""
        self._faults.before()
        size = req.get_param_as_int("bytes", required=True, min_value=0)
        starts_at = max(self._free_at, time.monotonic())
        self._free_at = starts_at + size / self._bytes_per_s
        gevent.sleep(max(0.0, self._free_at - time.monotonic()))
        self._served_bytes += size
        resp.media = {"bytes": size}

    def on_get_seen(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the total number of bytes served."""
        resp.media = {"bytes": self._served_bytes}


def main(argv: list[str]) -> None:
    """Serve the weight store."""
    faults = Faults(sleep=gevent.sleep)
    app = make_app(faults)
    pages = WeightPages(faults, BYTES_PER_S.value)
    app.add_route("/weights", pages)
    app.add_route("/seen", pages, suffix="seen")
    serve(app)


if __name__ == "__main__":
    absl_app.run(main)

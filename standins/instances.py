"""The lagging instance list as a process.

``python -m standins.instances --port=N --lag_s=S``; ``PUT /instances/NAME`` with
an instance's fields lists it, ``DELETE`` drops it; both are seen a lag later.
"""

from gevent import monkey

monkey.patch_all()

import time
from collections import deque

import falcon
import orjson
from absl import app as absl_app
from absl import flags

from standins.faults import Faults
from standins.http import make_app, serve

LAG_S = flags.DEFINE_float("lag_s", 1.0, "Delay before a change is listed, seconds.")


class InstancePages:
    """Serve the list, behind by a lag.

    Parameters
    ----------
    faults : Faults
        The faults in force.
    lag_s : float
        The lag, in seconds.
    """

    def __init__(self, faults: Faults, lag_s: float) -> None:
        self._faults = faults
        self._lag_s = lag_s
        self._listed: dict[str, dict] = {}
        self._start = time.time_ns()
        self._changes = 0
        self._coming: deque[tuple[float, str, dict | None]] = deque()

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the list."""
        self._faults.before()
        now = time.monotonic()
        while self._coming and self._coming[0][0] <= now:
            self._settle(*self._coming.popleft()[1:])
        tag = f"{self._start}-{self._changes}"
        resp.etag = tag
        if tag in (req.if_none_match or ()):
            resp.status = falcon.HTTP_304
            return
        resp.media = list(self._listed.values())

    def on_put_one(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """List an instance."""
        self._note(name, orjson.loads(req.bounded_stream.read()))

    def on_delete_one(
        self, req: falcon.Request, resp: falcon.Response, name: str
    ) -> None:
        """Drop an instance."""
        self._note(name, None)

    def _note(self, name: str, fields: dict | None) -> None:
        self._coming.append((time.monotonic() + self._lag_s, name, fields))

    def _settle(self, name: str, fields: dict | None) -> None:
        self._changes += 1
        if fields is None:
            self._listed.pop(name, None)
        else:
            self._listed[name] = fields


def main(argv: list[str]) -> None:
    """Serve the list."""
    faults = Faults()
    app = make_app(faults)
    pages = InstancePages(faults, LAG_S.value)
    app.add_route("/instances", pages)
    app.add_route("/instances/{name}", pages, suffix="one")
    serve(app)


if __name__ == "__main__":
    absl_app.run(main)

"""A booking service as a process: ``python -m standins.service --port=N``.

Its calls are not idempotent: each POST to ``/bookings`` books a seat, whatever its
idempotency key. ``GET /seen`` lists all executions.
"""

from gevent import monkey

monkey.patch_all()

import falcon
import gevent
import orjson
from absl import app as absl_app
from absl import flags

from standins.faults import Faults
from standins.http import make_app, serve

NAME = flags.DEFINE_string("name", "booking-desk", "Name, part of each booking.")
WORK_MS = flags.DEFINE_float("work_ms", 5.0, "Time of a call, ms.")


class BookingPages:
    """Book seats and list the bookings made.

    Parameters
    ----------
    faults : Faults
        The active faults.
    """

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._executions: list[dict] = []

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Book a seat."""
        self._faults.before()
        body = orjson.loads(req.bounded_stream.read() or b"{}")
        number = f"{NAME.value}-{len(self._executions) + 1}"
        key = req.get_header("idempotency-key")
        self._executions.append({"key": key, "booking": number, "body": body})
        gevent.sleep(WORK_MS.value / 1000.0)
        self._faults.after_write()
        resp.status = falcon.HTTP_201
        resp.media = {"booking": number, "seat": body.get("seat")}

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the number of bookings."""
        resp.media = {"bookings": len(self._executions)}

    def on_get_seen(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return all executions with their idempotency keys."""
        resp.media = self._executions


def main(argv: list[str]) -> None:
    """Serve the booking service."""
    faults = Faults(sleep=gevent.sleep)
    pages = BookingPages(faults)
    app = make_app(faults)
    app.add_route("/bookings", pages)
    app.add_route("/seen", pages, suffix="seen")
    serve(app)


if __name__ == "__main__":
    absl_app.run(main)

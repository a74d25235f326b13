"""A booking desk as a process: ``python -m standins.service --port=N``.

Its calls may not be repeated: each POST to ``/bookings`` takes a seat, with no
idempotency of its own. ``GET /seen`` returns each execution.
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
    """Take bookings.

    Parameters
    ----------
    faults : Faults
        The faults in force.
    """

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._seen: list[dict] = []

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Take a seat."""
        self._faults.before()
        body = orjson.loads(req.bounded_stream.read() or b"{}")
        number = f"{NAME.value}-{len(self._seen) + 1}"
        key = req.get_header("idempotency-key")
        self._seen.append({"key": key, "booking": number, "body": body})
        gevent.sleep(WORK_MS.value / 1000.0)
        self._faults.after_write()
        resp.status = falcon.HTTP_201
        resp.media = {"booking": number, "seat": body.get("seat")}

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the number of bookings."""
        resp.media = {"bookings": len(self._seen)}

    def on_get_seen(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return each execution."""
        resp.media = self._seen


def main(argv: list[str]) -> None:
    """Serve the booking desk."""
    faults = Faults(sleep=gevent.sleep)
    pages = BookingPages(faults)
    app = make_app(faults)
    app.add_route("/bookings", pages)
    app.add_route("/seen", pages, suffix="seen")
    serve(app)


if __name__ == "__main__":
    absl_app.run(main)

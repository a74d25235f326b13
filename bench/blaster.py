"""Upstream that streams events at full speed or at a fixed interval.

``python -m bench.blaster --port=N``; the fields ``max_tokens`` and ``pace_ms`` of a
request set the number of events and the interval between them.
"""

from gevent import monkey

monkey.patch_all()

from collections.abc import Iterator

import falcon
import gevent
import orjson
from absl import app as absl_app

from standins.faults import Faults
from standins.http import make_app, serve

EVENT = (
    b'data: {"id":"x","object":"chat.completion.chunk","model":"guide","choices":'
    b'[{"index":0,"delta":{"content":"token "},"finish_reason":null}]}\n\n'
)
DONE = b"data: [DONE]\n\n"


class EventStreamResource:
    """Stream chat completion events and report an idle load."""

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Stream ``max_tokens`` events."""
        body = orjson.loads(req.bounded_stream.read())
        if not body.get("stream"):
            resp.media = {"choices": []}
            return
        resp.content_type = "text/event-stream"
        resp.stream = self._events(body["max_tokens"], body.get("pace_ms", 0.0))

    def on_get_load(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Report an idle load."""
        resp.media = {"running": 0, "waiting": 0, "step_ms": 1.0}

    def _events(self, count: int, pace_ms: float) -> Iterator[bytes]:
        for _ in range(count):
            if pace_ms:
                gevent.sleep(pace_ms / 1000.0)
            yield EVENT
        yield DONE


def main(argv: list[str]) -> None:
    """Start the upstream."""
    app = make_app(Faults())
    resource = EventStreamResource()
    app.add_route("/v1/chat/completions", resource)
    app.add_route("/load", resource, suffix="load")
    serve(app)


if __name__ == "__main__":
    absl_app.run(main)

"""Minimal falcon relay used as a baseline: ``python -m bench.bare_relay --port=N``."""

from gevent import monkey

monkey.patch_all()

from collections.abc import Iterator
from typing import Any

import falcon
from absl import app as absl_app
from absl import flags
from geventhttpclient import HTTPClient

from standins.faults import Faults
from standins.http import HOST, make_app, serve

TARGET = flags.DEFINE_integer("target", None, "Port of the upstream.", required=True)


class RelayResource:
    """Relay chat completions without parsing them."""

    def __init__(self) -> None:
        self._client = HTTPClient(
            HOST.value, TARGET.value, concurrency=256, network_timeout=60.0
        )

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Relay a request to the upstream and stream the response."""
        body = req.bounded_stream.read()
        headers = {"content-type": "application/json"}
        answer = self._client.request("POST", req.path, body=body, headers=headers)
        resp.status = answer.status_code
        resp.content_type = answer["content-type"]
        resp.stream = self._read_events(answer)

    def _read_events(self, answer: Any) -> Iterator[bytes]:
        while event := answer.readline(b"\n\n"):
            yield event
        if rest := answer.read():
            yield rest


def main(argv: list[str]) -> None:
    """Start the relay."""
    app = make_app(Faults())
    app.add_route("/v1/chat/completions", RelayResource())
    serve(app)


if __name__ == "__main__":
    absl_app.run(main)

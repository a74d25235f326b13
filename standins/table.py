"""The table service as a process: ``python -m standins.table --port=N``."""

from gevent import monkey

monkey.patch_all()

import time
from base64 import b64decode, b64encode

import falcon
import orjson
from absl import app as absl_app
from absl import flags

from standins.http import make_app, serve
from standins.memory import MemoryTable
from toucanspool.backing.table import (
    Check,
    Row,
    TableConflict,
    TableUnavailable,
    TableUncertain,
    Write,
)

WRITES_PER_S = flags.DEFINE_float("writes_per_s", 300.0, "Commits allowed a second.")


class RateLimit:
    """Limit calls per second by a token bucket that holds a tenth of a second's calls.

    Parameters
    ----------
    per_s : float
        Calls allowed per second.
    """

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = self._burst = max(1.0, per_s / 10)
        self._refilled_at = time.monotonic()

    def allow(self) -> bool:
        """Take a token if one is available; return whether it was."""
        now = time.monotonic()
        self._tokens = min(
            self._burst, self._tokens + (now - self._refilled_at) * self._per_s
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class TablePages:
    """Serve get, scan and commit.

    Parameters
    ----------
    table : MemoryTable
        The table to serve.
    rate_limit : RateLimit
        Limit on commits; excess ones get 429.
    """

    def __init__(self, table: MemoryTable, rate_limit: RateLimit) -> None:
        self._table = table
        self._rate_limit = rate_limit

    def on_post_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the rows present among ``keys``."""
        body = orjson.loads(req.bounded_stream.read())
        resp.media = _encode_rows(list(self._table.get(body["keys"]).values()))

    def on_post_scan(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the rows whose key has a prefix."""
        body = orjson.loads(req.bounded_stream.read())
        rows = self._table.scan(
            body["prefix"], after=body["after"], limit=body["limit"]
        )
        resp.media = _encode_rows(rows)

    def on_post_commit(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Commit a transaction."""
        body = orjson.loads(req.bounded_stream.read())
        if not self._rate_limit.allow():
            resp.status = falcon.HTTP_429
            return
        checks = [Check(key, version) for key, version in body["checks"]]
        writes = [
            Write(key, None if value is None else b64decode(value))
            for key, value in body["writes"]
        ]
        try:
            resp.media = {"version": self._table.commit(checks, writes)}
        except TableConflict as exc:
            resp.status = falcon.HTTP_409
            resp.media = {"keys": exc.keys}


def _encode_rows(rows: list[Row]) -> list[list]:
    return [[r.key, b64encode(r.value).decode(), r.version] for r in rows]


def main(argv: list[str]) -> None:
    """Serve the table."""
    table = MemoryTable()
    app = make_app(table.faults)
    app.add_error_handler(TableUnavailable, _status_handler(falcon.HTTP_503))
    app.add_error_handler(TableUncertain, _status_handler(falcon.HTTP_504))
    pages = TablePages(table, RateLimit(WRITES_PER_S.value))
    app.add_route("/get", pages, suffix="get")
    app.add_route("/scan", pages, suffix="scan")
    app.add_route("/commit", pages, suffix="commit")
    serve(app)


def _status_handler(status: str):
    def handle(req: object, resp: falcon.Response, exc: Exception, params: object):
        resp.status = status

    return handle


if __name__ == "__main__":
    absl_app.run(main)

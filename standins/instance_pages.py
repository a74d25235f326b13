"""The pages of the lagging instance list."""

import time
from collections import deque

import falcon
import orjson

from standins.faults import Faults


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

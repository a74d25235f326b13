"""HTTP API of an instance list whose changes appear with a lag."""

import time
from collections import deque

import falcon
import orjson

from standins.faults import Faults


class InstancePages:
    """Serve the instance list and apply changes to it after a lag.

    Parameters
    ----------
    faults : Faults
        The active faults.
    lag_s : float
        Delay before a change appears in the list, in seconds.
    """

    def __init__(self, faults: Faults, lag_s: float) -> None:
        self._faults = faults
        self._lag_s = lag_s
        self._instances: dict[str, dict] = {}
        self._started_ns = time.time_ns()
        self._changes = 0
        self._pending: deque[tuple[float, str, dict | None]] = deque()

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the list, or 304 if it is unchanged."""
        self._faults.before()
        now = time.monotonic()
        while self._pending and self._pending[0][0] <= now:
            self._apply(*self._pending.popleft()[1:])
        tag = f"{self._started_ns}-{self._changes}"
        resp.etag = tag
        if tag in (req.if_none_match or ()):
            resp.status = falcon.HTTP_304
            return
        resp.media = list(self._instances.values())

    def on_put_one(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Schedule adding or replacing an instance."""
        self._schedule(name, orjson.loads(req.bounded_stream.read()))

    def on_delete_one(
        self, req: falcon.Request, resp: falcon.Response, name: str
    ) -> None:
        """Schedule removing an instance."""
        self._schedule(name, None)

    def _schedule(self, name: str, fields: dict | None) -> None:
        self._pending.append((time.monotonic() + self._lag_s, name, fields))

    def _apply(self, name: str, fields: dict | None) -> None:
        self._changes += 1
        if fields is None:
            self._instances.pop(name, None)
        else:
            self._instances[name] = fields

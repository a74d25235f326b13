"""A rank's engine behind HTTP."""

from typing import Any

from toucanspool.groups.engine import (
    EngineRefused,
    EngineState,
    EngineUnavailable,
)
from toucanspool.platform.http_client import CallLost, CallRefused, JsonClient

OK_STATUS = 200
CONFLICT_STATUS = 409


class HttpEngine:
    """Give orders to one rank's engine; implements `engine.Engine`.

    Parameters
    ----------
    client : JsonClient
        Calls the engine beside this process. Its timeout must be longer than any
        pause of the engine, since an order given up could take effect later.
    rank : int
        The rank.
    """

    __slots__ = ("_client", "_path")

    def __init__(self, client: JsonClient, rank: int) -> None:
        self._client = client
        self._path = f"/ranks/{rank}"

    def state(self) -> EngineState:
        """Return the rank's state; see `Engine`."""
        body = self._call("GET", self._path)
        return EngineState(body["version"], body["spare"], body["held"], body["step"])

    def load(self, version: int, experts: bytes, fence: int) -> None:
        """Start to load the experts of a map; see `Engine`."""
        self._order("load", fence, version)

    def hold(self, fence: int) -> None:
        """Hold the rank at the next step boundary; see `Engine`."""
        self._order("hold", fence)

    def switch(self, version: int, fence: int) -> None:
        """Use the map loaded beside; see `Engine`."""
        self._order("switch", fence, version)

    def resume(self, fence: int) -> None:
        """Let the rank start steps again; see `Engine`."""
        self._order("resume", fence)

    def _order(self, name: str, fence: int, version: int = 0) -> None:
        body = {"fence": fence, "version": version}
        self._call("POST", f"{self._path}/orders/{name}", body)

    def _call(self, method: str, path: str, body: Any = None) -> Any:
        try:
            status, answer = self._client.call(method, path, body)
        except (CallRefused, CallLost) as exc:
            raise EngineUnavailable(str(exc)) from exc
        if status == CONFLICT_STATUS:
            raise EngineRefused(answer["reason"])
        if status != OK_STATUS:
            raise EngineUnavailable(f"status {status}")
        return answer

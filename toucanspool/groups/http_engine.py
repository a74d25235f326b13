"""A rank's engine over HTTP; implements `Engine`."""

from base64 import b64encode
from typing import Any

from toucanspool.backing.http_client import CallLost, CallRefused, JsonClient
from toucanspool.groups.engine import EngineRefused, EngineState, EngineUnavailable

HTTP_OK = 200
HTTP_CONFLICT = 409


class HttpEngine:
    """Call one rank's engine over HTTP.

    Parameters
    ----------
    client : JsonClient
        Client of the process that runs the rank.
    rank : int
        Index of the rank within its group.
    """

    __slots__ = ("_client", "_path")

    def __init__(self, client: JsonClient, rank: int) -> None:
        self._client = client
        self._path = f"/ranks/{rank}"

    def state(self) -> EngineState:
        """Return the rank's state; see `Engine`."""
        body = self._call("GET", self._path, None)
        return EngineState(
            version=body["version"],
            staged_version=body["spare"],
            held=body["held"],
            step=body["step"],
        )

    def load(self, version: int, experts: bytes, fence: int) -> None:
        """Start to load a map's experts; see `Engine`."""
        encoded = b64encode(experts).decode()
        self._order("load", version=version, experts=encoded, fence=fence)

    def hold(self, fence: int) -> None:
        """Hold the rank at its next step boundary; see `Engine`."""
        self._order("hold", fence=fence)

    def switch(self, version: int, fence: int) -> None:
        """Activate the staged map; see `Engine`."""
        self._order("switch", version=version, fence=fence)

    def resume(self, fence: int) -> None:
        """Let the rank start steps again; see `Engine`."""
        self._order("resume", fence=fence)

    def work(self) -> dict[str, Any]:
        """Return the rank's work since the previous call.

        Returns
        -------
        dict
            ``version``, ``steps``, ``busy_s`` and ``tokens``, which has one list for
            each layer.

        Raises
        ------
        EngineUnavailable
            No response was received.
        """
        return self._call("GET", f"{self._path}/work", None)

    def _order(self, name: str, **body: Any) -> None:
        self._call("POST", f"{self._path}/orders/{name}", body)

    def _call(self, method: str, path: str, body: Any) -> Any:
        try:
            status, response = self._client.call(method, path, body)
        except (CallRefused, CallLost) as exc:
            raise EngineUnavailable(str(exc)) from exc
        if status == HTTP_CONFLICT:
            raise EngineRefused(response["reason"])
        if status != HTTP_OK:
            raise EngineUnavailable(f"the engine answered {status}")
        return response

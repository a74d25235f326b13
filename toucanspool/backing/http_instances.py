"""The platform's instance list over HTTP; implements `InstanceList`."""

from toucanspool.backing.http_client import CallLost, CallRefused, JsonClient
from toucanspool.backing.instances import Instance, InstancesUnavailable

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304


class HttpInstances:
    """Read and keep up the platform's list over HTTP.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port.
    timeout_s : float, default=2.0
        The longest wait for an answer, in seconds.
    """

    __slots__ = ("_client", "_known", "_tag")

    def __init__(self, host: str, port: int, *, timeout_s: float = 2.0) -> None:
        self._client = JsonClient(host, port, timeout_s=timeout_s)
        self._known: list[Instance] = []
        self._tag = ""

    def read(self) -> list[Instance]:
        """Return all instances listed now; see `InstanceList`."""
        try:
            status, body, tag = self._client.get_changed("/instances", self._tag)
        except (CallRefused, CallLost) as exc:
            raise InstancesUnavailable(str(exc)) from exc
        if status == HTTP_NOT_MODIFIED:
            return self._known
        if status != HTTP_OK:
            raise InstancesUnavailable(f"the instance list answered {status}")
        self._known = [Instance(**item) for item in body]
        self._tag = tag
        return self._known

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

"""HTTP client of the platform's instance list; implements `InstanceList`."""

from toucanspool.backing.http_client import CallLost, CallRefused, JsonClient
from toucanspool.backing.instances import Instance, InstancesUnavailable

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304


class HttpInstances:
    """Read and cache the platform's instance list.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    timeout_s : float, default=2.0
        Time limit of a request, in seconds.
    """

    __slots__ = ("_client", "_cached", "_etag")

    def __init__(self, host: str, port: int, *, timeout_s: float = 2.0) -> None:
        self._client = JsonClient(host, port, timeout_s=timeout_s)
        self._cached: list[Instance] = []
        self._etag = ""

    def read(self) -> list[Instance]:
        """Return all listed instances; see `InstanceList`."""
        try:
            status, body, etag = self._client.get_if_changed("/instances", self._etag)
        except (CallRefused, CallLost) as exc:
            raise InstancesUnavailable(str(exc)) from exc
        if status == HTTP_NOT_MODIFIED:
            return self._cached
        if status != HTTP_OK:
            raise InstancesUnavailable(f"the instance list returned status {status}")
        self._cached = [Instance(**fields) for fields in body]
        self._etag = etag
        return self._cached

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

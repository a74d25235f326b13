"""HTTP client of the platform's object store; implements `Objects`."""

from urllib.parse import quote

from toucanspool.backing.http_client import CallLost, CallRefused, JsonClient
from toucanspool.backing.objects import ObjectsUnavailable

HTTP_OK = 200
HTTP_NOT_FOUND = 404


class HttpObjects:
    """Read and write objects by name.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    timeout_s : float, default=5.0
        Time limit of a request, in seconds.
    """

    __slots__ = ("_client",)

    def __init__(self, host: str, port: int, *, timeout_s: float = 5.0) -> None:
        self._client = JsonClient(host, port, timeout_s=timeout_s)

    def put(self, name: str, data: bytes) -> None:
        """Store an object; see `Objects`."""
        self._call("PUT", name, data)

    def get(self, name: str) -> bytes | None:
        """Return the content of an object; see `Objects`."""
        return self._call("GET", name, b"")

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _call(self, method: str, name: str, data: bytes) -> bytes | None:
        path = f"/objects/{quote(name, safe='')}"
        try:
            status, body = self._client.call(method, path, data)
        except (CallRefused, CallLost) as exc:
            raise ObjectsUnavailable(str(exc)) from exc
        if status == HTTP_NOT_FOUND:
            return None
        if status != HTTP_OK:
            raise ObjectsUnavailable(f"the object store answered {status}")
        return body

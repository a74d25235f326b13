"""HTTP client of the platform's table; implements `Table`."""

from base64 import b64decode, b64encode
from collections.abc import Mapping, Sequence
from typing import Any

from toucanspool.backing.http_client import CallLost, CallRefused, JsonClient
from toucanspool.backing.table import (
    Check,
    Row,
    TableConflict,
    TableThrottled,
    TableUnavailable,
    TableUncertain,
    Write,
)

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_THROTTLED = 429
HTTP_UNAVAILABLE = 503


class HttpTable:
    """Read rows and commit transactions.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    timeout_s : float, default=2.0
        Time limit of a request, in seconds.
    """

    __slots__ = ("_client",)

    # This table never loses a commit that it has acknowledged.
    era = 0

    def __init__(self, host: str, port: int, *, timeout_s: float = 2.0) -> None:
        self._client = JsonClient(host, port, timeout_s=timeout_s)

    def get(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the existing rows among `keys`; see `Table`."""
        rows = self._read("/get", {"keys": list(keys)})
        return {row.key: row for row in rows}

    def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows by key prefix, sorted by key; see `Table`."""
        return self._read("/scan", {"prefix": prefix, "after": after, "limit": limit})

    def commit(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        """Apply all writes atomically if all checks hold; see `Table`."""
        body = {
            "checks": [[check.key, check.version] for check in checks],
            "writes": [[write.key, _encode_value(write.value)] for write in writes],
        }
        try:
            status, response = self._client.call("POST", "/commit", body)
        except CallRefused as exc:
            raise TableUnavailable(str(exc)) from exc
        except CallLost as exc:
            raise TableUncertain(str(exc)) from exc
        if status == HTTP_OK:
            return response["version"]
        if status == HTTP_CONFLICT:
            raise TableConflict(response["keys"])
        if status == HTTP_THROTTLED:
            raise TableThrottled("the table refused the commit's rate")
        if status == HTTP_UNAVAILABLE:
            raise TableUnavailable("the table is down")
        raise TableUncertain(f"the table answered {status}")

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _read(self, path: str, body: Any) -> list[Row]:
        try:
            status, response = self._client.call("POST", path, body)
        except (CallRefused, CallLost) as exc:
            raise TableUnavailable(str(exc)) from exc
        if status != HTTP_OK:
            raise TableUnavailable(f"the table answered {status}")
        return [Row(k, b64decode(value), version) for k, value, version in response]


def _encode_value(value: bytes | None) -> str | None:
    return None if value is None else b64encode(value).decode()

"""Small JSON calls over HTTP, shared by the platform's adapters."""

from typing import Any

import orjson
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError, HTTPResponse

POOL_SIZE = 8
CONNECT_TIMEOUT_S = 1.0


class CallRefused(Exception):
    """Report a call that can't have reached the other side."""


class CallLost(Exception):
    """Report a call whose answer did not come."""


class JsonClient:
    """Call one HTTP service with JSON bodies.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port.
    timeout_s : float or None
        The longest wait for an answer, in seconds; None waits for as long as the
        connection stands, so that no call is left behind to take effect later.
    """

    __slots__ = ("_client",)

    def __init__(self, host: str, port: int, *, timeout_s: float | None) -> None:
        self._client = HTTPClient(
            host,
            port,
            concurrency=POOL_SIZE,
            connection_timeout=timeout_s or CONNECT_TIMEOUT_S,
            network_timeout=timeout_s,
        )

    def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Return status and decoded body of a call.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path.
        body : Any, optional
            Sent as JSON; bytes are sent as they are.

        Returns
        -------
        status : int
            HTTP status.
        body : Any
            Decoded JSON, or bytes of another type; None where empty.

        Raises
        ------
        CallRefused
            The connection was refused.
        CallLost
            No whole answer came.
        """
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        resp, answer = self._request(method, path, data, {})
        return resp.status_code, answer

    def get_changed(self, path: str, tag: str) -> tuple[int, Any, str]:
        """Return a resource unless it still has the tag known (RFC 9110, 13.1.2).

        Parameters
        ----------
        path : str
            Path.
        tag : str
            Entity tag of what is known; empty for none.

        Returns
        -------
        status : int
            HTTP status; 304 for a resource unchanged.
        body : Any
            As of `call`.
        tag : str
            Entity tag of the body; empty where the service gives none.

        Raises
        ------
        CallRefused, CallLost
            As of `call`.
        """
        headers = {"If-None-Match": tag} if tag else {}
        resp, answer = self._request("GET", path, b"", headers)
        return resp.status_code, answer, str(resp.get("etag", ""))

    def _request(
        self, method: str, path: str, data: bytes, headers: dict[str, str]
    ) -> tuple[HTTPResponse, Any]:
        try:
            resp = self._client.request(method, path, body=data, headers=headers)
            raw = resp.read()
        except ConnectionRefusedError as exc:
            raise CallRefused(str(exc)) from exc
        except (OSError, HTTPParseError) as exc:
            raise CallLost(repr(exc)) from exc
        is_json = str(resp.get("content-type", "")).startswith("application/json")
        return resp, (orjson.loads(raw) if is_json and raw else raw)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

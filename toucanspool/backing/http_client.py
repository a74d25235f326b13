"""HTTP client for JSON with bounded concurrency, shared by the platform's adapters."""

from typing import Any

import gevent
import orjson
from geventhttpclient.response import HTTPParseError, HTTPResponse

from toucanspool.backing.bounded_client import BoundedClient
from toucanspool.wire.reply_parser import BODILESS_STATUSES

POOL_SIZE = 8
CONNECT_TIMEOUT_S = 1.0


class CallRefused(Exception):
    """Report a request that can't have reached the server."""


class CallLost(Exception):
    """Report a request without a response; the server may have processed it."""


class JsonClient:
    """Send JSON requests to one HTTP service, up to `POOL_SIZE` at the same time.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    timeout_s : float or None
        Time limit of a request, in seconds. None waits as long as the connection is
        open, so that no abandoned request takes effect later.
    reuse_connections : bool, default=False
        Whether a connection serves several requests. A reply then may be a late copy of
        an earlier one, so this suits only reads whose replies may be outdated.
    max_reply_bytes : int, optional
        Limit on the size of one reply, as in `BoundedClient`.
    """

    __slots__ = ("_client", "_timeout_s")

    def __init__(
        self,
        host: str,
        port: int,
        *,
        timeout_s: float | None,
        reuse_connections: bool = False,
        max_reply_bytes: int | None = None,
    ) -> None:
        self._timeout_s = timeout_s
        self._client = BoundedClient(
            host,
            port,
            concurrency=POOL_SIZE,
            connection_timeout=timeout_s or CONNECT_TIMEOUT_S,
            network_timeout=timeout_s,
            reuse_connections=reuse_connections,
            max_reply_bytes=max_reply_bytes,
        )

    def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send a request and return status and decoded body of the response.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path with query.
        body : Any, optional
            Sent as JSON; bytes are sent unchanged.

        Returns
        -------
        status : int
            HTTP status.
        body : Any
            Decoded JSON, or the bytes of a body that is empty or of another type.

        Raises
        ------
        CallRefused
            The connection was refused.
        CallLost
            No complete response was received.
        """
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        resp, decoded = self._request(method, path, data, {})
        return resp.status_code, decoded

    def get_if_changed(self, path: str, etag: str) -> tuple[int, Any, str]:
        """Send a conditional GET (RFC 9110, 13.1.2).

        Parameters
        ----------
        path : str
            Path with query.
        etag : str
            Entity tag of the cached resource; empty if there is none.

        Returns
        -------
        status : int
            HTTP status; 304 if the resource has not changed.
        body : Any
            As in `call`.
        etag : str
            Entity tag of the body; empty if the service sent none.

        Raises
        ------
        CallRefused, CallLost
            As in `call`.
        """
        headers = {"If-None-Match": etag} if etag else {}
        resp, decoded = self._request("GET", path, b"", headers)
        return resp.status_code, decoded, str(resp.get("etag", ""))

    def _request(
        self, method: str, path: str, data: bytes, headers: dict[str, str]
    ) -> tuple[HTTPResponse, Any]:
        # The client's own time limit is renewed by each byte that arrives.
        late = CallLost(f"no complete response within {self._timeout_s} s")
        try:
            with gevent.Timeout(self._timeout_s, late):
                resp = self._client.request(method, path, body=data, headers=headers)
                body = resp.read()
        except ConnectionRefusedError as exc:
            raise CallRefused(str(exc)) from exc
        except (OSError, HTTPParseError) as exc:
            raise CallLost(repr(exc)) from exc
        is_json = str(resp.get("content-type", "")).startswith("application/json")
        if not (is_json and body):
            _check_framing(resp)
            return resp, body
        try:
            return resp, orjson.loads(body)
        except orjson.JSONDecodeError as exc:
            raise CallLost(f"the response body is invalid JSON: {exc}") from exc

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def _check_framing(resp: HTTPResponse) -> None:
    """Raise `CallLost` if only the closed connection says that a body is complete."""
    chunked = str(resp.get("transfer-encoding", "")).lower().endswith("chunked")
    framed = chunked or resp.get("content-length") is not None
    if not framed and resp.status_code not in BODILESS_STATUSES:
        raise CallLost("the response does not say where it ends")

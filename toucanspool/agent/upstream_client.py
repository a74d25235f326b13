"""HTTP client for the upstream that an agent runs beside."""

from collections.abc import Iterator, Mapping
from typing import Any

import orjson
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from toucanspool.settings.settings import Address
from toucanspool.wire.events import EVENT_END, is_event_stream

CONNECT_TIMEOUT_S = 2.0
READ_BLOCK_BYTES = 16 * 1024


class UpstreamUnreachable(Exception):
    """Report a refused connection: the upstream received no request."""


class UpstreamBroken(Exception):
    """Report a missing or incomplete reply: the request may have been executed."""


class Reply:
    """Hold an upstream's reply whose body has not been read yet.

    Parameters
    ----------
    resp : HTTPResponse
        Response object of geventhttpclient.
    """

    __slots__ = ("_resp", "headers", "status")

    def __init__(self, resp: Any) -> None:
        self._resp = resp
        self.status = resp.status_code
        self.headers = {"content-type": str(resp.get("content-type", ""))}

    @property
    def streamed(self) -> bool:
        """Whether the body consists of server-sent events."""
        return is_event_stream(self.headers["content-type"])

    def iter_body(self) -> Iterator[bytes]:
        """Yield the body, by event if it is an event stream, otherwise in blocks.

        Yields
        ------
        bytes

        Raises
        ------
        UpstreamBroken
            The connection failed or closed before the end of the body.
        """
        try:
            if self.streamed:
                yield from iter(lambda: self._resp.readline(EVENT_END), b"")
            else:
                yield from iter(lambda: self._resp.read(READ_BLOCK_BYTES), b"")
        except (OSError, HTTPParseError) as exc:
            raise UpstreamBroken(repr(exc)) from exc
        if not self._resp.message_complete:
            raise UpstreamBroken("the reply ended early")

    def close(self) -> None:
        """Return the connection to the pool, or close it if the body is unread."""
        self._resp.release()


class UpstreamClient:
    """Send requests to one upstream.

    Parameters
    ----------
    address : Address
        Address that the upstream listens on.
    concurrency : int
        Maximum number of pooled connections.
    timeout_s : float
        Maximum wait for the next bytes of a reply, in seconds.
    """

    __slots__ = ("_address", "_pool", "_timeout_s")

    def __init__(self, address: Address, *, concurrency: int, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._pool = self._client(concurrency)

    def send(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Reply:
        """Send a request that the HTTP library may repeat, on a pooled connection.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path with query string.
        headers : mapping of str to str
            Header values by name.
        body : bytes
            Complete body.

        Returns
        -------
        Reply

        Raises
        ------
        UpstreamUnreachable
            The connection was refused.
        UpstreamBroken
            The connection failed or timed out before the reply's head arrived.
        """
        return self._send(self._pool, method, path, headers, body)

    def send_once(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Reply:
        """Send a request that must not be repeated, on a new connection.

        Parameters
        ----------
        method : str
            HTTP method; must be one that the HTTP library never repeats by itself.
        path : str
            Path with query string.
        headers : mapping of str to str
            Header values by name.
        body : bytes
            Complete body.

        Returns
        -------
        Reply

        Raises
        ------
        UpstreamUnreachable
            The connection was refused.
        UpstreamBroken
            The connection failed or timed out before the reply's head arrived.
        """
        return self._send(self._client(1), method, path, headers, body)

    def load(self) -> dict[str, float]:
        """Read the load that the upstream reports.

        Returns
        -------
        dict of str to float
            ``running``, ``waiting`` and ``step_ms``.

        Raises
        ------
        UpstreamUnreachable
            The connection was refused.
        UpstreamBroken
            The connection failed or timed out before the reply was complete.
        """
        reply = self.send("GET", "/load", {}, b"")
        return orjson.loads(b"".join(reply.iter_body()))

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def _client(self, concurrency: int) -> HTTPClient:
        return HTTPClient(
            self._address.host,
            self._address.port,
            concurrency=concurrency,
            block_size=READ_BLOCK_BYTES,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=self._timeout_s,
        )

    def _send(
        self,
        client: HTTPClient,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> Reply:
        try:
            return Reply(client.request(method, path, body=body, headers=dict(headers)))
        except ConnectionRefusedError as exc:
            raise UpstreamUnreachable(str(exc)) from exc
        except (OSError, HTTPParseError) as exc:
            raise UpstreamBroken(repr(exc)) from exc

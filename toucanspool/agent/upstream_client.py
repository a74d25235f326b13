"""HTTP calls to the upstream beside an agent."""

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
    """Report that the upstream refused the connection: it saw no request."""


class UpstreamBroken(Exception):
    """Report that the upstream's reply did not come whole: it may have acted."""


class Reply:
    """Hold an upstream's reply whose body is still to be read.

    Parameters
    ----------
    resp : HTTPResponse
        The reply as the HTTP library gives it.
    """

    __slots__ = ("_resp", "headers", "status")

    def __init__(self, resp: Any) -> None:
        self._resp = resp
        self.status = resp.status_code
        self.headers = {"content-type": str(resp.get("content-type", ""))}

    @property
    def streamed(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        return is_event_stream(self.headers["content-type"])

    def pieces(self) -> Iterator[bytes]:
        """Yield the body: whole events of a stream, else blocks.

        Yields
        ------
        bytes

        Raises
        ------
        UpstreamBroken
            The body ended before its end.
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
        """Give the connection back, or close it where the body was not read."""
        self._resp.release()


class UpstreamClient:
    """Send requests to one upstream.

    Parameters
    ----------
    address : Address
        Where the upstream listens.
    concurrency : int
        Connections at most.
    timeout_s : float
        The longest wait for a byte of a reply, in seconds.
    """

    __slots__ = ("_address", "_pool", "_timeout_s")

    def __init__(self, address: Address, *, concurrency: int, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._pool = self._client(concurrency)

    def send(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Reply:
        """Send a request that may be sent again.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path with query.
        headers : mapping of str to str
            Headers.
        body : bytes
            Body.

        Returns
        -------
        Reply

        Raises
        ------
        UpstreamUnreachable
            The connection was refused.
        UpstreamBroken
            No reply came.
        """
        return self._send(self._pool, method, path, headers, body)

    def send_once(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Reply:
        """Send a request that must not be sent again, on a connection of its own.

        Parameters
        ----------
        method : str
            HTTP method; one that the HTTP library never sends again by itself.
        path : str
            Path with query.
        headers : mapping of str to str
            Headers.
        body : bytes
            Body.

        Returns
        -------
        Reply

        Raises
        ------
        UpstreamUnreachable
            The connection was refused.
        UpstreamBroken
            No reply came.
        """
        return self._send(self._client(1), method, path, headers, body)

    def load(self) -> dict[str, float]:
        """Return the load that the upstream reports.

        Returns
        -------
        dict of str to float
            ``running``, ``waiting`` and ``step_ms``.

        Raises
        ------
        UpstreamUnreachable
            The connection was refused.
        UpstreamBroken
            No reply came.
        """
        reply = self.send("GET", "/load", {}, b"")
        return orjson.loads(b"".join(reply.pieces()))

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

"""HTTP client for JSON that sends each request once, on a connection of its own."""

import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import orjson

from toucanspool.backing.http_client import CallLost, CallRefused
from toucanspool.backing.reply_memory import REPLY_MEMORY
from toucanspool.limits.memory_budget import MemoryExceeded
from toucanspool.wire.exchange import Exchange, Unreachable
from toucanspool.wire.reply_parser import BrokenReply, Header, ReplyParser
from toucanspool.wire.reply_reader import Silent

JSON = "application/json"
# Larger than the store's largest answer, which has 1 MB of rows in base64.
MAX_BODY_BYTES = 16 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class JsonResponse:
    """Hold a complete response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : mapping of str to str
        Headers by lower-case name.
    body : Any
        Decoded JSON; None if the body is empty or of another content type.
    """

    status: int
    headers: Mapping[str, str]
    body: Any


class UnpooledClient:
    """Send JSON requests to one address without a connection pool.

    A pool of connections would repeat a GET on each of them while the server resets
    connections.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    timeout_s : float
        Time limit of a request, in seconds.
    head_timeout_s : float, optional
        Shorter time limit until the response's head is complete, in seconds. It tells
        a silent server from one that sends a large response.
    keepalive_s : int, default=0
        Idle time before a TCP keepalive probe as in `Exchange`, in seconds.
    max_body_bytes : int, optional
        Limit on the body of a response.
    """

    __slots__ = (
        "_head_timeout_s",
        "_host",
        "_keepalive_s",
        "_max_body_bytes",
        "_port",
        "_timeout_s",
    )

    def __init__(
        self,
        host: str,
        port: int,
        *,
        timeout_s: float,
        head_timeout_s: float | None = None,
        keepalive_s: int = 0,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._keepalive_s = keepalive_s
        self._max_body_bytes = max_body_bytes
        self._host = host
        self._port = port
        self._timeout_s = timeout_s
        self._head_timeout_s = timeout_s if head_timeout_s is None else head_timeout_s

    def call(
        self, method: str, target: str, body: Any = None, *, wait_s: float = 0.0
    ) -> JsonResponse:
        """Send a request and return the response.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Path with query.
        body : Any, optional
            Sent as JSON.
        wait_s : float, default=0
            Time that the server may wait before it responds, in seconds; added to the
            time limits.

        Returns
        -------
        JsonResponse

        Raises
        ------
        CallRefused
            No connection was opened, so the request was not sent.
        CallLost
            No complete and valid response was received.
        """
        parser, data = self._exchange(method, target, body, wait_s)
        is_json = parser.header("content-type").startswith(JSON)
        try:
            # A JSON body is complete if it can be decoded; an empty one says nothing.
            empty = not data and parser.framed
            decoded = orjson.loads(data) if is_json and not empty else None
        except orjson.JSONDecodeError as exc:
            raise CallLost(f"the response body is invalid JSON: {exc}") from exc
        return JsonResponse(parser.status, _by_lower_name(parser.headers), decoded)

    def head(self, target: str) -> dict[str, str]:
        """Send a GET and return the response headers by lower-case name.

        Parameters
        ----------
        target : str
            Path with query.

        Returns
        -------
        dict of str to str

        Raises
        ------
        CallRefused, CallLost
            As in `call`.
        """
        parser, _ = self._exchange("GET", target, None, 0.0)
        return _by_lower_name(parser.headers)

    def _exchange(
        self, method: str, target: str, body: Any, wait_s: float
    ) -> tuple[ReplyParser, bytes]:
        data = b"" if body is None else orjson.dumps(body)
        headers: list[Header] = [("Host", self._host), ("Connection", "close")]
        if data:
            headers.append(("Content-Type", JSON))
            headers.append(("Content-Length", str(len(data))))
        held = REPLY_MEMORY.part()
        exchange = Exchange(
            self._host,
            self._port,
            method,
            keepalive_s=self._keepalive_s,
            on_held=held.resize,
        )
        start = time.monotonic() + wait_s
        try:
            exchange.send(target, headers, data)
            exchange.read_head(start + self._head_timeout_s)
            return exchange.parser, exchange.read_body(
                start + self._timeout_s, self._max_body_bytes
            )
        except Unreachable as exc:
            raise CallRefused(str(exc)) from exc
        except (Silent, BrokenReply, MemoryExceeded) as exc:
            raise CallLost(repr(exc)) from exc
        finally:
            held.close()
            exchange.close()


def _by_lower_name(headers: Sequence[Header]) -> dict[str, str]:
    return {name.lower(): value for name, value in headers}

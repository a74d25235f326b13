"""JSON calls to the platform's pages, each sent once on a connection of its own."""

import time
from typing import Any

import orjson

from toucanspool.backing.http_client import CallLost, CallRefused
from toucanspool.gateway.call import Header
from toucanspool.gateway.exchange import Exchange, Silent, Unreachable
from toucanspool.gateway.reply_parser import BrokenReply, ReplyParser

JSON = "application/json"


class JsonCalls:
    """Call one address.

    A pool of connections would send a GET again on each of them while the other side
    resets connections.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port.
    timeout_s : float
        The longest wait for an answer, in seconds.
    probe_s : int, default=0
        As of `Exchange`.
    """

    __slots__ = ("_host", "_port", "_probe_s", "_timeout_s")

    def __init__(
        self, host: str, port: int, *, timeout_s: float, probe_s: int = 0
    ) -> None:
        self._probe_s = probe_s
        self._host = host
        self._port = port
        self._timeout_s = timeout_s

    def call(self, method: str, target: str, body: Any = None) -> tuple[int, Any]:
        """Return status and decoded body of a call.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Path with query.
        body : Any, optional
            Sent as JSON.

        Returns
        -------
        status : int
            HTTP status.
        body : Any
            Decoded JSON; None where the answer is empty or no JSON.

        Raises
        ------
        CallRefused
            The other side saw no call.
        CallLost
            No whole answer came.
        """
        parser, data = self._exchange(method, target, body)
        is_json = parser.header("content-type").startswith(JSON)
        try:
            return parser.status, orjson.loads(data) if is_json and data else None
        except orjson.JSONDecodeError as exc:
            raise CallLost(f"the answer is no JSON: {exc}") from exc

    def head(self, target: str) -> dict[str, str]:
        """Return the headers of an answer to GET, by name in lower case.

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
            As of `call`.
        """
        parser, _ = self._exchange("GET", target, None)
        return {name.lower(): value for name, value in parser.headers}

    def _exchange(
        self, method: str, target: str, body: Any
    ) -> tuple[ReplyParser, bytes]:
        data = b"" if body is None else orjson.dumps(body)
        headers: list[Header] = [("Host", self._host), ("Connection", "close")]
        if data:
            headers.append(("Content-Type", JSON))
            headers.append(("Content-Length", str(len(data))))
        exchange = Exchange(self._host, self._port, method, keepalive_s=self._probe_s)
        until = time.monotonic() + self._timeout_s
        try:
            exchange.send(target, headers, data)
            exchange.read_head(until)
            return exchange.parser, exchange.read_body(until)
        except Unreachable as exc:
            raise CallRefused(str(exc)) from exc
        except (Silent, BrokenReply) as exc:
            raise CallLost(repr(exc)) from exc
        finally:
            exchange.close()

"""HTTP client for the upstream that an agent runs beside."""

import math
import time
from collections.abc import Iterator, Mapping

import orjson

from toucanspool.settings.settings import Address
from toucanspool.wire.event_splitter import EventSplitter
from toucanspool.wire.events import is_event_stream
from toucanspool.wire.exchange import Exchange, Unreachable
from toucanspool.wire.reply_parser import BrokenReply, Header
from toucanspool.wire.reply_reader import Silent

# A load report has three numbers.
MAX_LOAD_BYTES = 64 * 1024


class UpstreamUnreachable(Exception):
    """Report a refused connection: the upstream received no request."""


class UpstreamBroken(Exception):
    """Report a missing or incomplete reply: the request may have been executed."""


class Reply:
    """Hold an upstream's reply whose body has not been read yet; must be closed.

    Parameters
    ----------
    exchange : Exchange
        The exchange, after the reply's head.
    timeout_s : float
        Maximum wait for the next bytes, in seconds.
    """

    __slots__ = ("_exchange", "_timeout_s", "headers", "status")

    def __init__(self, exchange: Exchange, timeout_s: float) -> None:
        self._exchange = exchange
        self._timeout_s = timeout_s
        self.status = exchange.parser.status
        self.headers = {"content-type": exchange.parser.header("content-type")}

    @property
    def framed(self) -> bool:
        """Whether the reply says where its body ends."""
        return self._exchange.parser.framed

    @property
    def streamed(self) -> bool:
        """Whether the body consists of server-sent events."""
        return is_event_stream(self.headers["content-type"])

    def iter_body(self) -> Iterator[bytes]:
        """Yield the body as it arrives, in whole events if it is an event stream.

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
                yield from self._iter_events()
            else:
                yield from self._exchange.iter_body(self._timeout_s, math.inf)
        except (BrokenReply, Silent) as exc:
            raise UpstreamBroken(repr(exc)) from exc

    def read_body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        max_bytes : int
            Limit on its size.

        Returns
        -------
        bytes

        Raises
        ------
        UpstreamBroken
            The body is incomplete, too large, or did not arrive in time.
        """
        try:
            until = time.monotonic() + self._timeout_s
            return self._exchange.read_body(until, max_bytes)
        except (BrokenReply, Silent) as exc:
            raise UpstreamBroken(repr(exc)) from exc

    def close(self) -> None:
        """Close the connection; may be called repeatedly."""
        self._exchange.close()

    def _iter_events(self) -> Iterator[bytes]:
        splitter = EventSplitter()
        yield from self._exchange.iter_events(splitter, self._timeout_s, math.inf)
        if splitter.partial:
            raise BrokenReply("the stream ended inside an event")


class UpstreamClient:
    """Send requests to one upstream, each once and on a connection of its own.

    Parameters
    ----------
    address : Address
        Address that the upstream listens on.
    timeout_s : float
        Maximum wait for the next bytes of a reply, in seconds.
    """

    __slots__ = ("_address", "_timeout_s")

    def __init__(self, address: Address, *, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s

    def send(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Reply:
        """Send a request and read the head of the reply.

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
            No connection could be opened.
        UpstreamBroken
            The connection failed or timed out before the reply's head arrived.
        """
        address = self._address
        exchange = Exchange(address.host, address.port, method)
        all_headers: list[Header] = [
            ("Host", f"{address.host}:{address.port}"),
            ("Connection", "close"),
            ("Content-Length", str(len(body))),
            *headers.items(),
        ]
        try:
            until = time.monotonic() + self._timeout_s
            exchange.send(path, all_headers, body, until=until)
            exchange.read_head(time.monotonic() + self._timeout_s)
        except Unreachable as exc:
            exchange.close()
            raise UpstreamUnreachable(str(exc)) from exc
        except (BrokenReply, Silent) as exc:
            exchange.close()
            raise UpstreamBroken(repr(exc)) from exc
        except BaseException:
            # The call was cancelled, or its time is over.
            exchange.close()
            raise
        return Reply(exchange, self._timeout_s)

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
            The connection failed or timed out before the reply was complete, or the
            reply is not JSON.
        """
        reply = self.send("GET", "/load", {}, b"")
        try:
            return orjson.loads(reply.read_body(MAX_LOAD_BYTES))
        except orjson.JSONDecodeError as exc:
            raise UpstreamBroken(repr(exc)) from exc
        finally:
            reply.close()

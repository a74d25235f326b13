"""One HTTP request and its reply on a connection of its own."""

import http.client
import math
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack

from toucanspool.wire.event_splitter import EventSplitter
from toucanspool.wire.reply_end import check_end
from toucanspool.wire.reply_parser import (
    BrokenReply,
    ExcessiveReply,
    Header,
    ReplyParser,
)
from toucanspool.wire.reply_reader import ReplyReader, Silent
from toucanspool.wire.socket_buffers import BuffersExhausted, SocketBuffers
from toucanspool.wire.upstream_connection import NoBuffers, open_connection
from toucanspool.wire.upstream_connection import Unreachable as Unreachable

# Large bodies on slow links take longer; their senders set a limit of their own.
SEND_TIMEOUT_S = 0.5
# From the first byte of a head to its end. Upstreams send a head at once.
HEAD_TIMEOUT_S = 1.0


class Exchange:
    """Send one request and read the reply; must be closed.

    Each connection serves one request, so that no late reply to an earlier one is taken
    for this one's, and none is lost on an idle connection that the upstream closes.

    A reply without framing ends with its connection, which a crash closes as well. It
    counts as complete only if the upstream still accepts connections.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    method : str
        HTTP method.
    keepalive_s : int, default=0
        As in `open_connection`.
    on_held : callable, optional
        Called with the bytes of the body that are held, as they arrive; may raise.
    buffers : SocketBuffers, optional
        Bounds what the kernel holds for the connection; no bound by default.

    Attributes
    ----------
    parser : ReplyParser
        Parser of the reply.
    sent : bool
        Whether the upstream may have received a part of the request.
    """

    __slots__ = (
        "_buffers",
        "_closing",
        "_conn",
        "_keepalive_s",
        "_method",
        "_on_held",
        "_reader",
        "parser",
        "sent",
    )

    def __init__(
        self,
        host: str,
        port: int,
        method: str,
        *,
        keepalive_s: int = 0,
        on_held: Callable[[int], None] = lambda _: None,
        buffers: SocketBuffers | None = None,
    ) -> None:
        self._on_held = on_held
        self._buffers, self._closing = buffers, ExitStack()
        self._keepalive_s = keepalive_s
        self._conn = http.client.HTTPConnection(host, port)
        self._method = method
        self.parser = ReplyParser(method)
        self.sent = False

    def send(
        self,
        target: str,
        headers: Iterable[Header],
        body: bytes,
        *,
        until: float = -math.inf,
    ) -> None:
        """Connect and send the request.

        Parameters
        ----------
        target : str
            Path with query.
        headers : iterable of (str, str)
            All headers.
        body : bytes
            The body.
        until : float, optional
            Time limit for sending; not before `SEND_TIMEOUT_S` from now.

        Raises
        ------
        Unreachable
            No connection could be opened; `NoBuffers` if this process is the cause.
        BrokenReply
            The connection was lost while the request was sent.
        """
        conn = self._conn
        conn.sock = open_connection(conn.host, conn.port, self._keepalive_s)
        if self._buffers is not None:
            self._reserve(self._buffers)
        self._reader = ReplyReader(conn.sock)
        conn.putrequest(self._method, target, skip_host=True, skip_accept_encoding=True)
        for name, value in headers:
            conn.putheader(name, value)
        self.sent = True
        conn.sock.settimeout(max(SEND_TIMEOUT_S, until - time.monotonic()))
        try:
            conn.endheaders(body or None)
        except OSError as exc:
            raise BrokenReply(str(exc)) from exc

    def read_head(self, until: float) -> None:
        """Read the reply's head.

        Parameters
        ----------
        until : float
            Time limit, in seconds on the monotonic clock.

        Raises
        ------
        Silent
            The time limit has passed.
        BrokenReply
            The connection broke.
        ExcessiveReply
            The head has begun and does not end in time, or is too long.
        """
        parser = self.parser
        head_until = None
        while not parser.head_complete:
            interim_replies = parser.interim_replies
            try:
                self._receive(until if head_until is None else min(until, head_until))
            except Silent as exc:
                if head_until is None or until <= head_until:
                    raise
                raise ExcessiveReply(
                    f"the head did not end within {HEAD_TIMEOUT_S} s"
                ) from exc
            if parser.interim_replies > interim_replies:
                head_until = None
            elif head_until is None:
                head_until = time.monotonic() + HEAD_TIMEOUT_S

    def read_body(self, until: float, max_bytes: int) -> bytes:
        """Read the complete body.

        Parameters
        ----------
        until : float
            Time limit, in seconds on the monotonic clock.
        max_bytes : int
            Limit on its size.

        Returns
        -------
        bytes

        Raises
        ------
        Silent
            The time limit has passed.
        BrokenReply
            The connection broke, or the body is incomplete.
        ExcessiveReply
            The body is larger than the limit.
        """
        parser = self.parser
        while not parser.complete:
            if max(parser.body_bytes, parser.content_length) > max_bytes:
                raise ExcessiveReply(f"the body has more than {max_bytes} bytes")
            self._receive(until)
            self._on_held(parser.body_bytes)
        self._check_end(until)
        return parser.take_body()

    def iter_body(self, idle_timeout_s: float, until: float) -> Iterator[bytes]:
        """Yield the body in parts as it arrives.

        Parameters
        ----------
        idle_timeout_s : float
            Maximum time without new data, in seconds.
        until : float
            Time limit, in seconds on the monotonic clock.

        Yields
        ------
        bytes

        Raises
        ------
        Silent
            A time limit has passed.
        BrokenReply
            The connection broke, or the body is incomplete.
        """
        while True:
            if data := self.parser.take_body():
                yield data
            if self.parser.complete:
                self._check_end(until)
                return
            self._receive(min(until, time.monotonic() + idle_timeout_s))

    def iter_events(
        self, splitter: EventSplitter, idle_timeout_s: float, until: float
    ) -> Iterator[bytes]:
        """Yield a stream in complete events.

        The end of the last event may be missing; `splitter` then holds its part.

        Parameters
        ----------
        splitter : EventSplitter
            Splits the stream.
        idle_timeout_s : float
            Maximum time without a complete event that has data, in seconds.
        until : float
            Time limit, in seconds on the monotonic clock.

        Yields
        ------
        bytes
            One event or more, or comments.

        Raises
        ------
        Silent
            A time limit has passed.
        BrokenReply
            The connection broke, or the stream is incomplete.
        ExcessiveReply
            An event is too large.
        """
        complete = False
        idle_until = time.monotonic() + idle_timeout_s
        while not complete:
            events = b""
            while not events and not complete:
                if not self.parser.complete and not self.parser.body_bytes:
                    self._receive(min(until, idle_until))
                complete = self.parser.complete
                events = splitter.feed(self.parser.take_body())
                self._on_held(len(events) + splitter.partial_bytes)
            if events:
                began_at = time.monotonic()
                yield events
                # The time in which the caller reads is not the upstream's.
                idle_until += time.monotonic() - began_at
                if splitter.data_returned:
                    idle_until = time.monotonic() + idle_timeout_s
        self._check_end(until)

    def close(self) -> None:
        """Close the connection; may be called repeatedly."""
        self._conn.close()
        self._closing.close()
        # An error that refers to this exchange may live on for some time.
        self.parser.take_body()

    def _reserve(self, buffers: SocketBuffers) -> None:
        try:
            part = buffers.reserve(self._conn.sock)
        except BuffersExhausted as exc:
            raise NoBuffers(str(exc)) from exc
        self._closing.callback(part.close)

    def _receive(self, until: float) -> None:
        try:
            data = self._reader.read(until)
        except OSError as exc:
            raise BrokenReply(str(exc)) from exc
        self.parser.receive(data)

    def _check_end(self, until: float) -> None:
        if self.parser.ended_by_close:
            check_end(self._conn.host, self._conn.port, self._reader, until)

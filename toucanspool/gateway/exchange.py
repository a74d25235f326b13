"""One hand-over of a call to one upstream, on a connection of its own."""

import http.client
import time
from collections.abc import Iterable, Iterator

from gevent import socket

from toucanspool.gateway.call import Header
from toucanspool.gateway.reply_parser import BrokenReply, ReplyParser

CONNECT_TIMEOUT_S = 0.5
READ_BLOCK_BYTES = 16 * 1024


class Unreachable(Exception):
    """Report that no connection could be opened: the upstream saw no request."""


class Silent(Exception):
    """Report that an upstream sent nothing for too long: it may have acted."""


class Exchange:
    """Send one request and take the reply; to be closed.

    A connection serves one request. So no earlier reply can be taken for this
    one's, and no connection that the upstream closes meanwhile loses a request.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port.
    method : str
        HTTP method.
    keepalive_s : int, default=0
        Ask the other side's kernel for a sign of life after this much silence, and
        give the connection up when none comes for as long again, in seconds; 0 for
        never.

    Attributes
    ----------
    parser : ReplyParser
        The reply so far.
    sent : bool
        Whether a byte of the request may have reached the upstream.
    """

    __slots__ = ("_conn", "_method", "_keepalive_s", "parser", "sent")

    def __init__(
        self, host: str, port: int, method: str, *, keepalive_s: int = 0
    ) -> None:
        self._keepalive_s = keepalive_s
        self._conn = http.client.HTTPConnection(host, port)
        self._method = method
        self.parser = ReplyParser(method)
        self.sent = False

    def send(self, target: str, headers: Iterable[Header], body: bytes) -> None:
        """Connect and send the request.

        Parameters
        ----------
        target : str
            Path with query.
        headers : iterable of (str, str)
            All headers.
        body : bytes
            The body.

        Raises
        ------
        Unreachable
            No connection could be opened.
        BrokenReply
            The connection was lost while the request was sent.
        """
        conn = self._conn
        address = (conn.host, conn.port)
        try:
            conn.sock = socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
        except OSError as exc:
            raise Unreachable(str(exc)) from exc
        conn.putrequest(self._method, target, skip_host=True, skip_accept_encoding=True)
        for name, value in headers:
            conn.putheader(name, value)
        conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._keepalive_s:
            _enable_keepalive(conn.sock, self._keepalive_s)
        self.sent = True
        try:
            conn.endheaders(body or None)
        except OSError as exc:
            raise BrokenReply(str(exc)) from exc

    def read_head(self, until: float) -> None:
        """Wait for the reply's head.

        Parameters
        ----------
        until : float
            Seconds on the monotonic clock.

        Raises
        ------
        Silent
            It did not come in time.
        BrokenReply
            The connection broke.
        """
        while not self.parser.begun:
            self._receive(until)

    def read_body(self, until: float) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        until : float
            Seconds on the monotonic clock.

        Returns
        -------
        bytes

        Raises
        ------
        Silent
            It did not come in time.
        BrokenReply
            It did not come whole.
        """
        while not self.parser.complete:
            self._receive(until)
        return self.parser.take_body()

    def iter_body(self, idle_timeout_s: float, until: float) -> Iterator[bytes]:
        """Yield the body as it comes.

        Parameters
        ----------
        idle_timeout_s : float
            The longest wait for a piece, in seconds.
        until : float
            The last moment, in seconds on the monotonic clock.

        Yields
        ------
        bytes

        Raises
        ------
        Silent
            Nothing came for too long.
        BrokenReply
            The body did not come whole.
        """
        while True:
            if data := self.parser.take_body():
                yield data
            if self.parser.complete:
                return
            self._receive(min(until, time.monotonic() + idle_timeout_s))

    def close(self) -> None:
        """Close the connection; harmless when repeated."""
        self._conn.close()

    def _receive(self, until: float) -> None:
        left_s = until - time.monotonic()
        if left_s <= 0.0:
            raise Silent("no time is left")
        sock = self._conn.sock
        sock.settimeout(left_s)
        try:
            data = sock.recv(READ_BLOCK_BYTES)
        except TimeoutError as exc:
            raise Silent(f"nothing came for {left_s:.1f} s") from exc
        except OSError as exc:
            raise BrokenReply(str(exc)) from exc
        self.parser.take(data)


def _enable_keepalive(sock: socket.socket, keepalive_s: int) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keepalive_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, keepalive_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)

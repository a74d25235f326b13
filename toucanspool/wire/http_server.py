"""A gevent HTTP server without Nagle's algorithm, whose replies may lack framing."""

import contextlib
import errno
import struct
from typing import Any

import gevent
from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

# Key of the request's handler in its WSGI environment.
HANDLER_KEY = "toucanspool.handler"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_NORMALLY = struct.pack("ii", 0, 0)
# Time for a client to read the last reply before unread bytes of it reset the
# connection.
CLOSE_TIMEOUT_S = 0.5
CLOSE_POLL_INTERVAL_S = 0.01
DISCARD_BLOCK_BYTES = 64 * 1024
# The server refuses longer lines itself.
MAX_LINE_BYTES = 8192


class HeadCutOff(ValueError):
    """Report a connection that was closed inside the head of a request."""


class ReplyCutOff(ConnectionResetError):
    """Abort a caller's connection, so that its reply doesn't look complete."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "the answer can't be completed")


class ReplyHandler(WSGIHandler):
    """Handle requests whose replies may have neither a length nor chunks."""

    _reply_complete = False
    _reply_framed = True

    def handle_one_request(self) -> Any:
        """Read and answer one request; overrides `WSGIHandler`."""
        self._reply_complete = False
        try:
            result = super().handle_one_request()
            if result is None and self._reply_complete:
                self._wait_for_close()
            return result
        finally:
            self.server.open_requests.discard(self)

    def read_requestline(self) -> str:
        """Wait for a request and read its request line; overrides `WSGIHandler`."""
        if self.wait_for_request():
            self.server.open_requests.add(self)
        return super().read_requestline()

    def wait_for_request(self) -> bool:
        """Return whether a request begins; it doesn't if the connection ends."""
        server = self.server
        server.idle.add(self)
        try:
            if server.idle_closed:
                self.stop_waiting()
            return bool(self.rfile.peek(1))
        finally:
            server.idle.discard(self)

    def stop_waiting(self) -> None:
        """Wait for no request that has not begun to arrive."""
        # The method of the gevent socket would raise in the greenlet that waits, also
        # if bytes have arrived.
        with contextlib.suppress(OSError):
            self.socket._sock.shutdown(socket.SHUT_RD)

    def read_request(self, raw_requestline: str) -> bool:
        """Read a request's head; overrides `WSGIHandler`."""
        if not raw_requestline.endswith("\n") and len(raw_requestline) < MAX_LINE_BYTES:
            raise HeadCutOff("the connection was closed inside the request line")
        return super().read_request(raw_requestline)

    def MessageClass(self, file: Any, *args: Any) -> Any:  # noqa: N802
        """Parse a request's headers; overrides `WSGIHandler`."""
        return super().MessageClass(_HeadReader(file), *args)

    def process_result(self) -> None:
        """Send the reply; overrides `WSGIHandler`."""
        super().process_result()
        self._reply_complete = True

    def begin_unframed_reply(self) -> None:
        """Send the next reply without framing: it ends with the connection.

        Until `finish_unframed_reply`, the connection is reset however it ends, also by
        the end of this process, so that a part of the reply can't look complete. The
        reply needs the header ``Connection: close``.
        """
        self._reply_framed = False
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def finish_unframed_reply(self) -> None:
        """Mark the unframed reply as complete, so that the connection is closed."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_NORMALLY)

    def finalize_headers(self) -> None:
        """Add the headers that frame the reply; overrides `WSGIHandler`."""
        super().finalize_headers()
        if not self._reply_framed and self.response_use_chunked:
            self.response_use_chunked = False
            self.response_headers.remove((b"Transfer-Encoding", b"chunked"))
        if self.server.closing:
            self.close_connection = True
            self.response_headers = [
                (name, value)
                for name, value in self.response_headers
                if name.lower() != b"connection"
            ]
            self.response_headers.append((b"Connection", b"close"))

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment; overrides `WSGIHandler`."""
        environ = super().get_environ()
        environ[HANDLER_KEY] = self
        return environ

    def _wait_for_close(self) -> None:
        """Discard what the client still sends, for as long as it may read the reply.

        Closing a connection on which bytes are unread, such as those of a pipelined
        request, resets it, and the client may lose the reply (RFC 9112, 9.6).
        """
        if self.headers.get("Connection", "").lower() != "close":
            self._discard_until_closed()

    def _discard_until_closed(self) -> None:
        with contextlib.suppress(OSError), gevent.Timeout(CLOSE_TIMEOUT_S, False):
            self.socket.shutdown(socket.SHUT_WR)
            while self.socket.recv(DISCARD_BLOCK_BYTES):
                pass


class HttpServer(WSGIServer):
    """Serve a WSGI application.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 picks a free one.
    app : callable
        WSGI application.
    idle_timeout_s : float, default=60.0
        Time without sent or received bytes after which a connection is closed,
        in seconds.

    Attributes
    ----------
    closing : bool
        Whether each reply asks its client to close the connection.
    open_requests : set of ReplyHandler
        Connections on which a request has begun to arrive and its reply has not ended.
    idle : set of ReplyHandler
        Connections that wait for a request.
    idle_closed : bool
        Whether these are closed instead.
    open_connections : int
        Accepted connections that are not closed.
    """

    handler_class = ReplyHandler

    def __init__(
        self, host: str, port: int, app: Any, *, idle_timeout_s: float = 60.0
    ) -> None:
        super().__init__((host, port), app, log=None, error_log=None)
        self._idle_timeout_s = idle_timeout_s
        self.closing = False
        self.open_requests: set[ReplyHandler] = set()
        self.idle: set[ReplyHandler] = set()
        self.idle_closed = False
        self.open_connections = 0

    def finish_accepting(self) -> None:
        """Accept the connections that wait in the queue, and stop listening.

        The kernel resets connections that are not accepted when the port closes.
        """
        self.stop_accepting()
        with contextlib.suppress(OSError):
            while accepted := self.do_read():
                self.do_handle(*accepted)
        self.close()

    def close_idle(self, wait_s: float) -> None:
        """Close the connections that wait for a request, now and from now on.

        Requests that have arrived are answered. The end of the process closes these
        connections too, but only after it has served nothing for some time, in which
        clients would wait in vain.

        Parameters
        ----------
        wait_s : float
            Longest time to wait until all connections are closed, in seconds.
        """
        self.idle_closed = True
        for handler in self.idle:
            handler.stop_waiting()
        with gevent.Timeout(wait_s, False):
            while self.open_connections:
                gevent.sleep(CLOSE_POLL_INTERVAL_S)

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection; called by gevent.

        Parameters
        ----------
        sock : gevent.socket.socket
            The accepted socket.
        address : tuple
            IP address and port of the client.
        """
        # Headers and body are sent as two writes; Nagle's algorithm would hold the
        # second one back until the client's delayed ACK, about 40 ms later.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(self._idle_timeout_s)
        self.open_connections += 1
        try:
            super().handle(sock, address)
        finally:
            self.open_connections -= 1


class _HeadReader:
    """Read the lines of a head; its end is an empty line, not a closed connection."""

    __slots__ = ("_file",)

    def __init__(self, file: Any) -> None:
        self._file = file

    def readline(self, size: int = -1) -> bytes:
        line = self._file.readline(size)
        if not line.endswith(b"\n") and (size < 0 or len(line) < size):
            raise HeadCutOff("the connection was closed inside the request's head")
        return line

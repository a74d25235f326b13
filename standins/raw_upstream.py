"""A loopback upstream whose raw responses are scripted."""

from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer

from toucanspool.platform import headers as names

READ_BYTES = 65536


@dataclass(slots=True)
class ReceivedRequest:
    """Hold the raw head and body of a received request."""

    head: str
    body: bytes

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string if it is missing."""
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return ""


Script = Callable[[socket.socket, ReceivedRequest], None]


@dataclass(slots=True)
class RawUpstream:
    """Serve scripted responses; a context manager.

    Parameters
    ----------
    script : callable
        Called with the connection and the request; sends the response.

    Attributes
    ----------
    seen : list of ReceivedRequest
        Requests received, in order.
    closed_early : int
        Number of responses whose connection broke before their end.
    crashes : bool
        Whether the upstream crashes at the end of its next response.
    port : int
        Loopback port that it listens on.
    """

    script: Script
    seen: list[ReceivedRequest] = field(default_factory=list)
    closed_early: int = 0
    crashes: bool = False
    port: int = 0
    _server: StreamServer | None = None
    _connections: Pool = field(default_factory=Pool)

    def __enter__(self) -> "RawUpstream":
        self.restart()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._server.stop(timeout=0)

    def restart(self) -> None:
        """Listen, on the same port as before if there was one."""
        self._server = StreamServer(
            ("127.0.0.1", self.port), self._serve, spawn=self._connections
        )
        self._server.start()
        self.port = self._server.server_port

    def crash(self) -> None:
        """Refuse connections and close all open ones."""
        self._server.stop(timeout=0)
        self._connections.kill(block=False)

    def _serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            received = sock.recv(READ_BYTES)
            if not received:
                return
            data += received
        head, _, body = data.partition(b"\r\n\r\n")
        request = ReceivedRequest(head.decode("latin-1"), b"")
        length = int(request.header("content-length") or 0)
        while len(body) < length:
            body += sock.recv(READ_BYTES)
        request.body = body
        self.seen.append(request)
        try:
            self.script(sock, request)
        except OSError:
            self.closed_early += 1
        if self.crashes:
            self.crash()


def reply(
    request: ReceivedRequest,
    body: bytes = b"answer",
    *,
    status: str = "200 OK",
    headers: str = "",
    signed: bool = True,
    framed: bool = True,
) -> bytes:
    """Return the bytes of a complete response to a request.

    A response without framing has no length; it ends with its connection.
    """
    lines = [f"HTTP/1.1 {status}"]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    lines.append(f"{names.ATTEMPT_ID.title()}: {request.header(names.ATTEMPT_ID)}")
    if signed:
        lines.append(f"{names.SIGNATURE.title()}: s.1")
    if headers:
        lines.append(headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answering(body: bytes = b"answer", **options: object) -> Script:
    """Return a script that sends one complete response."""

    def script(sock: socket.socket, request: ReceivedRequest) -> None:
        sock.sendall(reply(request, body, **options))

    return script


def streaming(
    events: list[bytes],
    *,
    gap_s: float = 0.0,
    cut: bool = False,
    partial: bytes = b"",
    framed: bool = True,
    headers: str = "",
) -> Script:
    """Return a script that streams events, one per chunk.

    Parameters
    ----------
    events : list of bytes
        The events; a Last-Event-ID header in the request skips the first ones.
    gap_s : float, default=0.0
        Pause before each event.
    cut : bool, default=False
        Leave out the final chunk.
    partial : bytes, default=b""
        Part of an event to send after the others.
    framed : bool, default=True
        Whether the stream has chunks; it ends with its connection otherwise.
    headers : str, default=""
        Further lines of the head.
    """

    def send(sock: socket.socket, data: bytes) -> None:
        sock.sendall(b"%x\r\n%s\r\n" % (len(data), data) if framed else data)

    def script(sock: socket.socket, request: ReceivedRequest) -> None:
        first = int(request.header("last-event-id") or 0)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"{names.ATTEMPT_ID.title()}: {request.header(names.ATTEMPT_ID)}\r\n"
            f"{names.SIGNATURE.title()}: s.1\r\n"
        )
        if headers:
            head += headers + "\r\n"
        head += "Transfer-Encoding: chunked\r\n\r\n" if framed else "\r\n"
        sock.sendall(head.encode())
        for event in events[first:]:
            gevent.sleep(gap_s)
            send(sock, event)
        if partial:
            send(sock, partial)
        if framed and not cut:
            sock.sendall(b"0\r\n\r\n")

    return script


def event(number: int) -> bytes:
    """Return a numbered event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def without_end(
    head: bytes, block: bytes, *, pause_s: float = 0.0, limit_bytes: int
) -> Script:
    """Return a script that repeats a block until the connection is closed.

    Parameters
    ----------
    head : bytes
        Bytes to send first.
    block : bytes
        Bytes to repeat.
    pause_s : float, default=0.0
        Pause before each block.
    limit_bytes : int
        Bytes after which the script gives up and raises `AssertionError`.
    """

    def script(sock: socket.socket, request: ReceivedRequest) -> None:
        sock.sendall(head)
        for _ in range(limit_bytes // len(block)):
            gevent.sleep(pause_s)
            sock.sendall(block)
        raise AssertionError(f"{limit_bytes} bytes were read of a reply without end")

    return script

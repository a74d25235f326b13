"""The HTTP server of callers: ends of replies, and requests that are cut off."""

import contextlib
from collections.abc import Iterator

import pytest
from gevent import socket

from toucanspool.wire.http_server import HttpServer, ReplyCutOff

TIMEOUT_S = 5.0
FRAMINGS = ["Content-Length: 4", "Transfer-Encoding: chunked", ""]
METHODS = ["GET", "POST", "PUT", "DELETE", "HEAD"]


class App:
    """Count requests and answer them."""

    def __init__(self, *, cut_off: bool = False) -> None:
        self.seen: list[str] = []
        self._cut_off = cut_off

    def __call__(self, environ, start_response) -> Iterator[bytes]:
        """Answer a request."""
        self.seen.append(environ["PATH_INFO"])
        environ["wsgi.input"].read()
        start_response("200 OK", [])
        yield b"begun"
        if self._cut_off:
            raise ReplyCutOff


@contextlib.contextmanager
def serving(app: App) -> Iterator[HttpServer]:
    server = HttpServer("127.0.0.1", 0, app)
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=0)


def exchange(server: HttpServer, data: bytes) -> bytes:
    """Send bytes, end the sending side, and return what comes back."""
    address = ("127.0.0.1", server.server_port)
    with socket.create_connection(address, timeout=TIMEOUT_S) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        with contextlib.suppress(OSError):
            while block := sock.recv(65536):
                received += block
    return received


@pytest.mark.parametrize("cut_off", [True, False])
def test_a_reply_that_is_cut_off_has_no_end(cut_off):
    """Guards against a proper end, or an error page, behind a part of a reply."""
    with serving(App(cut_off=cut_off)) as server:
        data = exchange(server, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    assert data.count(b"HTTP/1.1") == 1
    assert data.endswith(b"5\r\nbegun\r\n0\r\n\r\n") is not cut_off
    assert data.endswith(b"5\r\nbegun\r\n") is cut_off


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_request_that_is_cut_off_in_its_head_is_not_served(method, framing):
    """Guards against requests that lack headers, or a body, of their caller."""
    lines = [f"{method} /x HTTP/1.1", "Host: x", "Idempotency-Key: abc"]
    lines += [framing] if framing else []
    head = ("\r\n".join([*lines, "Authorization: Bearer k"]) + "\r\n\r\n").encode()
    app = App()
    with serving(app) as server:
        for cut in range(len(head)):
            data = exchange(server, head[:cut])
            assert not app.seen, head[:cut]
            assert b" 200 " not in data
        if not framing:
            exchange(server, head)
            assert app.seen == ["/x"]

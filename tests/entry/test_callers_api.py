"""Callers get no framing that the upstream did not give."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from types import SimpleNamespace

import falcon
import pytest
from gevent import socket

from toucanspool.entry.callers_api import ServiceResource
from toucanspool.entry.reply import Reply
from toucanspool.telemetry.metrics import Metrics
from toucanspool.wire.gen.messages.ttypes import Head
from toucanspool.wire.http_server import HttpServer

REQUEST = b"GET /services/desk/x HTTP/1.1\r\nHost: x\r\n\r\n"


class RequestIds:
    """Falcon middleware that gives each request the same id."""

    def process_request(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Set the id."""
        req.context.request_id = "r"


@contextmanager
def connection_to_entry(
    chunks: Iterator[bytes], *, framed: bool
) -> Iterator[socket.socket]:
    """Yield a connection on which a service's reply was requested."""
    reply = Reply(Head(status=200, headers={}), framed, False, chunks, ExitStack())
    resource = ServiceResource(
        SimpleNamespace(authenticate_team=lambda req: None),
        SimpleNamespace(service=lambda *args: None),
        SimpleNamespace(dispatch=lambda request: reply),
        Metrics(),
    )
    app = falcon.App(middleware=[RequestIds()])
    app.add_route("/services/{name}/{path:path}", resource)
    server = HttpServer("127.0.0.1", 0, app)
    server.start()
    sock = socket.create_connection(("127.0.0.1", server.server_port), timeout=2.0)
    sock.sendall(REQUEST)
    yield sock
    sock.close()
    server.stop(timeout=0)


def breaking_off() -> Iterator[bytes]:
    yield b"part"
    raise ConnectionResetError


def test_a_reply_without_framing_ends_with_its_connection():
    with connection_to_entry(iter([b"one", b"two"]), framed=False) as sock:
        head, _, body = sock.makefile("rb").read().partition(b"\r\n\r\n")
    assert body == b"onetwo"
    assert b"transfer-encoding" not in head.lower()
    assert b"content-length" not in head.lower()


def test_a_reply_without_framing_that_breaks_off_is_reset():
    with (
        connection_to_entry(breaking_off(), framed=False) as sock,
        pytest.raises(ConnectionResetError),
    ):
        sock.makefile("rb").read()


def test_a_reply_with_framing_has_chunks():
    with connection_to_entry(iter([b"one"]), framed=True) as sock:
        data = sock.recv(4096)
        assert b"transfer-encoding: chunked" in data.lower()

"""A gateway on loopback with scripted upstreams."""

import math
import random
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from gevent import socket

from standins.raw_upstream import RawUpstream, Script
from toucanspool.gateway.caller_server import CallerServer
from toucanspool.gateway.core import GatewayCore
from toucanspool.membership.entries import Entries
from toucanspool.membership.entry_record import EntryRecord
from toucanspool.platform.frontend import Frontend
from toucanspool.platform.headers import PlatformDialect
from toucanspool.routing.routes import (
    CallKind,
    KeyHolder,
    RequestLimits,
    Route,
    RouteTable,
)
from toucanspool.routing.upstream import Listing
from toucanspool.settings.hedging import Hedging
from toucanspool.settings.settings import RetryBudget
from toucanspool.telemetry.call_metrics import CallMetrics
from toucanspool.wire.http_server import RESET_ON_CLOSE

HOST = "desk.example"
TIMEOUT_S = 5.0
MAX_REPLY_BYTES = 8 * 1024 * 1024
RESET = b"(reset)"


def route(kind: CallKind = CallKind.IDEMPOTENT, **more: object) -> Route:
    """Return a route for ``/p/`` on `HOST`; keywords override its fields."""
    options = {
        "name": "r",
        "host": HOST,
        "prefix": "/p/",
        "kind": kind,
        "services": (("desk", 1.0),),
        "timeout_s": 2.0,
        "objective_s": 0.5,
        "max_attempts": 2,
        **more,
    }
    return Route(**options)


class Gateway:
    """Hold a running gateway.

    Attributes
    ----------
    core : GatewayCore
        The gateway's state.
    server : CallerServer
        The server for callers.
    port : int
        TCP port for callers.
    upstreams : list of RawUpstream
        Scripted upstreams, in the order in which they are chosen first.
    metrics : CallMetrics
        The gateway's metrics.
    """

    def __init__(
        self,
        core: GatewayCore,
        server: CallerServer,
        upstreams: list[RawUpstream],
        metrics: CallMetrics,
    ) -> None:
        self.core = core
        self.metrics = metrics
        self.server = server
        self.port = server.server_port
        self.upstreams = upstreams

    def connect(self) -> socket.socket:
        """Return a connection to the gateway."""
        return socket.create_connection(("127.0.0.1", self.port), timeout=TIMEOUT_S)

    def send(
        self,
        method: str = "GET",
        *,
        path: str = "/p/x",
        headers: str = "",
        body: bytes = b"",
    ) -> socket.socket:
        """Send a request on a new connection and return it."""
        sock = self.connect()
        sock.sendall(request(method, path=path, headers=headers, body=body))
        return sock

    def call(self, method: str = "GET", **more: object) -> tuple[int, str, bytes]:
        """Return status, head and body; `RESET` marks a connection that was reset."""
        return self.exchange(request(method, **more))

    def exchange(self, raw_request: bytes) -> tuple[int, str, bytes]:
        """Send the bytes of a request, and return the same as `call`."""
        data = b""
        with self.connect() as sock:
            sock.sendall(raw_request)
            try:
                while block := sock.recv(65536):
                    data += block
            except OSError:
                data += RESET
            # The gateway's port would else stay in use for a minute.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        head, _, body = data.partition(b"\r\n\r\n")
        text = head.decode("latin-1")
        return (int(text.split(" ")[1]) if text else 0), text, body


def request(
    method: str, *, path: str = "/p/x", headers: str = "", body: bytes = b""
) -> bytes:
    """Return the bytes of a request that asks to close the connection."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
    lines += ["Toucanspool-Attempt-Id: a1", "Toucanspool-Deadline-Ms: 4000"]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    if headers:
        lines.append(headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@contextmanager
def gateway(
    *scripts: Script | RawUpstream,
    routes: list[Route] | None = None,
    keys: dict[str, KeyHolder] | None = None,
    limits: RequestLimits | None = None,
    hedging: Hedging | None = None,
    **server_options: object,
) -> Iterator[Gateway]:
    """Run a gateway with one upstream for each script; upstreams may run already."""
    with ExitStack() as closing:
        raw_upstreams = [
            script
            if isinstance(script, RawUpstream)
            else closing.enter_context(RawUpstream(script))
            for script in scripts
        ]
        own_record = EntryRecord("e1", "127.0.0.1:1", "127.0.0.1:2")
        metrics = CallMetrics()
        rng = random.Random(1)
        core = GatewayCore(
            Entries(own_record),
            PlatformDialect(),
            RetryBudget(ratio=0.2, window_s=10.0, extra=50.0),
            failure_domain="one",
            rng=rng,
            metrics=metrics,
            max_reply_bytes=MAX_REPLY_BYTES,
            # The retry budget has its whole size.
            started_at=-math.inf,
        )
        listings = [
            Listing(name=f"u{n}", service="desk", host="127.0.0.1", port=upstream.port)
            for n, upstream in enumerate(raw_upstreams)
        ]
        core.upstreams.replace(listings, 1, now=0.0)
        core.upstreams_changed()
        table = RouteTable(
            version=1,
            routes=routes or [route()],
            keys=keys or {},
            keys_required=bool(keys),
        )
        core.set_routes(table)
        core.set_hedging(hedging)
        core.tick()
        frontend = Frontend(core.dispatcher, lambda: core.routes, rng, metrics)
        server = CallerServer(
            "127.0.0.1",
            0,
            frontend,
            limits=limits or RequestLimits(),
            **server_options,
        )
        server.start()
        closing.callback(server.stop, timeout=0)
        yield Gateway(core, server, raw_upstreams, metrics)

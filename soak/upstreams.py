"""Upstreams of the soak test, which report the calls they run and fail at random."""

import math
import random
import struct
import time
from collections.abc import Callable

import gevent
import orjson
from gevent import socket

from soak import strange_replies
from soak.cold_watch import COLD_START_S, ColdWatch
from soak.deadly_requests import DeadlyRequests
from soak.evacuation_watch import EvacuationWatch
from soak.limit_watch import LimitWatch
from soak.oracle import MAX_READ_BYTES, STREAM_EVENTS, Oracle
from soak.process import Process
from standins.raw_upstream import RawUpstream, ReceivedRequest, reply
from standins.row_store import RowStorePages
from toucanspool.platform import headers as names

EVENT_GAP_S = 0.04
HANG_S = 3.0
# Share of replies without length or chunks, which end with their connection.
UNFRAMED_SHARE = 0.3
FAULTS = ("full", "early", "late", "cut", "garbage", "hang", "endless")
FAULTS += strange_replies.KINDS
ENDLESS_BLOCK = b"x" * 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class SoakUpstream:
    """Run calls, report them to the oracle, and fail at random.

    Parameters
    ----------
    name : str
        Name of the instance, which changes with each restart.
    domain : str
        Its failure domain.
    oracle : Oracle
        Told of each call that runs.
    limit_watch : LimitWatch
        Told of each request.
    evacuation_watch : EvacuationWatch
        Told of each request.
    cold_watch : ColdWatch
        Told of each request while the upstream is cold.
    find_gateway : callable
        Takes the id of a call and returns the gateway that it was sent to, or None.
    deadly_requests : DeadlyRequests
        Tells which requests crash the upstream.
    on_deadly : callable
        Called with the upstream and the body of a request that crashes it.
    rng : random.Random
        Random source of failures and delays.

    Attributes
    ----------
    fail_share : float
        Fraction of the calls that fail.
    limit : float or None
        Requests a second that it takes from all gateways together, as named in its
        answers.
    draining_since : float or None
        When it started to drain, on the monotonic clock; None if it does not.
    crashed : bool
        Whether it has crashed and is not back yet.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        oracle: Oracle,
        limit_watch: LimitWatch,
        evacuation_watch: EvacuationWatch,
        cold_watch: ColdWatch,
        find_gateway: Callable[[str], Process | None],
        deadly_requests: DeadlyRequests,
        on_deadly: Callable[["SoakUpstream", bytes], None],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.domain = domain
        self._evacuation_watch = evacuation_watch
        self._cold_watch = cold_watch
        self._find_gateway = find_gateway
        self._cold_until = -math.inf
        # Gateways that have to know that it is cold; None for all of them.
        self._told: set[tuple[str, int]] | None = None
        self.fail_share = 0.0
        self.draining_since: float | None = None
        self.crashed = False
        self.limit: float | None = None
        self._oracle = oracle
        self._limit_watch = limit_watch
        self._deadly_requests = deadly_requests
        self._on_deadly = on_deadly
        self._rng = rng
        self.server = RawUpstream(self._serve)

    def list(self, pages: RowStorePages) -> None:
        """Write its row to the store's list of servers."""
        fields = {
            "service": "desk",
            "address": f"127.0.0.1:{self.server.port}",
            "zone": self.domain,
            "coldRemainingMs": 1000.0 * max(0.0, self._cold_until - time.monotonic()),
            "slots": 8,
            "state": "ready" if self.draining_since is None else "draining",
        }
        pages.put("servers", self.name, orjson.dumps(fields))

    def beat(self, pages: RowStorePages, interval_s: float) -> None:
        """Write the row again while the upstream is cold, and once afterwards."""
        if not self.crashed and time.monotonic() < self._cold_until + interval_s:
            self.list(pages)

    def turn_cold(self, told: set[tuple[str, int]] | None = None) -> None:
        """Become cold; the list says so with the next heartbeat.

        Parameters
        ----------
        told : set of (str, int), optional
            Names and starts of the gateways that have to know at once. None for all.
        """
        self._cold_until = time.monotonic() + COLD_START_S
        self._told = told

    def drain(self, pages: RowStorePages) -> None:
        """List the upstream as draining."""
        self.draining_since = time.monotonic()
        self.list(pages)

    def restart(self, pages: RowStorePages, number: int) -> None:
        """Replace the instance by a cold one of another name at the same address."""
        pages.drop("servers", self.name)
        self.name = f"{self.name.partition('.')[0]}.{number}"
        self.draining_since = None
        self.turn_cold()
        self.list(pages)

    def crash(self) -> None:
        """Break all replies off and refuse connections; the list keeps its row."""
        self.crashed = True
        self.server.crash()

    def return_after_crash(self, pages: RowStorePages, number: int) -> None:
        """Listen again, as an instance of another name."""
        self.server.restart()
        self.crashed = False
        self.restart(pages, number)

    def _serve(self, sock: socket.socket, request: ReceivedRequest) -> None:
        if request.header(names.EXPECT_INSTANCE) != self.name:
            sock.sendall(reply(request, b"", status="421 Other", signed=False))
            return
        call = request.header(names.ATTEMPT_ID)
        self._evacuation_watch.record_request(self.name, self.domain, call)
        self._record_cold(call)
        self._limit_watch.record_request(self.name, call, self.limit)
        if self._deadly_requests.is_deadly(request.body):
            self._deadly_requests.record_arrival(call, request.body)
            self._on_deadly(self, request.body)
            gevent.sleep(HANG_S)
            return
        limit = f"{names.SERVER_LIMIT}: {self.limit}" if self.limit is not None else ""
        fault = self._rng.random() < self.fail_share
        kind = self._rng.choice(FAULTS)
        framed = self._rng.random() >= UNFRAMED_SHARE
        if fault and kind == "full":
            headers = f"{names.NOT_EXECUTED}: 1" + (f"\r\n{limit}" if limit else "")
            options = {"status": "503 Full", "headers": headers, "signed": False}
            sock.sendall(reply(request, b"", **options))
            return
        draining_s = (
            time.monotonic() - self.draining_since if self.draining_since else 0.0
        )
        self._oracle.record_run(call, self.name, draining_s=draining_s)
        if fault and kind == "early":
            return
        if fault and kind == "garbage":
            sock.sendall(b"\x00 no answer \r\n\r\n")
            return
        if fault and kind == "hang":
            gevent.sleep(HANG_S)
        if fault and kind == "endless":
            self._send_without_end(sock, call)
            return
        streamed = " /stream/" in request.head
        if fault and kind == "earlier refusal":
            sock.sendall(strange_replies.earlier_refusal(self._rng, request))
            fault = False
        if fault and kind == "failure":
            resumed = streamed and bool(request.header("last-event-id"))
            data = strange_replies.failure(self._rng, request, resumed=resumed)
            sock.sendall(data)
            return
        if streamed:
            end = b"id: 9\nda"
            if kind == "embedded":
                end = strange_replies.embedded_reply(self._rng, request)
            self._stream(sock, request, call, limit, cut=fault, framed=framed, end=end)
            return
        gevent.sleep(self._rng.uniform(0.0, 0.05))
        body = b"answer to " + call.encode()
        data = reply(request, body, headers=limit, framed=framed)
        sock.sendall(data[:-3] if fault else data)
        if fault and not framed:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def _record_cold(self, call: str) -> None:
        now = time.monotonic()
        gateway = self._find_gateway(call)
        if gateway is None or now >= self._cold_until:
            return
        if self._told is None or (gateway.name, gateway.starts) in self._told:
            self._cold_watch.record_request(self.name, gateway.name, now)

    def _send_without_end(self, sock: socket.socket, call: str) -> None:
        """Send a head, or the body of a reply or a stream, until it is not read."""
        start = f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {call}\r\n{names.SIGNATURE}: s"
        rest = ("\r\nX-More: ", "\r\n\r\n", "\r\nContent-Length: 99999999999\r\n\r\n")
        sent_bytes = 0
        try:
            sock.sendall((start + self._rng.choice(rest)).encode())
            while sent_bytes <= MAX_READ_BYTES:
                sock.sendall(ENDLESS_BLOCK)
                sent_bytes += len(ENDLESS_BLOCK)
        finally:
            self._oracle.check_read(call, sent_bytes)

    def _stream(
        self,
        sock: socket.socket,
        request: ReceivedRequest,
        call: str,
        limit: str,
        *,
        cut: bool,
        framed: bool,
        end: bytes,
    ) -> None:
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"{names.ATTEMPT_ID}: {call}\r\n{names.SIGNATURE}: s\r\n"
        )
        head += f"{limit}\r\n" if limit else ""
        head += "Transfer-Encoding: chunked\r\n\r\n" if framed else "\r\n"
        sock.sendall(head.encode())
        first = int(request.header("last-event-id") or 0) + 1
        last = STREAM_EVENTS
        if cut and first <= last:
            last = self._rng.randrange(first, last + 1)
        for number in range(first, last + 1):
            gevent.sleep(EVENT_GAP_S)
            event = f"id: {number}\ndata: {call} piece {number}\n\n".encode()
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event) if framed else event)
        if framed and not cut:
            sock.sendall(b"0\r\n\r\n")
        elif cut and not framed:
            sock.sendall(end)

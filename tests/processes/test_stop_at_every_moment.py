"""Calls of all kinds at every moment of a gateway's stop, until its process ends.

Guards against calls that a stopping gateway reads and whose connection ends without a
complete answer, and against refusals as not run of calls that an upstream got.
"""

import math
import random
import signal
import time
from dataclasses import dataclass, field

import gevent
import pytest
from gevent import socket

from standins.raw_upstream import event, reply
from standins.row_store import RowStore
from tests.gateway.gateways import HOST
from tests.platform.test_operator_configuration import ROUTE
from tests.processes.test_gateway import GatewayProcess

GRACE_S = 8.0
# Callers keep an address for three times as long, which is more than the grace period.
ADDRESS_TTL_S = 5.0
# A request that is cut off sooner after its last byte wasn't read.
LOSS_SLACK_S = 0.2
# A call that was sent by then may be cut off if its upstream still works at the end.
EARLY_S = 3.0
LAST_SIXTH_S = GRACE_S * 5 / 6
# Callers abandon a call that isn't read within this time.
READ_S = 1.0
STEP_S = 0.1
CALLS_PER_STEP = 5
EVENTS = 8
PREFIXES = {
    "book": ("non_idempotent", 1, False),
    "look": ("idempotent", 2, False),
    "draft": ("streaming", 2, True),
    "talk": ("streaming", 1, False),
}
ROUTE_TIMEOUTS_MS = {"": 8000, "short": 700}
# A call that was sent after `EARLY_S` can't have this limit and end in a stop.
CHANGED_TIMEOUT_MS = 5000
SENDING = (
    "whole",
    "whole",
    "whole",
    "head in parts",
    "body late",
    "chunks",
    "expect",
    "old",
    "pipelined",
)
CONNECTING = ("new", "new", "kept", "early")
HEDGING = {"ratio": 0.1, "percentile": 50.0}
# Retries are allowed from 0.5 s after the start on.
RETRIES = {"extra": 500.0, "window_s": 0.5, "ratio": 0.9}


def routes(timeouts_ms: dict[str, int] = ROUTE_TIMEOUTS_MS) -> list[dict]:
    """Return one route of each kind and time limit."""
    return [
        {
            **ROUTE,
            "name": prefix + suffix,
            "hostname": HOST,
            "prefix": f"/{prefix}{suffix}/",
            "routeType": kind,
            "maxAttempts": attempts,
            "resumable": resumable,
            "timeoutMs": timeout_ms,
            "backends": [{"service": "s", "weight": 1}],
        }
        for prefix, (kind, attempts, resumable) in PREFIXES.items()
        for suffix, timeout_ms in timeouts_ms.items()
    ]


@dataclass(slots=True)
class SentCall:
    """Hold what a caller and upstreams see of one call; times count from SIGTERM."""

    id: str
    prefix: str
    suffix: str
    work_s: float
    deadline_ms: int | None
    connecting: str
    sending: str
    at: float
    trouble: str
    met_trouble: bool = False
    received: bool = False
    sent_at: float = math.inf
    answered_at: float = -1.0
    ended_at: float = -1.0
    got: bytes = b""
    error: str = ""
    arrivals: list[float] = field(default_factory=list)
    work_ends: list[float] = field(default_factory=list)

    @property
    def limit_s(self) -> float:
        """Return the shortest time limit that the call may have."""
        limit_ms = min(ROUTE_TIMEOUTS_MS[self.suffix], CHANGED_TIMEOUT_MS)
        return min(limit_ms, self.deadline_ms or limit_ms) / 1000.0

    @property
    def status(self) -> int:
        """Return the status of the first final answer, 0 if there is none."""
        data = self.got.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
        return int(data.split(b" ")[1]) if b"\r\n\r\n" in data else 0

    @property
    def complete(self) -> bool:
        """Return whether the first final answer has arrived whole."""
        data = self.got.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
        head, end, body = data.partition(b"\r\n\r\n")
        if not end:
            return False
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        if fields.get(b"transfer-encoding") == b"chunked":
            return b"\r\n0\r\n\r\n" in body
        if b"content-length" in fields:
            return len(body) >= int(fields[b"content-length"])
        return not self.error

    def bytes(self) -> tuple[bytes, bytes]:
        """Return head and body of the request."""
        version = "1.0" if self.sending == "old" else "1.1"
        lines = [
            f"POST /{self.prefix}{self.suffix}/x HTTP/{version}",
            f"Host: {HOST}",
            f"Toucanspool-Attempt-Id: {self.id}",
            f"X-Work: {self.work_s}",
        ]
        if self.deadline_ms is not None:
            lines.append(f"Toucanspool-Deadline-Ms: {self.deadline_ms}")
        if self.sending == "expect":
            lines.append("Expect: 100-continue")
        chunked = self.sending == "chunks"
        lines.append("Transfer-Encoding: chunked" if chunked else "Content-Length: 4")
        body = b"4\r\nbody\r\n0\r\n\r\n" if chunked else b"body"
        return ("\r\n".join(lines) + "\r\n\r\n").encode(), body


class Traffic:
    """Send a seeded mixture of calls, and record what becomes of them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.port = 0
        self.calls: dict[str, SentCall] = {}
        self.stopped_at = 0.0

    def now(self) -> float:
        """Return the seconds since SIGTERM."""
        return time.monotonic() - self.stopped_at

    def script(self, sock, seen) -> None:
        """Answer as an upstream, with a stream or at once after some work."""
        call = self.calls.get(seen.header("toucanspool-attempt-id"))
        if call is None:
            # A health check.
            sock.sendall(reply(seen))
            return
        call.received = True
        if call.trouble == "turned away" and not call.met_trouble:
            call.met_trouble = True
            gevent.sleep(min(call.work_s, 1.0))
            turned_away = "Toucanspool-Not-Executed: 1\r\nRetry-After: 0.1"
            sock.sendall(reply(seen, status="503 Full", headers=turned_away))
            return
        call.arrivals.append(self.now())
        try:
            if call.trouble == "broken" and not call.met_trouble:
                call.met_trouble = True
                gevent.sleep(min(call.work_s, 1.0))
                return
            if call.prefix in ("draft", "talk"):
                first = int(seen.header("last-event-id") or 0)
                head = reply(seen, b"", framed=False)
                head = head.replace(
                    b"\r\n\r\n",
                    b"\r\nContent-Type: text/event-stream"
                    b"\r\nTransfer-Encoding: chunked\r\n\r\n",
                )
                sock.sendall(head)
                for number in range(first, EVENTS):
                    gevent.sleep(call.work_s / EVENTS)
                    piece = event(number + 1)
                    sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece))
                sock.sendall(b"0\r\n\r\n")
            else:
                gevent.sleep(call.work_s)
                sock.sendall(reply(seen))
        finally:
            call.work_ends.append(self.now())

    def run(self) -> None:
        """Send calls until after the end of the grace period."""
        tasks, number = [], 0
        begin = -5
        for step in range(begin, round((GRACE_S + 0.3) / STEP_S)):
            # The last second matters most.
            count = CALLS_PER_STEP * (1 + (step * STEP_S > GRACE_S - 1.5))
            for _ in range(count):
                number += 1
                at = (step + self._rng.random()) * STEP_S
                prefix = self._rng.choice(list(PREFIXES))
                streams = prefix in ("draft", "talk")
                call = SentCall(
                    id=f"c{number}",
                    prefix=prefix,
                    suffix=self._rng.choice(["", "", "", "short"]),
                    # A stream may be silent for 1.7 s.
                    work_s=self._rng.choice(
                        [0.02, 0.3, 1.0, 2.5, GRACE_S - at, GRACE_S - 0.6 - at]
                        + ([6.0, 8.0] if streams else [60.0])
                    ),
                    deadline_ms=self._rng.choice([None, 0, 50, 600, 3000, 8000]),
                    connecting=self._rng.choice(CONNECTING),
                    sending=self._rng.choice(SENDING),
                    at=at,
                    trouble=self._rng.choice(["", "", "", "turned away", "broken"]),
                )
                call.work_s = max(0.0, call.work_s)
                self.calls[call.id] = call
                tasks.append(gevent.spawn(self._send, call))
        gevent.joinall(tasks, raise_error=True)

    def _send(self, call: SentCall) -> None:
        try:
            sock = None
            if call.connecting == "kept":
                sock = self._kept()
            elif call.connecting == "early":
                # Accepted, or in the accept queue, and silent until the call is sent.
                gevent.sleep(max(0.0, call.at - 0.05 - self.now()))
                sock = self._connect()
            gevent.sleep(max(0.0, call.at - self.now()))
            sock = sock or self._connect()
            self._send_bytes(call, sock)
            call.sent_at = self.now()
            while data := sock.recv(65536):
                call.got += data
                call.answered_at = self.now()
        except OSError as exc:
            call.error = type(exc).__name__
        call.ended_at = self.now()

    def _send_bytes(self, call: SentCall, sock: socket.socket) -> None:
        head, body = call.bytes()
        pause_s = self._rng.choice([0.01, 0.1, 0.4, 1.5])
        if call.sending == "head in parts":
            sock.sendall(head[:20])
            gevent.sleep(pause_s)
            sock.sendall(head[20:-2])
            gevent.sleep(pause_s)
            sock.sendall(head[-2:] + body)
        elif call.sending == "body late":
            sock.sendall(head)
            gevent.sleep(pause_s)
            sock.sendall(body)
        elif call.sending == "chunks":
            sock.sendall(head + body[:4])
            gevent.sleep(pause_s)
            sock.sendall(body[4:])
        elif call.sending == "expect":
            sock.sendall(head)
            gevent.sleep(0.05)
            sock.sendall(body)
        elif call.sending == "pipelined":
            sock.sendall(head + body + b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n")
        else:
            sock.sendall(head + body)

    def _connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port), timeout=GRACE_S + 5)

    def _kept(self) -> socket.socket:
        """Return a connection that has served a request before the signal."""
        gevent.sleep(max(0.0, -0.9 + self._rng.random() * 0.3 - self.now()))
        sock = self._connect()
        sock.sendall(b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n")
        data = b""
        while not data.endswith(b"}"):
            data += sock.recv(65536)
        return sock


def broken_promise(call: SentCall) -> str:
    """Return what is wrong with how a call ended; empty if all is well."""
    if call.status == 503:
        if call.arrivals:
            return "refused as not run, and an upstream got it"
        if b"Retry-After: " not in call.got:
            return "refused without a time to come back"
    on_time = call.answered_at - call.at < call.limit_s
    if call.status == 504 and on_time and not call.received:
        return "not passed on, and told that it may have run"
    if call.complete:
        if call.sent_at > 0.5 and b"Connection: close" not in call.got:
            return "not asked to close the connection"
        held_s = call.answered_at - call.sent_at
        if call.status == 503 and not call.received and held_s > READ_S:
            return "refused late"
        return ""
    if call.sent_at == math.inf:
        # The connection ended before the whole request was sent.
        return ""
    if not call.arrivals and call.ended_at - call.sent_at <= LOSS_SLACK_S:
        return ""
    if call.arrivals and call.ended_at - call.at >= call.limit_s:
        return ""
    works_late = any(end >= LAST_SIXTH_S for end in call.work_ends)
    if call.sent_at <= EARLY_S and works_late:
        return ""
    return "passed on and cut off" if call.arrivals else "read and cut off"


def leave_alone(process: GatewayProcess) -> None:
    """Send SIGTERM only."""


def signals_in_series(process: GatewayProcess) -> None:
    """Send SIGHUP and SIGTERM again and again, with changed settings."""
    for number in range(60):
        process._fields["drain"] = {"grace_s": [GRACE_S, 2.0, 30.0][number % 3]}
        process.write_settings(address_ttl_s=[ADDRESS_TTL_S, 0.1][number % 2])
        process.process.send_signal(signal.SIGHUP)
        if number % 7 == 0:
            process.process.send_signal(signal.SIGTERM)
        gevent.sleep(0.1)


def configurations_in_series(process: GatewayProcess) -> None:
    """Change the time limits of routes."""
    for version in range(2, 14):
        timeouts_ms = {**ROUTE_TIMEOUTS_MS, "": [8000, CHANGED_TIMEOUT_MS][version % 2]}
        process.configure(version, routes=routes(timeouts_ms))
        gevent.sleep(0.5)


def silent_store(process: GatewayProcess) -> None:
    """Let the store fall silent."""
    process.store.pages.silent = True


@pytest.mark.parametrize(
    ("seed", "trouble", "hedging"),
    [
        (1, leave_alone, None),
        # Ended late, with calls unread on kept connections.
        (21, signals_in_series, HEDGING),
        (31, configurations_in_series, None),
        (22, silent_store, HEDGING),
    ],
)
def test_every_call_in_a_stop_gets_a_complete_answer(tmp_path, seed, trouble, hedging):
    traffic = Traffic(random.Random(seed))
    with RowStore() as store:
        drain = {"grace_s": GRACE_S}
        process = GatewayProcess(store, tmp_path, *[traffic.script] * 3, drain=drain)
        traffic.port = process.callers
        process.configure(1, routes=routes())
        process.write_settings(
            address_ttl_s=ADDRESS_TTL_S, hedging=hedging, retries=RETRIES
        )
        process.start()
        try:
            traffic.stopped_at = time.monotonic() + 1.0
            sending = gevent.spawn(traffic.run)
            gevent.sleep(1.0)
            process.process.send_signal(signal.SIGTERM)
            troubling = gevent.spawn(trouble, process)
            # It would be killed then.
            assert process.process.wait(timeout=GRACE_S - traffic.now()) == 0
            troubling.kill()
            sending.get(timeout=2 * GRACE_S)
        finally:
            process.close()
    calls = traffic.calls.values()
    assert not [(found, call) for call in calls if (found := broken_promise(call))]
    assert {200, 503, 504} <= {call.status for call in calls}


ANSWER = b"HTTP/1.1 %d X\r\nConnection: close\r\n%sContent-Length: 1\r\n\r\n1"


@pytest.mark.parametrize(
    ("found", "changes"),
    [
        ("", {"got": ANSWER % (200, b""), "arrivals": [5.0]}),
        ("", {"got": ANSWER % (503, b"Retry-After: 0\r\n")}),
        ("refused as not run, and", {"got": ANSWER % (503, b""), "arrivals": [5.0]}),
        ("refused without a time", {"got": ANSWER % (503, b"")}),
        ("not passed on, and told", {"got": ANSWER % (504, b"")}),
        ("passed on and cut off", {"got": ANSWER[:-1] % (200, b""), "arrivals": [5.0]}),
        ("passed on and cut off", {"arrivals": [5.0], "work_ends": [7.5]}),
        ("read and cut off", {}),
        ("", {"sent_at": 2.9, "arrivals": [2.9], "work_ends": [7.5]}),
        (
            "passed on and cut off",
            {"sent_at": 2.9, "arrivals": [2.9], "work_ends": [6]},
        ),
        ("", {"ended_at": 5.1}),
    ],
)
def test_the_oracle_sees_what_a_caller_loses(found, changes):
    call = SentCall("c1", "book", "", 1.0, 3000, "new", "whole", 5.0, "")
    call.sent_at, call.answered_at, call.ended_at = 5.0, 5.1, 7.4
    for name, value in changes.items():
        setattr(call, name, value)
    call.received = bool(call.arrivals)
    assert broken_promise(call).startswith(found)
    assert bool(broken_promise(call)) is bool(found)

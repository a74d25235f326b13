"""Requests that crash the upstreams that run them, and come again at any gateway."""

import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import gevent
from gevent import socket

from soak.callers import HOST, KEY
from soak.oracle import Oracle
from soak.process import Process
from toucanspool.platform import headers as names

CONTACT_S = 3.0
# The platform bounds how often such a request reaches upstreams after its third crash.
CRASHES = 3
MAX_LATE_ARRIVALS = 3
MEAN_GAP_S = 0.7
TIMEOUT_S = 2.0


@dataclass(slots=True)
class _Deadly:
    crashed_at: list[float] = field(default_factory=list)
    late_arrivals: int = 0


class DeadlyRequests:
    """Send deadly requests, and check that they stop reaching upstreams.

    Parameters
    ----------
    oracle : Oracle
        Records violations.
    ports : callable
        Returns the ports of the gateways.
    find_gateway : callable
        Takes the id of a call and returns the gateway that it was sent to, or None.
    rng : random.Random
        Random source of all choices.
    """

    def __init__(
        self,
        oracle: Oracle,
        ports: Callable[[], list[int]],
        find_gateway: Callable[[str], Process | None],
        rng: random.Random,
    ) -> None:
        self._oracle = oracle
        self._ports = ports
        self._find_gateway = find_gateway
        self._rng = rng
        self._requests: dict[bytes, _Deadly] = {}
        self._sent = 0

    def send(self, prefix: str, seconds: float) -> None:
        """Send a new deadly request again and again for a time."""
        body = b"deadly %d" % len(self._requests)
        self._requests[body] = _Deadly()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            gevent.spawn(self._send_once, prefix, body)
            gevent.sleep(self._rng.uniform(0.0, 2 * MEAN_GAP_S))

    def is_deadly(self, body: bytes) -> bool:
        """Return whether a request with a body crashes upstreams."""
        return body in self._requests

    def record_arrival(self, call: str, body: bytes) -> None:
        """Record that a deadly request has reached an upstream."""
        deadly = self._requests[body]
        if len(deadly.crashed_at) < CRASHES:
            return
        known_at = deadly.crashed_at[CRASHES - 1] + CONTACT_S
        gateway = self._find_gateway(call)
        if gateway is None or gateway.undisturbed_s() <= CONTACT_S:
            return
        if (
            time.monotonic() < known_at
            or self._oracle.store_undisturbed_s() < CONTACT_S
        ):
            return
        deadly.late_arrivals += 1
        if deadly.late_arrivals > MAX_LATE_ARRIVALS:
            self._oracle.record_deadly(call, len(deadly.crashed_at))

    def record_crash(self, body: bytes) -> None:
        """Record that an upstream has crashed under a deadly request."""
        self._requests[body].crashed_at.append(time.monotonic())

    def _send_once(self, prefix: str, body: bytes) -> None:
        self._sent += 1
        call = f"deadly-{self._sent}"
        port = self._rng.choice(self._ports())
        self._oracle.record_call(call, once=False, port=port)
        head = [
            f"POST {prefix}x HTTP/1.1",
            f"Host: {HOST}",
            f"Content-Length: {len(body)}",
            f"{names.ATTEMPT_ID}: {call}",
            f"{names.DEADLINE_MS}: {int(TIMEOUT_S * 1000)}",
            f"Authorization: Bearer {KEY}",
            "Connection: close",
        ]
        with suppress(OSError, gevent.Timeout), gevent.Timeout(TIMEOUT_S + 1.0):
            sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
            sock.settimeout(TIMEOUT_S)
            sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            while sock.recv(65536):
                pass
            sock.close()

"""Callers of the soak: bookings, reads and streams, on kept and new connections."""

import random
import time
from collections.abc import Callable
from contextlib import suppress

import gevent
from gevent import socket

from soak.oracle import Oracle
from toucanspool.platform import headers as names

HOST = "soak.example"
KEY = "key-1"
PATIENCE_S = 4.0
ROUTE_S = {"/book/": 1.0, "/read/": 1.0, "/stream/": 3.0}
PAUSE_S = 0.03


class SoakCaller:
    """Call one entry after another.

    Parameters
    ----------
    name : str
        Its name, a part of its calls' ids.
    ports : callable
        Returns the ports of the entries that may be used.
    oracle : Oracle
        Told what is sent and what comes back.
    rng : random.Random
        Source of choices.
    """

    def __init__(
        self,
        name: str,
        ports: Callable[[], list[int]],
        oracle: Oracle,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._ports = ports
        self._oracle = oracle
        self._rng = rng
        self._count = 0
        self._sock: socket.socket | None = None

    def run(self, until: float) -> None:
        """Call until a time on the monotonic clock."""
        while time.monotonic() < until:
            self._call(self._rng.choice(("/book/", "/read/", "/stream/")))
            gevent.sleep(self._rng.uniform(0.0, 2 * PAUSE_S))

    def _call(self, prefix: str) -> None:
        self._count += 1
        call = f"{self._name}-{self._count}"
        self._oracle.sent(call, once=prefix == "/book/")
        started = time.monotonic()
        leaves = self._rng.random() < 0.05
        try:
            with gevent.Timeout(0.1 if leaves else PATIENCE_S):
                self._exchange(call, prefix)
        except (OSError, gevent.Timeout, ValueError):
            self._drop()
        if not leaves:
            self._oracle.held(call, started, time.monotonic(), ROUTE_S[prefix])

    def _exchange(self, call: str, prefix: str) -> None:
        if self._sock is None:
            port = self._rng.choice(self._ports())
            self._sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
            self._sock.settimeout(PATIENCE_S)
        body = b"body of " + call.encode()
        self._sock.sendall(
            f"POST {prefix}x HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"{names.ATTEMPT_ID}: {call}\r\n{names.DEADLINE_MS}: 4000\r\n"
            f"Authorization: Bearer {KEY}\r\n\r\n".encode()
            + body
        )
        file = self._sock.makefile("rb")
        words = file.readline().split(b" ")
        if len(words) < 2:
            raise OSError("closed without an answer")
        status = int(words[1])
        headers = {}
        while (line := file.readline()).strip():
            name, _, value = line.partition(b":")
            headers[name.strip().lower()] = value.strip()
        if headers.get(b"transfer-encoding") == b"chunked":
            self._take_stream(call, file)
        else:
            length = int(headers[b"content-length"])
            data = file.read(length)
            if len(data) < length:
                raise OSError("cut")
            if status == 200:
                self._oracle.whole(call, data)
            else:
                self._oracle.refuse(call, status)
        if headers.get(b"connection") == b"close" or self._rng.random() < 0.2:
            self._drop()

    def _take_stream(self, call: str, file: object) -> None:
        data, complete = b"", False
        with suppress(OSError, ValueError):
            while True:
                size = int(file.readline(), 16)
                if not size:
                    complete = True
                    file.readline()
                    break
                data += file.read(size)
                file.readline()
        events = [e for e in data.decode().split("\n\n") if e]
        texts = [event.partition("data: ")[2] for event in events]
        self._oracle.stream(call, texts, complete=complete)
        if not complete:
            self._drop()

    def _drop(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None

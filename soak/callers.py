"""Callers of the soak test: bookings, reads and streams, with connection reuse."""

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
CALL_TIMEOUT_S = 4.0
ROUTE_TIMEOUT_S = {"/book/": 1.0, "/read/": 1.0, "/stream/": 3.0}
MEAN_PAUSE_S = 0.03


class SoakCaller:
    """Make random calls to the entries, one at a time.

    Parameters
    ----------
    name : str
        Name of the caller, the prefix of its call ids.
    ports : callable
        Returns the ports of the entries.
    oracle : Oracle
        Records calls and checks their answers.
    rng : random.Random
        Random source of all choices.
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
        self._port = 0
        self._sock: socket.socket | None = None

    def run(self, until: float) -> None:
        """Make calls until a time on the monotonic clock."""
        while time.monotonic() < until:
            self._call(self._rng.choice(("/book/", "/read/", "/stream/")))
            gevent.sleep(self._rng.uniform(0.0, 2 * MEAN_PAUSE_S))

    def _call(self, prefix: str) -> None:
        self._count += 1
        call = f"{self._name}-{self._count}"
        started = time.monotonic()
        gives_up = self._rng.random() < 0.05
        try:
            with gevent.Timeout(0.1 if gives_up else CALL_TIMEOUT_S):
                self._exchange(call, prefix)
        except (OSError, gevent.Timeout, ValueError):
            self._disconnect()
        if not gives_up:
            self._oracle.check_duration(
                call, started, time.monotonic(), ROUTE_TIMEOUT_S[prefix]
            )

    def _exchange(self, call: str, prefix: str) -> None:
        if self._sock is None:
            self._port = self._rng.choice(self._ports())
            address = "127.0.0.1", self._port
            self._sock = socket.create_connection(address, timeout=1.0)
            self._sock.settimeout(CALL_TIMEOUT_S)
        self._oracle.record_call(call, once=prefix == "/book/", port=self._port)
        body = b"body of " + call.encode()
        self._sock.sendall(
            f"POST {prefix}x HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"{names.ATTEMPT_ID}: {call}\r\n{names.DEADLINE_MS}: 4000\r\n"
            f"Authorization: Bearer {KEY}\r\n\r\n".encode()
            + body
        )
        reader = self._sock.makefile("rb")
        status_line = reader.readline().split(b" ")
        if len(status_line) < 2:
            raise OSError("closed without an answer")
        status = int(status_line[1])
        headers = {}
        while (line := reader.readline()).strip():
            name, _, value = line.partition(b":")
            headers[name.strip().lower()] = value.strip()
        if headers.get(b"transfer-encoding") == b"chunked":
            self._read_stream(call, reader)
        elif b"content-length" not in headers:
            self._read_to_close(call, reader, streamed=prefix == "/stream/")
        else:
            length = int(headers[b"content-length"])
            data = reader.read(length)
            if len(data) < length:
                raise OSError("connection closed within the body")
            if status == 200:
                self._oracle.check_answer(call, data)
            else:
                self._oracle.record_refusal(call, status)
        if headers.get(b"connection") == b"close" or self._rng.random() < 0.2:
            self._disconnect()

    def _read_stream(self, call: str, reader: object) -> None:
        data, complete = b"", False
        with suppress(OSError, ValueError):
            while True:
                size = int(reader.readline(), 16)
                if not size:
                    complete = True
                    reader.readline()
                    break
                data += reader.read(size)
                reader.readline()
        self._check_stream(call, data, complete=complete)

    def _read_to_close(self, call: str, reader: object, *, streamed: bool) -> None:
        """Read a body that ends with its connection; a reset breaks it off."""
        data, complete = b"", False
        with suppress(OSError):
            while block := reader.read1():
                data += block
            complete = True
        self._disconnect()
        if streamed:
            self._check_stream(call, data, complete=complete)
        elif complete:
            self._oracle.check_answer(call, data)

    def _check_stream(self, call: str, data: bytes, *, complete: bool) -> None:
        if not complete:
            # The connection may break off inside an event.
            data = data[: data.rfind(b"\n\n") + 2] if b"\n\n" in data else b""
        events = [e for e in data.decode().split("\n\n") if e]
        texts = [event.partition("data: ")[2] for event in events]
        self._oracle.check_stream(call, texts, complete=complete)
        if not complete:
            self._disconnect()

    def _disconnect(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None

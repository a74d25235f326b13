"""A machine is stopped; streams sent more than 3 s later are admitted and then cut."""

import os
import random
import signal
import sys
import time
from pathlib import Path

import gevent
import orjson
from gevent import socket

from review.system import (
    HOST,
    Record,
    Site,
    gateway_ready,
    page,
    run_case,
    wait_until,
)
from standins.raw_upstream import RawUpstream, event, streaming

RECORD = Path(sys.argv[1])
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTNAME, KEY = "guide.example", "key-of-a-club"
DEADLINE_MS = 8000
GRACE_S = 8.0
# Requests sent up to this long after SIGTERM may be cut off in the last sixth.
EXCUSED_S = 3.0
# Within the site's sheet: 24 events on average and 60 at most, pauses of up to 120 ms.
EVENTS = (12, 20, 24, 36, 48, 60)
GAP_S = 0.1
# Clients keep an answer of the directory for up to three times its `ttlS`.
CACHE_FACTOR = 3.0
SEND_EVERY_S = 0.07


class Client:
    """Keep the directory's answer as the pages allow, and open streams."""

    def __init__(self, number: int, directories: list[str], record: Record) -> None:
        self.number = number
        self._directories = directories
        self._record = record
        self._rng = random.Random(number)
        self._addresses: list[str] = []
        self._until = 0.0
        self.failed: set[str] = set()

    def address(self) -> str:
        """Return the address for a new connection."""
        now = time.monotonic()
        if now > self._until:
            for directory in self._rng.sample(self._directories, 2):
                target = f"/resolve?name={HOSTNAME}&region=aotearoa&zone=auckland"
                status, body = page(directory, target)
                if status == 200:
                    answer = orjson.loads(body)
                    self._addresses = answer["addresses"]
                    self._until = now + CACHE_FACTOR * min(answer["ttlS"], 5)
                    break
        sound = [a for a in self._addresses if a not in self.failed]
        return self._rng.choice(sound or self._addresses)

    def stream(self, number: int, at: str) -> tuple[float, int, bool, float]:
        """Open a stream and read it to its end.

        Returns
        -------
        sent_at : float
            When the last byte of the request was sent.
        status : int
            0 if there was none.
        complete : bool
            Whether the answer is complete.
        ended_at : float
        """
        call = f"c{self.number}-{number}"
        ask = (
            f"POST /guide/2f HTTP/1.1\r\nHost: {HOSTNAME}\r\n"
            f"Toucanspool-Attempt-Id: {call}\r\nToucanspool-Model: m\r\n"
            "Toucanspool-Token-Count: 674,240\r\n"
            f"Toucanspool-Prefix-Hash: 5c1e07a2:40,{self.number:08x}:634\r\n"
            f"Toucanspool-Deadline-Ms: {DEADLINE_MS}\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n\r\ntext"
        )
        host, _, port = at.rpartition(":")
        data, sent_at = b"", time.monotonic()
        self._record.write(f"{call} sent to {at}")
        try:
            with socket.create_connection((host, int(port)), timeout=1.0) as sock:
                sock.settimeout(DEADLINE_MS / 1000.0)
                sock.sendall(ask.encode())
                sent_at = time.monotonic()
                while not data.endswith(b"\r\n0\r\n\r\n"):
                    block = sock.recv(65536)
                    if not block:
                        break
                    data += block
                    if b"\r\n\r\n" in data and b"chunked" not in data.lower():
                        break
        except OSError as exc:
            self._record.write(f"{call} connection failed: {exc!r}")
        status = int(data.split()[1]) if data.startswith(b"HTTP/1.1 ") else 0
        complete = data.endswith(b"\r\n0\r\n\r\n") or (
            status not in (0, 200) and b"\r\n\r\n" in data
        )
        ended_at = time.monotonic()
        pieces = data.count(b"data: ")
        self._record.write(
            f"{call} status {status}, {pieces} events, complete: {complete}, "
            f"{ended_at - sent_at:.2f} s after it was sent"
        )
        return sent_at, status, complete, ended_at


def _script(record: Record, runs: dict[str, tuple[float, int]]):
    """Return a runner that writes whole streams and never breaks off by itself."""

    def script(sock, request) -> None:
        call = request.header("toucanspool-attempt-id")
        count = EVENTS[len(runs) % len(EVENTS)]
        runs[call] = (time.monotonic(), count)
        record.write(f"{call} runs, {count} events of {GAP_S} s")
        streaming([event(n) for n in range(1, count + 1)], gap_s=GAP_S)(sock, request)
        record.write(f"{call} has run to its end")

    return script


def main() -> int:
    """Run the case; return its exit status."""
    record = Record(RECORD)
    runs: dict[str, tuple[float, int]] = {}
    results = []
    with Site() as site, RawUpstream(_script(record, runs)) as runner:
        fields = {"service": "guide-model", "address": f"{HOST}:{runner.port}"}
        site.list_runner("i-1", fields)
        route = {
            "name": "roster-query",
            "hostname": HOSTNAME,
            "prefix": "/guide/",
            "routeType": "streaming",
            "resumable": True,
            "service": "guide-model",
            "timeoutMs": DEADLINE_MS,
            "objectiveMs": 500,
            "gapTargetMs": 120,
            "maxAttempts": 2,
        }
        tenants = [{"name": "clubs", "apiKeys": [KEY]}]
        services = [{"name": "guide-model"}]
        site.configure({"routes": [route], "services": services, "tenants": tenants})
        gateways = [
            site.add_gateway("edge-auckland-1", "auckland"),
            site.add_gateway("edge-wellington-1", "wellington"),
        ]
        for gateway in gateways:
            gateway.start()
        if not wait_until(lambda: all(map(gateway_ready, gateways)), 15.0):
            record.write("the gateways did not become ready")
            return 2
        directories = [g.fields["listen"]["directoryService"] for g in gateways]
        clients = [Client(number, directories, record) for number in range(10)]
        gevent.sleep(3.0)
        stopped = gateways[0].fields["listen"]["frontend"]
        tasks = []
        term_at = time.monotonic() + 2.0

        def send(client: Client, number: int) -> None:
            at = client.address()
            result = client.stream(number, at)
            if not result[2]:
                client.failed.add(at)
            results.append((f"c{client.number}-{number}", at, *result))

        def terminate() -> None:
            gevent.sleep(max(0.0, term_at - time.monotonic()))
            record.write(f"SIGTERM to the machine at {stopped}")
            gateways[0].signal(signal.SIGTERM)

        if TROUBLE:
            gevent.spawn(terminate)
        number = 0
        while time.monotonic() < term_at + 6.0:
            client = clients[number % len(clients)]
            tasks.append(gevent.spawn(send, client, number))
            number += 1
            gevent.sleep(SEND_EVERY_S)
        gevent.joinall(tasks, timeout=15.0)
        record.write(f"first machine runs: {gateways[0].running}")
    broken = 0
    for call, at, sent_at, _, complete, ended_at in sorted(results):
        ran = runs.get(call)
        if complete or ran is None or ended_at - sent_at >= DEADLINE_MS / 1000.0:
            continue
        after_s = sent_at - term_at
        excused = after_s <= EXCUSED_S and ended_at >= term_at + GRACE_S * 5 / 6
        if at != stopped or not 0.0 <= ended_at - term_at <= GRACE_S + 1.0:
            excused = True
        record.write(
            f"{call} was passed on and cut off: sent {after_s:.2f} s after SIGTERM, "
            f"cut {ended_at - term_at:.2f} s after it, {ran[1]} events, "
            f"excused: {excused}"
        )
        broken += not excused
    served = sum(complete and status == 200 for *_, status, complete, _ in results)
    record.write(f"{len(results)} streams, {served} served, LOST broken {broken} times")
    if not results or not served:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(main)

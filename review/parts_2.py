"""What the scripts of this review share: settings, processes and the record."""

import os
import signal
import socket as plain_socket
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import TextIO

import gevent
import orjson
from gevent import socket, subprocess

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_LIMIT_S = 25.0
PORT_NAMES = ("callers", "readiness", "directory", "metrics")
# Bounds of the sheet of the Magnolia deployment (demands/LATER.md).
GRACE_S, CONTACT_MS, DRAIN_MS, EVACUATE_MS = 8, 4000, 3000, 5000


class Record:
    """Write lines with their times, in seconds since the start, as they come."""

    def __init__(self, file: TextIO) -> None:
        self._file = file
        self._started_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")


def run_case(path: str, play: Callable[[ExitStack, Record], int]) -> int:
    """Play a case within its time, with its record at a path; return the status."""
    with Path(path).open("w", buffering=1) as file:
        record = Record(file)
        record.note(f"TROUBLE={int(TROUBLE)}")
        # A script that is ended from outside ends what it has started, too.
        gevent.signal_handler(signal.SIGTERM, gevent.kill, gevent.getcurrent())
        try:
            with ExitStack() as cleanup, gevent.Timeout(105.0):
                return play(cleanup, record)
        except (Exception, gevent.Timeout, gevent.GreenletExit) as exc:
            record.note(f"the case could not run: {exc!r}")
            return 2


class Ports:
    """Give out TCP ports that are free, each once."""

    def __init__(self) -> None:
        self._given: set[int] = set()

    def next(self) -> int:
        """Return a free port."""
        while True:
            with plain_socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                port = sock.getsockname()[1]
            if port not in self._given:
                self._given.add(port)
                return port


class Gateway:
    """A gateway process, started by the command of the deploy file."""

    def __init__(
        self, name: str, store_port: int, folder: Path, ports: Ports, *, extra: int
    ) -> None:
        self.name = name
        self.ports = {name: ports.next() for name in PORT_NAMES}
        self.started_at = 0.0
        self.process: subprocess.Popen
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.yaml"
        self._settings.write_bytes(orjson.dumps(self._fields(store_port, extra)))

    def _fields(self, store_port: int, extra: int) -> dict:
        """Return what `deploy/gateway.yaml` yields for a small deployment."""
        return {
            "role": "gateway",
            "instance": self.name,
            "failure_domain": "jackson",
            "region": "gulf-south",
            "zones": {"jackson": "gulf-south", "mobile": "gulf-south"},
            "host": "127.0.0.1",
            "port": self.ports["metrics"],
            "drain": {"grace_s": GRACE_S},
            "gateway": {
                **{name: f"127.0.0.1:{self.ports[name]}" for name in PORT_NAMES},
                "max_held_bytes": 67108864,
                "caller_stall_s": 2,
                "retries": {"ratio": 0.2, "window_s": 10, "extra": extra},
                "store": {
                    "address": f"127.0.0.1:{store_port}",
                    "contact_ms": CONTACT_MS,
                    "drain_ms": DRAIN_MS,
                    "evacuate_ms": EVACUATE_MS,
                },
                "cold_starts": {"overrun": 1.5, "slack": 5},
            },
        }

    @property
    def callers(self) -> str:
        """Return the address for clients."""
        return f"127.0.0.1:{self.ports['callers']}"

    def start(self) -> None:
        """Start the process."""
        self.started_at = time.monotonic()
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "toucanspool.daemon"],
                cwd=ROOT,
                env={**os.environ, "TOUCANSPOOL_SETTINGS": str(self._settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def wait_until_ready(self) -> None:
        """Wait until the readiness page answers 200."""
        with gevent.Timeout(START_LIMIT_S):
            while get(self.ports["readiness"], "/readyz")[0] != 200:
                gevent.sleep(0.1)


def get(port: int, path: str) -> tuple[int, bytes]:
    """Return the status and body of a GET; status 0 without an answer."""
    data = b""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1.0) as sock:
            head = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            sock.sendall(head.encode())
            while block := sock.recv(65536):
                data += block
        head_bytes, _, body = data.partition(b"\r\n\r\n")
        return int(head_bytes.split(b" ")[1]), body
    except (OSError, IndexError, ValueError):
        return 0, b""


def config(routes: list[dict], service: str) -> bytes:
    """Return an operator's configuration with one service."""
    return orjson.dumps(
        {
            "version": 7,
            "routes": routes,
            "services": [{"name": service, "healthPath": "/healthz"}],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "hule930", "apiKeys": ["n2ctnfzs989anu6wsjnb"]}],
        }
    )

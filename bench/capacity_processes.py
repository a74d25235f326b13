"""Slopes of real processes: an idle entry by listed instances, an agent by entries."""

import struct
import time
from collections.abc import Sequence
from dataclasses import asdict

import gevent
import numpy as np
import psutil
from gevent import socket
from gevent.server import StreamServer

from bench.capacity_fit import Slope
from bench.capacity_parts import instances
from demo.launcher import HOST, System, call
from toucanspool.config.view import key_hash
from toucanspool.settings.settings import Settings
from toucanspool.wire import codec
from toucanspool.wire.gen.messages.ttypes import Frame, Hello

WINDOW_S = 8.0
SETTLE_S = 5.0
LISTED = (120, 485, 970)
CONNECTED = (40, 150, 370)
REPEATS = 2
TEAMS = 4500
TEAMS_A_CHANGE = 250
REVISION = TEAMS // TEAMS_A_CHANGE
PLAN = {
    "region": "bench",
    "entries": [{"name": "entry-1", "failure_domain": "one"}],
    "runners": [{"name": "guide-1", "model": "guide", "failure_domain": "one"}],
    "services": [],
    "step_ms": 1.0,
    "instance_lag_s": 0.1,
    "entry_settings": {},
    "drain_grace_s": 5.0,
    "config_interval_s": Settings.model_fields["config_interval_s"].default,
    "instances_interval_s": Settings.model_fields["instances_interval_s"].default,
}


class Sink:
    """Accept connections of one process and count what it sends."""

    def __init__(self) -> None:
        self.bytes = 0
        self._server = StreamServer((HOST, 0), self._count)
        self._server.start()

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return self._server.server_port

    def close(self) -> None:
        """End listening."""
        self._server.stop()

    def _count(self, sock: socket.socket, address: tuple[str, int]) -> None:
        while data := sock.recv(65536):
            self.bytes += len(data)


class Callers:
    """Hold idle connections to an agent, as entries do, and count its reports."""

    def __init__(self, port: int) -> None:
        self.bytes = 0
        self._port = port
        self._socks: list[socket.socket] = []

    def grow(self, count: int) -> None:
        """Connect until there are so many connections."""
        while len(self._socks) < count:
            sock = socket.create_connection((HOST, self._port))
            name = f"entry-{len(self._socks):04d}-0123456789"
            hello = codec.encode(Frame(hello=Hello(name, "entry", "one", REVISION)))
            sock.sendall(struct.pack("!i", len(hello)) + hello)
            gevent.spawn(self._count, sock)
            self._socks.append(sock)

    def close(self) -> None:
        """Close all connections."""
        for sock in self._socks:
            sock.close()

    def _count(self, sock: socket.socket) -> None:
        try:
            while data := sock.recv(65536):
                self.bytes += len(data)
        except OSError:
            return


def slopes() -> list[Slope]:
    """Return the slopes of an idle entry and an idle agent."""
    with System(dict(PLAN)) as system:
        configure(system)
        return [*_agent(system), *_entry(system)]


def configure(system: System, teams: int = TEAMS) -> None:
    """Give a system a configuration with many teams."""
    port = system.ports["entry-1/http"]
    base = 0
    for start in range(0, teams, TEAMS_A_CHANGE):
        puts = [
            {
                "kind": "team",
                "name": f"team-{n}",
                "labels": {"size": "small"},
                "key_hashes": [key_hash(f"key-{n}")],
            }
            for n in range(start, min(teams, start + TEAMS_A_CHANGE))
        ]
        body = {"change_id": f"teams-{start}", "base": base, "puts": puts}
        status, answer, _ = call(
            port, "POST", "/admin/v1/changes", body, key=system.keys.bootstrap
        )
        if status != 200:
            raise RuntimeError(f"the change was refused: {answer}")
        base = answer["revision"]


def _agent(system: System) -> list[Slope]:
    process = psutil.Process(system.processes["agent-guide-1"].process.pid)
    callers = Callers(system.ports["agent-guide-1"])
    found = []
    for count in CONNECTED:
        callers.grow(count)
        time.sleep(SETTLE_S)
        found.append(_window(process, lambda: callers.bytes))
    callers.close()
    return _three("agent", "connected entry", CONNECTED, found)


def _entry(system: System) -> list[Slope]:
    process = psutil.Process(system.processes["entry-1"].process.pid)
    sink = Sink()
    found = []
    for count in LISTED:
        for instance in instances(count):
            fields = {**asdict(instance), "host": HOST, "port": sink.port}
            path = f"/instances/{instance.name}"
            call(system.ports["instances"], "PUT", path, fields)
        time.sleep(SETTLE_S)
        found.append(_window(process, lambda: sink.bytes))
    sink.close()
    return _three("entry", "listed instance", LISTED, found)


def _window(process: psutil.Process, count: object) -> np.ndarray:
    runs = []
    for _ in range(REPEATS):
        before, cpu, began = count(), sum(process.cpu_times()[:2]), time.monotonic()
        time.sleep(WINDOW_S)
        passed_s = time.monotonic() - began
        spent_s = sum(process.cpu_times()[:2]) - cpu
        rss_mb = process.memory_info().rss / 1e6
        sent = (count() - before) / passed_s
        runs.append((spent_s * 1000.0 / passed_s, rss_mb, sent))
    return np.array(runs).T


def _three(
    role: str, per: str, sizes: Sequence[int], found: list[np.ndarray]
) -> list[Slope]:
    parts = (("processor time", "ms/s"), ("memory", "MB"), ("sent to others", "B/s"))
    return [
        Slope(
            f"idle {role}, {name}",
            unit,
            per,
            tuple(sizes),
            np.array([f[n] for f in found]),
        )
        for n, (name, unit) in enumerate(parts)
    ]

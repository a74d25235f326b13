"""Measure an idle entry by listed instances and an idle agent by connected entries."""

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
from bench.capacity_parts import make_instances
from demo.launcher import HOST, System, call
from toucanspool.config.view import key_hash
from toucanspool.settings.settings import Settings
from toucanspool.wire import codec
from toucanspool.wire.gen.messages.ttypes import Frame, Hello

WINDOW_S = 8.0
SETTLE_S = 5.0
INSTANCE_COUNTS = (120, 485, 970)
CONNECTION_COUNTS = (40, 150, 370)
REPEATS = 2
TEAMS = 4500
TEAMS_PER_CHANGE = 250
REVISION = TEAMS // TEAMS_PER_CHANGE
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
    """Accept connections of one process and count the bytes that it sends."""

    def __init__(self) -> None:
        self.received_bytes = 0
        self._server = StreamServer((HOST, 0), self._count_received)
        self._server.start()

    @property
    def port(self) -> int:
        """Port of the listening socket."""
        return self._server.server_port

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _count_received(self, sock: socket.socket, address: tuple[str, int]) -> None:
        while data := sock.recv(65536):
            self.received_bytes += len(data)


class EntryConnections:
    """Hold idle connections to an agent, as entries do, and count received bytes."""

    def __init__(self, port: int) -> None:
        self.received_bytes = 0
        self._port = port
        self._sockets: list[socket.socket] = []

    def open_up_to(self, count: int) -> None:
        """Open connections until `count` are open."""
        while len(self._sockets) < count:
            sock = socket.create_connection((HOST, self._port))
            name = f"entry-{len(self._sockets):04d}-0123456789"
            hello = codec.encode(Frame(hello=Hello(name, "entry", "one", REVISION)))
            sock.sendall(struct.pack("!i", len(hello)) + hello)
            gevent.spawn(self._count_received, sock)
            self._sockets.append(sock)

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()

    def _count_received(self, sock: socket.socket) -> None:
        try:
            while data := sock.recv(65536):
                self.received_bytes += len(data)
        except OSError:
            return


def slopes() -> list[Slope]:
    """Measure the cost of an idle entry and an idle agent."""
    with System(dict(PLAN)) as system:
        configure(system)
        return [*_measure_agent(system), *_measure_entry(system)]


def configure(system: System, teams: int = TEAMS) -> None:
    """Add many teams to the configuration of a system."""
    port = system.ports["entry-1/http"]
    base = 0
    for start in range(0, teams, TEAMS_PER_CHANGE):
        puts = [
            {
                "kind": "team",
                "name": f"team-{n}",
                "labels": {"size": "small"},
                "key_hashes": [key_hash(f"key-{n}")],
            }
            for n in range(start, min(teams, start + TEAMS_PER_CHANGE))
        ]
        body = {"change_id": f"teams-{start}", "base": base, "puts": puts}
        status, answer, _ = call(
            port, "POST", "/admin/v1/changes", body, key=system.keys.bootstrap
        )
        if status != 200:
            raise RuntimeError(f"configuration change was rejected: {answer}")
        base = answer["revision"]


def _measure_agent(system: System) -> list[Slope]:
    process = psutil.Process(system.processes["agent-guide-1"].process.pid)
    connections = EntryConnections(system.ports["agent-guide-1"])
    samples = []
    for count in CONNECTION_COUNTS:
        connections.open_up_to(count)
        time.sleep(SETTLE_S)
        samples.append(_sample(process, lambda: connections.received_bytes))
    connections.close()
    return _make_slopes("agent", "connected entry", CONNECTION_COUNTS, samples)


def _measure_entry(system: System) -> list[Slope]:
    process = psutil.Process(system.processes["entry-1"].process.pid)
    sink = Sink()
    samples = []
    for count in INSTANCE_COUNTS:
        for instance in make_instances(count):
            fields = {**asdict(instance), "host": HOST, "port": sink.port}
            path = f"/instances/{instance.name}"
            call(system.ports["instances"], "PUT", path, fields)
        time.sleep(SETTLE_S)
        samples.append(_sample(process, lambda: sink.received_bytes))
    sink.close()
    return _make_slopes("entry", "listed instance", INSTANCE_COUNTS, samples)


def _sample(process: psutil.Process, sent_bytes: object) -> np.ndarray:
    runs = []
    for _ in range(REPEATS):
        sent_before, cpu_before, began = (
            sent_bytes(),
            sum(process.cpu_times()[:2]),
            time.monotonic(),
        )
        time.sleep(WINDOW_S)
        elapsed_s = time.monotonic() - began
        cpu_s = sum(process.cpu_times()[:2]) - cpu_before
        rss_mb = process.memory_info().rss / 1e6
        sent_per_s = (sent_bytes() - sent_before) / elapsed_s
        runs.append((cpu_s * 1000.0 / elapsed_s, rss_mb, sent_per_s))
    return np.array(runs).T


def _make_slopes(
    role: str, per: str, sizes: Sequence[int], samples: list[np.ndarray]
) -> list[Slope]:
    measures = (("processor time", "ms/s"), ("memory", "MB"), ("sent to others", "B/s"))
    return [
        Slope(
            f"idle {role}, {name}",
            unit,
            per,
            tuple(sizes),
            np.array([sample[index] for sample in samples]),
        )
        for index, (name, unit) in enumerate(measures)
    ]

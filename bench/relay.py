"""Measure the latency and the processor cost that an entry adds.

``python -m bench.relay`` compares direct calls to the upstream, a bare falcon relay,
and an entry with its agent in one run, and prints latencies and chunks per
core-second.
"""

from gevent import monkey

monkey.patch_all()

import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent
import numpy as np
import orjson
import psutil
from absl import app, flags
from geventhttpclient import HTTPClient

from demo.launcher import HOST, System, call
from toucanspool.config.view import key_hash
from toucanspool.wire.events import DONE_EVENT

RATE = flags.DEFINE_float("rate", 50.0, "Requests a second of the latency part.")
SECONDS = flags.DEFINE_float("seconds", 8.0, "Length of each part, seconds.")
STREAMS = flags.DEFINE_integer("streams", 200, "Streams of the paced part.")
PACE_MS = flags.DEFINE_float("pace_ms", 35.0, "Time between tokens, ms.")
BLAST = flags.DEFINE_integer("blast", 300_000, "Events of a back-to-back stream.")
RUNS = flags.DEFINE_integer("runs", 5, "Runs of each part.")

TEAM_KEY = "bench-key-of-a-team"
PLAN = {
    "region": "bench",
    "entries": [{"name": "entry-1", "failure_domain": "one"}],
    "runners": [],
    "services": [],
    "step_ms": 1.0,
    "instance_lag_s": 0.1,
    "entry_settings": {"address_ttl_s": 0.1, "max_in_flight": 2000},
    "drain_grace_s": 5.0,
    "config_interval_s": 0.5,
    "instances_interval_s": 0.2,
}


@dataclass(slots=True)
class Route:
    """Describe one route to the upstream.

    Parameters
    ----------
    name : str
        Name in the printed table.
    port : int
        Port that callers connect to.
    processes : list of psutil.Process
        Processes between the caller and the upstream.
    """

    name: str
    port: int
    processes: list[psutil.Process]


class BenchSystem(System):
    """System with `bench.blaster` as its only runner and a bare relay."""

    def _start_upstreams(self) -> None:
        self._start_standin("guide-1", "bench.blaster")
        item = {"name": "guide-1", "model": "guide", "failure_domain": "one"}
        self.plan["runners"] = [item]
        self.start_agent(item)
        self._start_standin(
            "bare", "bench.bare_relay", f"--target={self.ports['guide-1']}"
        )


def main(argv: list[str]) -> None:
    """Run all parts and print the table."""
    with BenchSystem(dict(PLAN)) as system:
        _configure(system)
        routes = _make_routes(system)
        print(f"noise: {_measure_noise()}")
        print("| part | way | figure |\n|---|---|---|")
        _measure_latency(routes)
        _measure_chunks(routes, "back to back", 1, BLAST.value, 0.0)
        events_per_stream = int(SECONDS.value * 1000 / PACE_MS.value)
        _measure_chunks(
            routes,
            f"{STREAMS.value} streams",
            STREAMS.value,
            events_per_stream,
            PACE_MS.value,
        )
        for name in ("entry-1", "agent-guide-1"):
            peak = _peak_mb(system.processes[name].process.pid)
            print(f"| peak memory | {name} | {peak:.0f} MB |")
    sys.stdout.flush()


def _configure(system: System) -> None:
    records = [{"kind": "team", "name": "bench", "key_hashes": [key_hash(TEAM_KEY)]}]
    body = {"change_id": "first", "base": 0, "puts": records}
    port = system.ports["entry-1/http"]
    key = system.keys.bootstrap
    call(port, "POST", "/admin/v1/changes", body, key=key)
    deadline = time.monotonic() + 10.0
    while (
        call(port, "POST", "/v1/chat/completions", _body(1, 0.0), key=TEAM_KEY)[0]
        != 200
    ):
        if time.monotonic() > deadline:
            raise TimeoutError("entry did not answer a request in time")
        time.sleep(0.2)


def _make_routes(system: System) -> list[Route]:
    processes = {n: psutil.Process(m.process.pid) for n, m in system.processes.items()}
    return [
        Route("straight", system.ports["guide-1"], []),
        Route("bare relay", system.ports["bare"], [processes["bare"]]),
        Route("entry", system.ports["entry-1/http"], [processes["entry-1"]]),
        Route(
            "entry and agent",
            system.ports["entry-1/http"],
            [processes["entry-1"], processes["agent-guide-1"]],
        ),
    ]


def _measure_latency(routes: list[Route]) -> None:
    for route in routes[:3]:
        runs = [_run_latency(route) for _ in range(RUNS.value)]
        for label, index in (("p50", 0), ("p99", 1)):
            values = [run[index] for run in runs]
            low, mid, high = min(values), np.median(values), max(values)
            part = f"{RATE.value:g} req/s {label}"
            figure = f"{mid:.2f} ms ({low:.2f} to {high:.2f})"
            print(f"| {part} | {route.name} | {figure} |", flush=True)


def _run_latency(route: Route) -> tuple[float, float]:
    client = HTTPClient(HOST, route.port, concurrency=64, network_timeout=20.0)
    times: list[float] = []

    def send_request() -> None:
        began = time.perf_counter()
        resp = client.request(
            "POST",
            "/v1/chat/completions",
            body=orjson.dumps(_body(1, 0.0)),
            headers=_headers(),
        )
        resp.read()
        times.append((time.perf_counter() - began) * 1000.0)

    send_request()
    times.clear()
    tasks = []
    began = time.monotonic()
    for number in range(int(RATE.value * SECONDS.value / 2)):
        gevent.sleep(max(0.0, began + number / RATE.value - time.monotonic()))
        tasks.append(gevent.spawn(send_request))
    gevent.joinall(tasks, raise_error=True)
    client.close()
    return float(np.percentile(times, 50)), float(np.percentile(times, 99))


def _measure_chunks(
    routes: list[Route], part: str, streams: int, count: int, pace_ms: float
) -> None:
    for route in routes[1:]:
        runs = RUNS.value if streams == 1 else 2
        values = [_run_chunks(route, streams, count, pace_ms) for _ in range(runs)]
        print(
            f"| {part}, chunks a core-second | {route.name} | {np.median(values):,.0f}"
            f" ({min(values):,.0f} to {max(values):,.0f}) |",
            flush=True,
        )


def _run_chunks(route: Route, streams: int, count: int, pace_ms: float) -> float:
    before = _cpu_s(route.processes)
    tasks = [
        gevent.spawn(_read_stream, route.port, count, pace_ms) for _ in range(streams)
    ]
    gevent.joinall(tasks, raise_error=True)
    return streams * count / (_cpu_s(route.processes) - before)


def _read_stream(port: int, count: int, pace_ms: float) -> None:
    client = HTTPClient(HOST, port, network_timeout=60.0, block_size=65536)
    body = orjson.dumps(_body(count, pace_ms, stream=True))
    resp = client.request("POST", "/v1/chat/completions", body=body, headers=_headers())
    tail = b""
    while chunk := resp.read(65536):
        tail = chunk
    client.close()
    if not tail.endswith(DONE_EVENT):
        raise ValueError(f"stream ended before its final event: {tail[-200:]!r}")


def _body(tokens: int, pace_ms: float, *, stream: bool = False) -> dict[str, Any]:
    messages = [{"role": "user", "content": "bench"}]
    return {
        "model": "guide",
        "messages": messages,
        "stream": stream,
        "max_tokens": tokens,
        "pace_ms": pace_ms,
    }


def _headers() -> dict[str, str]:
    return {
        "authorization": f"Bearer {TEAM_KEY}",
        "content-type": "application/json",
        "request-timeout": "120",
    }


def _cpu_s(processes: list[psutil.Process]) -> float:
    return sum(sum(process.cpu_times()[:2]) for process in processes)


def _peak_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024.0
    return float("nan")


def _measure_noise() -> str:
    times = []
    for _ in range(20):
        began = time.perf_counter()
        sum(range(200_000))
        times.append((time.perf_counter() - began) * 1000.0)
    load_average = psutil.getloadavg()[0]
    median, p95 = np.percentile(times, [50, 95])
    return (
        f"a fixed loop takes {median:.2f} ms (p95 {p95:.2f}), load average"
        f" {load_average:.1f} on {psutil.cpu_count()} cores"
    )


if __name__ == "__main__":
    app.run(main)

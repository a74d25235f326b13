"""Measure the propagation of a configuration change between real processes.

``python -m bench.spread_processes`` starts entries and agents on loopback in waves.
It prints the seconds from the acceptance of a change until 50, 99 and 100 % of the
processes have applied it according to their logs, in three cases: no fault, the table
down right after the change, and a third of the entries frozen. It also prints the
traffic, processor time and memory of idle processes.
"""

from gevent import monkey

monkey.patch_all()

import re
import signal
import subprocess
import time
from collections import defaultdict
from datetime import datetime

import numpy as np
import orjson
import psutil
from absl import app, flags

from demo.launcher import System, call

ENTRIES = flags.DEFINE_integer("entries", 90, "Entries.")
AGENTS = flags.DEFINE_integer("agents", 20, "Agents.")
DOMAINS = flags.DEFINE_integer("domains", 8, "Failure domains.")
WAVE = flags.DEFINE_integer("wave", 10, "Processes started at once.")
RUNS = flags.DEFINE_integer("runs", 3, "Changes in each case.")
CASES = flags.DEFINE_list("cases", ["well", "table", "frozen"], "Cases.")
IDLE_S = flags.DEFINE_float("idle_s", 10.0, "Length of the idle part, seconds.")

START_TIMEOUT_S = 60.0
CONFIG_TIMEOUT_S = 20.0
PROPAGATION_WAIT_S = 6.0
FROZEN_WAIT_S = 14.0
RESUME_WAIT_S = 8.0
CASE_PAUSE_S = 1.0
MAX_MEMORY_RATIO = 0.45
SOCKET_LINE = re.compile(r":(\d+)\s+\S+:(\d+)\s+users:.*?pid=(\d+)")
BYTE_COUNT = re.compile(r"bytes_(sent|received):(\d+)")


class Fleet(System):
    """System with many entries and agents; all agents serve one service."""

    def _start_upstreams(self) -> None:
        self._start_standin("service", "standins.service", "--name=service")

    def _start_entries(self) -> None:
        return

    def _wait_for_processes(self) -> None:
        super()._wait_for_processes()
        for wave in _waves(self.plan["entries"]):
            self._start_wave(wave, self.start_entry, "")
        for wave in _waves(self.plan["services"]):
            self._start_wave(wave, self.start_agent, "agent-")

    def _start_wave(self, wave: list[dict], start: object, prefix: str) -> None:
        for item in wave:
            start(item)
        deadline = time.monotonic() + START_TIMEOUT_S
        for item in wave:
            self.wait_listening(self.processes[prefix + item["name"]], deadline)
        if psutil.virtual_memory().percent > 100 * MAX_MEMORY_RATIO:
            raise MemoryError("memory use is above the limit; start fewer processes")

    @property
    def daemons(self) -> list[str]:
        """Names of the entries and agents."""
        items = self.plan["services"]
        names = [item["name"] for item in self.plan["entries"]]
        return names + [f"agent-{item['name']}" for item in items]

    def applied_at(self, name: str, revision: int) -> float:
        """Return when a process applied a revision, in seconds since the epoch."""
        for line in self.log(name).splitlines():
            if '"configuration ' in line and f'"revision":{revision}' in line:
                item = orjson.loads(line)
                if item["revision"] == revision:
                    return datetime.fromisoformat(item["timestamp"]).timestamp()
        return float("inf")


def main(argv: list[str]) -> None:
    """Run all cases and print the tables."""
    load_average = psutil.getloadavg()[0]
    print(f"load average {load_average:.1f} on {psutil.cpu_count()} cores")
    began = time.monotonic()
    with Fleet(_make_plan()) as fleet:
        print(f"{len(fleet.daemons)} processes after {time.monotonic() - began:.0f} s")
        operator = _Operator(fleet)
        operator.change()
        _wait_for_revision(fleet, operator.revision)
        _measure_idle(fleet)
        print(
            "| case | to 50 % | to 99 % | to 100 % | processes |\n" + "|---" * 5 + "|"
        )
        frozen = [item["name"] for item in fleet.plan["entries"][1::3]]
        for case in CASES.value:
            for _ in range(RUNS.value):
                if case == "well":
                    _run_case(fleet, operator, "all well")
                elif case == "table":
                    _run_case(fleet, operator, "table down right after", table=False)
                else:
                    case_name = "a third of the entries frozen"
                    _run_case(fleet, operator, case_name, frozen=frozen)


class _Operator:
    """Apply configuration changes at the first entry."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.revision = 0

    def change(self) -> float:
        """Apply a change; return its acceptance time, in seconds since the epoch."""
        number = self.revision + 1
        put = {"kind": "team", "name": "bench", "labels": {"share": str(number)}}
        body = {"change_id": f"c-{number}", "base": self.revision, "puts": [put]}
        status, answer, _ = call(
            self._fleet.ports["entry-0/http"],
            "POST",
            "/admin/v1/changes",
            body,
            key=self._fleet.keys.bootstrap,
        )
        if status != 200:
            raise RuntimeError(f"configuration change was rejected: {answer}")
        self.revision = answer["revision"]
        return time.time()


def _run_case(
    fleet: Fleet,
    operator: _Operator,
    case: str,
    *,
    table: bool = True,
    frozen: list[str] | tuple = (),
) -> None:
    for name in frozen:
        fleet.signal(name, signal.SIGSTOP)
    accepted_at = operator.change()
    if not table:
        fleet.set_faults("table", down=1)
    time.sleep(FROZEN_WAIT_S if frozen else PROPAGATION_WAIT_S)
    running = [name for name in fleet.daemons if name not in frozen]
    _print_row(case, fleet, running, operator.revision, accepted_at)
    if not table:
        fleet.set_faults("table")
    if frozen:
        resumed_at = time.time()
        for name in frozen:
            fleet.signal(name, signal.SIGCONT)
        time.sleep(RESUME_WAIT_S)
        _print_row(
            "the frozen, once they run", fleet, frozen, operator.revision, resumed_at
        )
    time.sleep(CASE_PAUSE_S)


def _print_row(
    case: str, fleet: Fleet, names: list[str], revision: int, started_at: float
) -> None:
    times = sorted(fleet.applied_at(name, revision) - started_at for name in names)
    marks = [
        times[max(0, int(np.ceil(len(times) * quantile)) - 1)]
        for quantile in (0.5, 0.99, 1.0)
    ]
    cells = " | ".join(f"{max(0.0, mark):.2f} s" for mark in marks)
    print(f"| {case} | {cells} | {len(times)} |", flush=True)


def _wait_for_revision(fleet: Fleet, revision: int) -> None:
    deadline = time.monotonic() + CONFIG_TIMEOUT_S
    pending = fleet.daemons
    while pending and time.monotonic() < deadline:
        time.sleep(0.5)
        pending = [n for n in pending if fleet.applied_at(n, revision) == float("inf")]
    if pending:
        raise TimeoutError(
            f"configuration not applied by {pending}: {fleet.log(pending[0])[-1500:]}"
        )


def _measure_idle(fleet: Fleet) -> None:
    time.sleep(5.0)
    processes = {
        n: psutil.Process(fleet.processes[n].process.pid) for n in fleet.daemons
    }
    cpu_before = {n: sum(p.cpu_times()[:2]) for n, p in processes.items()}
    before, began = _traffic(fleet), time.monotonic()
    time.sleep(IDLE_S.value)
    after, elapsed_s = _traffic(fleet), time.monotonic() - began
    print(
        "| idle | CPU ms/s | memory MB | sent to processes B/s |"
        " received from processes B/s | sent to platform B/s |"
        " received from platform B/s |"
    )
    print("|" + "---|" * 7)
    for role in ("entry", "agent"):
        names = [n for n in fleet.daemons if n.startswith(role)]
        rows = []
        for name in names:
            process = processes[name]
            cpu_ms_per_s = (
                (sum(process.cpu_times()[:2]) - cpu_before[name]) * 1000.0 / elapsed_s
            )
            bytes_per_s = (after[process.pid] - before[process.pid]) / elapsed_s
            rows.append([cpu_ms_per_s, process.memory_info().rss / 1e6, *bytes_per_s])
        medians, maxima = np.median(rows, axis=0), np.max(rows, axis=0)
        pairs = zip(medians, maxima, strict=True)
        cells = " | ".join(
            f"{median:.1f}, most {maximum:.1f}" for median, maximum in pairs
        )
        print(f"| {role} | {cells} |", flush=True)


def _traffic(fleet: Fleet) -> dict[int, np.ndarray]:
    """Return the traffic of each process by process id, in bytes.

    The columns are sent to and received from processes, then sent to and received
    from the platform.
    """
    platform = {str(fleet.ports[n]) for n in ("table", "objects", "instances")}
    bytes_by_pid: dict[int, np.ndarray] = defaultdict(lambda: np.zeros(4))
    text = subprocess.run(
        ["ss", "-tinHOp"], capture_output=True, text=True, check=True
    ).stdout
    for line in text.splitlines():
        match = SOCKET_LINE.search(line)
        if match is None:
            continue
        _, peer, pid = match.groups()
        byte_counts = dict(BYTE_COUNT.findall(line))
        column = 2 if peer in platform else 0
        counts = (int(byte_counts.get("sent", 0)), int(byte_counts.get("received", 0)))
        bytes_by_pid[int(pid)][column : column + 2] += counts
    return bytes_by_pid


def _waves(items: list[dict]) -> list[list[dict]]:
    return [items[n : n + WAVE.value] for n in range(0, len(items), WAVE.value)]


def _make_plan() -> dict:
    entries = [
        {"name": f"entry-{n}", "failure_domain": f"domain-{n % DOMAINS.value}"}
        for n in range(ENTRIES.value)
    ]
    services = [
        {
            "name": f"service-{n}",
            "service": "desk",
            "at": "service",
            "failure_domain": f"domain-{n % DOMAINS.value}",
        }
        for n in range(AGENTS.value)
    ]
    return {
        "region": "bench",
        "entries": entries,
        "runners": [],
        "services": services,
        "step_ms": 1.0,
        "instance_lag_s": 0.1,
        "entry_settings": {},
        "drain_grace_s": 1.0,
        "config_interval_s": 2.0,
        "instances_interval_s": 2.0,
    }


if __name__ == "__main__":
    app.run(main)

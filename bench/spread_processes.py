"""How a change of configuration spreads over real processes on loopback.

``python -m bench.spread_processes`` starts entries and agents in waves, and prints
the seconds from a change's acceptance until 50, 99 and 100 % of the processes have
it in force by their logs: with all well, with the table down right after it, and
with a third of the entries frozen; and what an idle process sends, receives and
computes.
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

START_S = 60.0
SETTLE_S = 20.0
WAIT_S = 6.0
FROZEN_WAIT_S = 14.0
THAW_S = 8.0
PAUSE_S = 1.0
MAX_MEMORY_SHARE = 0.45
SOCKET = re.compile(r":(\d+)\s+\S+:(\d+)\s+users:.*?pid=(\d+)")
COUNTED = re.compile(r"bytes_(sent|received):(\d+)")


class Fleet(System):
    """A system with many entries and agents, all agents beside one service."""

    def _start_upstreams(self) -> None:
        self._start_standin("service", "standins.service", "--name=service")

    def _start_entries(self) -> None:
        return

    def _wait_for_processes(self) -> None:
        super()._wait_for_processes()
        for wave in _waves(self.plan["entries"]):
            self._wave(wave, self.start_entry, "")
        for wave in _waves(self.plan["services"]):
            self._wave(wave, self.start_agent, "agent-")

    def _wave(self, wave: list[dict], start: object, prefix: str) -> None:
        for item in wave:
            start(item)
        limit = time.monotonic() + START_S
        for item in wave:
            self.wait_listening(self.processes[prefix + item["name"]], limit)
        if psutil.virtual_memory().percent > 100 * MAX_MEMORY_SHARE:
            raise MemoryError("the processes would take half of the memory")

    @property
    def daemons(self) -> list[str]:
        """Names of the entries and agents."""
        items = self.plan["services"]
        names = [item["name"] for item in self.plan["entries"]]
        return names + [f"agent-{item['name']}" for item in items]

    def in_force(self, name: str, revision: int) -> float:
        """Return when a process had a revision in force, in seconds of the epoch."""
        for line in self.log(name).splitlines():
            if '"configuration ' in line and f'"revision":{revision}' in line:
                item = orjson.loads(line)
                if item["revision"] == revision:
                    return datetime.fromisoformat(item["timestamp"]).timestamp()
        return float("inf")


def main(argv: list[str]) -> None:
    """Run all cases and print the tables."""
    load = psutil.getloadavg()[0]
    print(f"load average {load:.1f} on {psutil.cpu_count()} cores")
    began = time.monotonic()
    with Fleet(_plan()) as fleet:
        print(f"{len(fleet.daemons)} processes after {time.monotonic() - began:.0f} s")
        operator = _Operator(fleet)
        operator.change()
        _settle(fleet, operator.revision)
        _idle(fleet)
        print(
            "| case | to 50 % | to 99 % | to 100 % | processes |\n" + "|---" * 5 + "|"
        )
        frozen = [item["name"] for item in fleet.plan["entries"][1::3]]
        for case in CASES.value:
            for _ in range(RUNS.value):
                if case == "well":
                    _case(fleet, operator, "all well")
                elif case == "table":
                    _case(fleet, operator, "table down right after", table=False)
                else:
                    part = "a third of the entries frozen"
                    _case(fleet, operator, part, frozen=frozen)


class _Operator:
    """Change the configuration at the first entry."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.revision = 0

    def change(self) -> float:
        """Make a change; return when it was accepted, in seconds of the epoch."""
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
            raise RuntimeError(f"the change was refused: {answer}")
        self.revision = answer["revision"]
        return time.time()


def _case(
    fleet: Fleet,
    operator: _Operator,
    case: str,
    *,
    table: bool = True,
    frozen: list[str] | tuple = (),
) -> None:
    for name in frozen:
        fleet.signal(name, signal.SIGSTOP)
    accepted = operator.change()
    if not table:
        fleet.set_faults("table", down=1)
    time.sleep(FROZEN_WAIT_S if frozen else WAIT_S)
    running = [name for name in fleet.daemons if name not in frozen]
    _print(case, fleet, running, operator.revision, accepted)
    if not table:
        fleet.set_faults("table")
    if frozen:
        thawed = time.time()
        for name in frozen:
            fleet.signal(name, signal.SIGCONT)
        time.sleep(THAW_S)
        _print("the frozen, once they run", fleet, frozen, operator.revision, thawed)
    time.sleep(PAUSE_S)


def _print(
    case: str, fleet: Fleet, names: list[str], revision: int, since: float
) -> None:
    times = sorted(fleet.in_force(name, revision) - since for name in names)
    marks = [times[max(0, int(np.ceil(len(times) * q)) - 1)] for q in (0.5, 0.99, 1.0)]
    cells = " | ".join(f"{max(0.0, mark):.2f} s" for mark in marks)
    print(f"| {case} | {cells} | {len(times)} |", flush=True)


def _settle(fleet: Fleet, revision: int) -> None:
    limit = time.monotonic() + SETTLE_S
    late = fleet.daemons
    while late and time.monotonic() < limit:
        time.sleep(0.5)
        late = [n for n in late if fleet.in_force(n, revision) == float("inf")]
    if late:
        raise TimeoutError(f"no configuration at {late}: {fleet.log(late[0])[-1500:]}")


def _idle(fleet: Fleet) -> None:
    time.sleep(5.0)
    process = {n: psutil.Process(fleet.processes[n].process.pid) for n in fleet.daemons}
    cpu = {n: sum(p.cpu_times()[:2]) for n, p in process.items()}
    before, began = _traffic(fleet), time.monotonic()
    time.sleep(IDLE_S.value)
    after, passed_s = _traffic(fleet), time.monotonic() - began
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
            item = process[name]
            spent = (sum(item.cpu_times()[:2]) - cpu[name]) * 1000.0 / passed_s
            moved = (after[item.pid] - before[item.pid]) / passed_s
            rows.append([spent, item.memory_info().rss / 1e6, *moved])
        middle, most = np.median(rows, axis=0), np.max(rows, axis=0)
        pairs = zip(middle, most, strict=True)
        cells = " | ".join(f"{mid:.1f}, most {high:.1f}" for mid, high in pairs)
        print(f"| {role} | {cells} |", flush=True)


def _traffic(fleet: Fleet) -> dict[int, np.ndarray]:
    """Return bytes of each process: to and from processes, and the platform."""
    platform = {str(fleet.ports[n]) for n in ("table", "objects", "instances")}
    found: dict[int, np.ndarray] = defaultdict(lambda: np.zeros(4))
    text = subprocess.run(
        ["ss", "-tinHOp"], capture_output=True, text=True, check=True
    ).stdout
    for line in text.splitlines():
        match = SOCKET.search(line)
        if match is None:
            continue
        _, peer, pid = match.groups()
        counted = dict(COUNTED.findall(line))
        first = 2 if peer in platform else 0
        moved = (int(counted.get("sent", 0)), int(counted.get("received", 0)))
        found[int(pid)][first : first + 2] += moved
    return found


def _waves(items: list[dict]) -> list[list[dict]]:
    return [items[n : n + WAVE.value] for n in range(0, len(items), WAVE.value)]


def _plan() -> dict:
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

"""The system under test as separate processes, and stand-ins of its surroundings."""

import contextlib
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import orjson
from gevent import subprocess

from review.template import render
from standins.row_store import RowStore

REPOSITORY = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
ZONES = ("auckland", "wellington", "christchurch")
# As on the sheet of kettlewell-rail.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtraRetries": 88,
    "recoverS": 12,
    "passMs": 120,
}
LINK_MBPS = {"gateway": 1000.0, "rank-agent": 10.0}
COULD_NOT_RUN = 2
# Below those that the kernel gives to connections, which could take one meanwhile.
PORTS = range(20_000, 32_000)
_given: set[int] = set()


class Record:
    """Write what was sent, answered and run to the record of a case.

    Parameters
    ----------
    path : Path
        The file to write.
    """

    def __init__(self, path: Path) -> None:
        self._out = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._out.write(f"{self.now():8.3f} {text}\n")
        self._out.flush()


class Machine:
    """Run one program of the deploy file.

    Parameters
    ----------
    name : str
        Name of the machine.
    role : str
        Role in the deploy file.
    folder : Path
        Folder for its settings and log.
    fields : dict
        The platform's fields; those that all machines share are added.
    """

    def __init__(
        self, name: str, role: str, folder: Path, fields: dict[str, Any]
    ) -> None:
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        section = deploy["roles"][role]
        self.name = name
        self.fields = fields | {
            "nodeName": name,
            "role": role,
            "region": "aotearoa",
            "zones": dict.fromkeys(ZONES, "aotearoa"),
            "ip": HOST,
            "bounds": BOUNDS,
            "limits": {"linkMbps": LINK_MBPS[role]},
        }
        self._command = shlex.split(section["run"])
        self._settings = folder / f"{name}.yaml"
        template = (REPOSITORY / section["template"]).read_text()
        self._settings.write_text(render(template, self.fields))
        self.log = folder / f"{name}.log"
        self._child: subprocess.Popen | None = None

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start the process."""
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env = kept | {
            "PYTHONPATH": "target/deps",
            "TOUCANSPOOL_SETTINGS": str(self._settings),
        }
        with self.log.open("ab") as out:
            self._child = subprocess.Popen(
                self._command, cwd=REPOSITORY, env=env, stdout=out, stderr=out
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.running:
            self._child.send_signal(number)

    def end(self) -> None:
        """Kill the process."""
        if self.running:
            self._child.send_signal(signal.SIGCONT)
            self._child.kill()
            self._child.wait()


class Site:
    """Hold the machines and the platform's store; a context manager.

    Attributes
    ----------
    folder : Path
        Folder for settings and logs.
    store : RowStorePages
        The platform's store.
    machines : list of Machine
        All machines.
    """

    def __init__(self) -> None:
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._store = RowStore()
        self.store = self._store.pages
        self.machines: list[Machine] = []
        self._config_version = 0

    def __enter__(self) -> "Site":
        self._store.__enter__()
        # Also where the time limit of `run.sh` ends the case.
        gevent.signal_handler(signal.SIGTERM, self._abort)
        return self

    def __exit__(self, *exc: object) -> None:
        for machine in self.machines:
            machine.end()
        self._store.__exit__(*exc)
        self._temporary.cleanup()

    def _abort(self) -> None:
        for machine in self.machines:
            machine.end()
        self._temporary.cleanup()
        os._exit(COULD_NOT_RUN)

    @property
    def store_address(self) -> str:
        """Return the address of the store."""
        return f"{HOST}:{self._store.port}"

    def add_gateway(self, name: str, zone: str) -> Machine:
        """Add an edge machine; it is not started."""
        ports = [free_port() for _ in range(4)]
        listen = {
            "frontend": f"{HOST}:{ports[0]}",
            "ready": f"{HOST}:{ports[1]}",
            "directoryService": f"{HOST}:{ports[2]}",
        }
        fields = {"zone": zone, "listen": listen, "internalPorts": [ports[3]]}
        return self._add(name, "gateway", fields)

    def add_rank_agent(self, name: str, zone: str, app: str, service: str) -> Machine:
        """Add a side machine beside the runner at `app`; it is not started."""
        fields = {
            "zone": zone,
            "app": app,
            "service": service,
            "internalPorts": [free_port()],
        }
        return self._add(name, "rank-agent", fields)

    def _add(self, name: str, role: str, fields: dict[str, Any]) -> Machine:
        platform = {"platform": {"address": self.store_address}}
        machine = Machine(name, role, self.folder, fields | platform)
        self.machines.append(machine)
        return machine

    def configure(self, config: dict[str, Any]) -> None:
        """Write a configuration as the operator does."""
        self._config_version += 3
        value = orjson.dumps(config | {"version": self._config_version})
        self.store.put("op", "config", value)

    def list_runner(self, name: str, fields: dict[str, Any]) -> None:
        """Write a runner's entry, as the runner does."""
        entry = {"zone": ZONES[0], "version": "1", "slots": 6, "state": "ready"}
        entry |= {"coldRemainingMs": 0, "sequence": 0} | fields
        self.store.put("servers", name, orjson.dumps(entry))


def run_case(main: Callable[[], int]) -> None:
    """Run a case and exit with its status, or 2 if it ends with an error."""
    try:
        status = main()
    except Exception:
        traceback.print_exc()
        status = COULD_NOT_RUN
    sys.exit(status)


def free_port() -> int:
    """Return a loopback port that is free now, and that no connection is given."""
    while True:
        port = random.choice(PORTS)
        if port in _given:
            continue
        _given.add(port)
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((HOST, port))
            return port


def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait for a condition; return whether it held in time."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            return False
        gevent.sleep(0.05)
    return True


def page(address: str, target: str) -> tuple[int, bytes]:
    """Return status and body of a page; status 0 if there is no answer."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=1.0) as sock:
            ask = f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            sock.sendall(ask.encode())
            data = b""
            while block := sock.recv(65536):
                data += block
    except OSError:
        return 0, b""
    head, _, body = data.partition(b"\r\n\r\n")
    return (int(head.split()[1]) if head else 0), body


def gateway_ready(machine: Machine) -> bool:
    """Return whether a gateway says that it is ready."""
    return page(machine.fields["listen"]["ready"], "/readyz")[0] == 200

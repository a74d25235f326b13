"""Start and stop the processes of a small system on loopback."""

import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
import yaml
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from toucanspool.config.view import key_hash

HOST = "127.0.0.1"
FIRST_PORT = 12_000
PORTS_PER_PART = 2_400
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0


class DemoFailed(Exception):
    """Report a demo step that failed, or a system that did not start."""


@dataclass(slots=True)
class ManagedProcess:
    """Hold one process of the system.

    Parameters
    ----------
    name : str
        Name of the process in the plan.
    process : subprocess.Popen
        The operating system's process.
    port : int
        Main port: HTTP of an entry or stand-in, messages of an agent.
    log : Path
        File that receives stdout and stderr.
    """

    name: str
    process: subprocess.Popen
    port: int
    log: Path


@dataclass(slots=True)
class Keys:
    """Hold the generated keys of operators and teams."""

    bootstrap: str = field(default_factory=lambda: secrets.token_urlsafe(24))
    operators: dict[str, str] = field(default_factory=dict)
    teams: dict[str, str] = field(default_factory=dict)


class PortAllocator:
    """Hand out free loopback ports, each one once.

    The range lies below the ephemeral ports of the operating system: an outgoing
    connection could otherwise occupy a port before its process listens.

    Parameters
    ----------
    part : int, default=0
        Part of the port range, from 0 to 7; systems that run at the same time use
        different parts.
    """

    def __init__(self, *, part: int = 0) -> None:
        first = FIRST_PORT + part * PORTS_PER_PART
        ports = list(range(first, first + PORTS_PER_PART))
        start = random.randrange(PORTS_PER_PART)
        self._ports = iter(ports[start:] + ports[:start])

    def next(self) -> int:
        """Return the next port that is free now.

        Returns
        -------
        int
        """
        for port in self._ports:
            with socket.socket() as sock:
                try:
                    sock.bind((HOST, port))
                except OSError:
                    continue
                return port
        raise DemoFailed("no free port in the range")


def call(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    *,
    key: str = "",
    headers: dict[str, str] | None = None,
    timeout_s: float = 20.0,
) -> tuple[int, Any, dict[str, str]]:
    """Make a JSON call on loopback.

    Parameters
    ----------
    port : int
        Port of the server.
    method : str
        HTTP method.
    path : str
        Path and query of the URL.
    body : Any, optional
        Sent as JSON; bytes are sent as they are.
    key : str, default=""
        Sent as bearer token if not empty.
    headers : dict, optional
        Additional request headers.
    timeout_s : float, default=20.0
        Limit on connecting and on each read, in seconds.

    Returns
    -------
    status : int
    body : Any
        Decoded JSON, or bytes.
    headers : dict

    Raises
    ------
    OSError
        The connection failed or the answer was incomplete.
    """
    request_headers = {"content-type": "application/json", **(headers or {})}
    if key:
        request_headers["authorization"] = f"Bearer {key}"
    client = HTTPClient(
        HOST, port, connection_timeout=timeout_s, network_timeout=timeout_s
    )
    data = body if isinstance(body, bytes) else orjson.dumps(body)
    if body is None:
        data = b""
    try:
        resp = client.request(method, path, body=data, headers=request_headers)
        raw = resp.read()
    except HTTPParseError as exc:
        raise ConnectionResetError(str(exc)) from exc
    finally:
        client.close()
    response_headers = {name.lower(): value for name, value in resp.items()}
    if raw and "json" in response_headers.get("content-type", ""):
        return resp.status_code, orjson.loads(raw), response_headers
    return resp.status_code, raw, response_headers


class System:
    """Own the processes of a small system; a context manager.

    Parameters
    ----------
    plan : dict
        Topology and settings, as in ``demo/kettlewell.yaml``.
    logs : str, default=""
        Folder for settings and logs; empty for a temporary folder.
    part : int, default=0
        See `PortAllocator`.
    """

    def __init__(self, plan: dict[str, Any], *, logs: str = "", part: int = 0) -> None:
        self._port_allocator = PortAllocator(part=part)
        self.plan = plan
        self._logs_dir = logs
        self.keys = Keys()
        self.processes: dict[str, ManagedProcess] = {}
        self.ports: dict[str, int] = {}
        self._cleanup = ExitStack()
        self._dir = Path()

    def __enter__(self) -> "System":
        with ExitStack() as stack:
            temp_dir = stack.enter_context(tempfile.TemporaryDirectory())
            self._dir = Path(self._logs_dir or temp_dir)
            self._dir.mkdir(parents=True, exist_ok=True)
            stack.callback(self._kill_all)
            self._start_platform()
            self._start_upstreams()
            self._start_groups()
            self._start_entries()
            self._wait_for_processes()
            self._list_instances()
            self._cleanup = stack.pop_all()
        return self

    def __exit__(self, *exc: object) -> None:
        self._cleanup.close()

    def log(self, name: str) -> str:
        """Return the output of a process.

        Parameters
        ----------
        name : str
            Name of the process.

        Returns
        -------
        str
        """
        return self.processes[name].log.read_text(errors="replace")

    def set_faults(self, name: str, **faults: float) -> None:
        """Set a stand-in's faults, replacing the active ones.

        Parameters
        ----------
        name : str
            Name of the stand-in.
        **faults : float
            Attributes of `standins.faults.Faults`.
        """
        call(self.ports[name], "PUT", "/faults", faults)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of this system.

        Parameters
        ----------
        name : str
            Name of the process.
        number : int
            Number of the signal.
        """
        self.processes[name].process.send_signal(number)

    def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for a process to exit and return its status.

        Parameters
        ----------
        name : str
            Name of the process.
        timeout_s : float
            Limit on the wait, in seconds.

        Returns
        -------
        int
        """
        return self.processes[name].process.wait(timeout_s)

    def list_instance(self, name: str, state: str = "live") -> None:
        """Add an instance to the platform's list, or update its state.

        Parameters
        ----------
        name : str
            An entry or upstream of the plan.
        state : {"live", "leaving"}
            State of the instance.
        """
        fields = self._instance_record(name, state)
        call(self.ports["instances"], "PUT", f"/instances/{name}", fields)

    def unlist_instance(self, name: str) -> None:
        """Remove an instance from the platform's list.

        Parameters
        ----------
        name : str
            An entry or upstream of the plan.
        """
        call(self.ports["instances"], "DELETE", f"/instances/{name}")

    def start_agent(self, item: dict[str, Any]) -> None:
        """Start, or restart, the agent of an upstream.

        Parameters
        ----------
        item : dict
            The upstream's entry in the plan.
        """
        name = f"agent-{item['name']}"
        kind = "engine" if "model" in item else "service"
        if "ranks" in item:
            kind = "ranks"
        agent = {
            "upstream": item["name"],
            "address": {"host": HOST, "port": self.ports[item.get("at", item["name"])]},
            "kind": kind,
            "guarded": bool(item.get("guarded")),
        }
        for key in ("model", "service", "ranks"):
            if key in item:
                agent[key] = item[key]
        self._start_daemon(name, "agent", item["failure_domain"], {"agent": agent})

    def start_entry(self, item: dict[str, Any]) -> None:
        """Start, or restart, an entry.

        Parameters
        ----------
        item : dict
            The entry in the plan.
        """
        port = self.ports.setdefault(
            f"{item['name']}/http", self._port_allocator.next()
        )
        settings = self.plan.get("entry_settings", {})
        entry = {
            "bootstrap_operator_key_hash": key_hash(self.keys.bootstrap),
            **settings,
            "http": {"port": port, **settings.get("http", {})},
        }
        self._start_daemon(
            item["name"], "entry", item["failure_domain"], {"entry": entry}
        )

    def _start_platform(self) -> None:
        lag = self.plan["instance_lag_s"]
        self._start_standin("table", "standins.table")
        self._start_standin("objects", "standins.objects")
        self._start_standin("instances", "standins.instances", f"--lag_s={lag}")

    def _start_upstreams(self) -> None:
        step = self.plan["step_ms"]
        for item in self.plan["runners"]:
            self._start_standin(
                item["name"],
                "standins.engine",
                f"--model={item['model']}",
                f"--step_ms={step}",
                f"--fenced={str(item.get('fenced', True)).lower()}",
            )
            self.start_agent(item)
        for item in self.plan["services"]:
            self._start_standin(
                item["name"], "standins.service", f"--name={item['name']}"
            )
            self.start_agent(item)

    def _start_groups(self) -> None:
        if self.plan.get("groups"):
            self._start_standin("weights", "standins.weights")
        for item in self.plan.get("groups", ()):
            self._start_standin(
                item["name"],
                "standins.lockstep",
                f"--ranks={item['ranks']}",
                f"--weights={self.ports['weights']}",
            )
        for item in self.plan.get("rank_agents", ()):
            self.start_agent(item)

    def _start_entries(self) -> None:
        for item in self.plan["entries"]:
            self.start_entry(item)

    def _start_standin(self, name: str, module: str, *args: str) -> None:
        port = self.ports.setdefault(name, self._port_allocator.next())
        self._start(name, [sys.executable, "-m", module, f"--port={port}", *args], port)

    def _start_daemon(
        self, name: str, role: str, domain: str, section: dict[str, Any]
    ) -> None:
        port = self.ports.setdefault(name, self._port_allocator.next())
        settings = {
            "instance": name,
            "role": role,
            "failure_domain": domain,
            "region": self.plan["region"],
            "host": HOST,
            "port": port,
            "platform": {
                part: {"host": HOST, "port": self.ports[part]}
                for part in ("table", "objects", "instances")
            },
            "drain": {"grace_s": self.plan["drain_grace_s"]},
            "config_interval_s": self.plan["config_interval_s"],
            "instances_interval_s": self.plan["instances_interval_s"],
            **section,
        }
        path = self._dir / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        command = [sys.executable, "-m", "toucanspool.daemon", f"--settings={path}"]
        self._start(name, command, self.ports.get(f"{name}/http", port))

    def _start(self, name: str, command: list[str], port: int) -> None:
        log = self._dir / f"{name}.log"
        with log.open("ab") as out:
            process = subprocess.Popen(
                command, stdout=out, stderr=out, stdin=subprocess.DEVNULL
            )
        self.processes[name] = ManagedProcess(name, process, port, log)

    def _wait_for_processes(self) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        for proc in self.processes.values():
            self.wait_listening(proc, deadline)

    def wait_listening(self, proc: ManagedProcess, deadline: float) -> None:
        """Wait until a process accepts connections.

        Parameters
        ----------
        proc : ManagedProcess
            The process.
        deadline : float
            Time by which it must listen, on the monotonic clock.

        Raises
        ------
        DemoFailed
            It exited, or does not listen in time.
        """
        while time.monotonic() < deadline and proc.process.poll() is None:
            try:
                socket.create_connection((HOST, proc.port), timeout=1.0).close()
                return
            except OSError:
                time.sleep(0.05)
        raise DemoFailed(f"{proc.name} did not start: {self.log(proc.name)[-2000:]}")

    def _list_instances(self) -> None:
        for kind in ("entries", "runners", "services", "rank_agents"):
            for item in self.plan.get(kind, ()):
                self.list_instance(item["name"])

    def _instance_record(self, name: str, state: str) -> dict[str, Any]:
        for item in self.plan["entries"]:
            if item["name"] == name:
                return self._record_fields(item, name, "entry", state, {})
        upstreams = (
            *self.plan["runners"],
            *self.plan["services"],
            *self.plan.get("rank_agents", ()),
        )
        for item in upstreams:
            if item["name"] == name:
                labels = {"failure-domain": item["failure_domain"]}
                for key in ("model", "service"):
                    if key in item:
                        labels[key] = item[key]
                if item.get("guarded"):
                    labels["guarded"] = "yes"
                if "ranks" in item:
                    labels["group"] = item["ranks"]["group"]
                    labels["ranks"] = ",".join(map(str, item["ranks"]["ranks"]))
                return self._record_fields(
                    item, f"agent-{name}", "agent", state, labels
                )
        raise DemoFailed(f"{name} is not in the plan")

    def _record_fields(
        self,
        item: dict[str, Any],
        name: str,
        role: str,
        state: str,
        labels: dict[str, str],
    ) -> dict[str, Any]:
        return {
            "name": name,
            "role": role,
            "failure_domain": item["failure_domain"],
            "region": self.plan["region"],
            "host": HOST,
            "port": self.ports[name],
            "http_port": self.ports.get(f"{name}/http", 0),
            "upstream": item["name"] if role == "agent" else "",
            "state": state,
            "labels": labels,
        }

    def _kill_all(self) -> None:
        for proc in self.processes.values():
            if proc.process.poll() is None:
                os.kill(proc.process.pid, signal.SIGCONT)
                proc.process.kill()
        for proc in self.processes.values():
            proc.process.wait()

"""A process of the system under test."""

import signal
import sys
import time
from contextlib import suppress
from pathlib import Path

import yaml
from gevent import subprocess

from soak.proxy import Proxy

# Time that a process has for a graceful stop.
GRACE_S = 4.0
EVACUATE_MS = 5000


class Process:
    """Run a process of the system and the proxy between it and the store.

    Parameters
    ----------
    settings : dict
        Settings of the process; the address of the store is added.
    folder : Path
        Folder for settings and log.
    store_port : int
        Loopback port of the store.
    switched_off : str
        The guarantee whose mechanism is switched off; empty for none.

    Attributes
    ----------
    starts : int
        Number of times that the process was started.
    started_at : float
        When it was started last, in seconds on the monotonic clock.
    disturbed_at : float
        Time of the last signal, or of the end of the last fault of its link to the
        store, in seconds on the monotonic clock.
    link_faults : int
        Faults of that link now.
    """

    def __init__(
        self, settings: dict, folder: Path, store_port: int, *, switched_off: str
    ) -> None:
        module_args = ["soak.switched_off", f"--off={switched_off}"]
        self._module_args = module_args if switched_off else ["toucanspool.daemon"]
        self.name = settings["instance"]
        self.proxy = Proxy(store_port)
        section = settings[settings["role"]]
        address = f"127.0.0.1:{self.proxy.port}"
        section["store"] = {"address": address, "drain_ms": 600}
        section["store"]["evacuate_ms"] = EVACUATE_MS
        self.log = folder / f"{self.name}.log"
        self._path = folder / f"{self.name}.yaml"
        self._path.write_text(yaml.safe_dump(settings))
        self._child: subprocess.Popen | None = None
        self._paused = False
        self.started_at = 0.0
        self.disturbed_at = 0.0
        self.link_faults = 0
        self.starts = 0

    def undisturbed_s(self) -> float:
        """Return for how long the process and its link to the store were left alone."""
        if self._paused or self.link_faults:
            return 0.0
        return time.monotonic() - self.disturbed_at

    def start(self) -> None:
        """Start the process unless it runs, as when two faults overlap."""
        if self._child is not None and self._child.poll() is None:
            return
        self.starts += 1
        self.started_at = self.disturbed_at = time.monotonic()
        with self.log.open("ab") as out:
            self._child = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    *self._module_args,
                    f"--settings={self._path}",
                ],
                stdout=out,
                stderr=out,
            )

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self._child is not None and self._child.poll() is None:
            self.disturbed_at = time.monotonic()
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self._paused = number == signal.SIGSTOP
            self._child.send_signal(number)

    def wait(self, timeout_s: float) -> None:
        """Resume the process, wait for it to exit, and kill it after the timeout."""
        if self._child is None:
            return
        self.signal(signal.SIGCONT)
        with suppress(subprocess.TimeoutExpired):
            self._child.wait(timeout=timeout_s)
        if self._child.poll() is None:
            self._child.kill()
            self._child.wait()

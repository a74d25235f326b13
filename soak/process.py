"""One process of the system under soak."""

import signal
import sys
from contextlib import suppress
from pathlib import Path

import yaml
from gevent import subprocess

from soak.proxy import Proxy

# A process has this long to stop, in seconds.
GRACE_S = 4.0


class Process:
    """Hold one process of the system and its link to the store.

    Parameters
    ----------
    settings : dict
        Its settings, with a place for the store's address.
    folder : Path
        Where settings and log are.
    store_port : int
        The store's port.
    off : str
        The promise whose mechanism is switched off; empty for none.
    """

    def __init__(
        self, settings: dict, folder: Path, store_port: int, *, off: str
    ) -> None:
        program = ["soak.switched_off", f"--off={off}"]
        self._program = program if off else ["toucanspool.daemon"]
        self.name = settings["instance"]
        self.link = Proxy(store_port)
        section = settings[settings["role"]]
        address = f"127.0.0.1:{self.link.port}"
        section["store"] = {"address": address, "drain_ms": 600}
        self.log = folder / f"{self.name}.log"
        self._path = folder / f"{self.name}.yaml"
        self._path.write_text(yaml.safe_dump(settings))
        self._child: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it."""
        with self.log.open("ab") as out:
            self._child = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    *self._program,
                    f"--settings={self._path}",
                ],
                stdout=out,
                stderr=out,
            )

    def signal(self, number: int) -> None:
        """Send a signal if it runs."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    def wait(self, timeout_s: float) -> None:
        """Wait for its end, and end it where it takes longer."""
        if self._child is None:
            return
        self.signal(signal.SIGCONT)
        with suppress(subprocess.TimeoutExpired):
            self._child.wait(timeout=timeout_s)
        if self._child.poll() is None:
            self._child.kill()
            self._child.wait()

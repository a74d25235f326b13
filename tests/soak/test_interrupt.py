"""An interrupted soak leaves no process behind."""

import os
import signal
import subprocess
import sys
import time

import psutil
import pytest

PART = 1 + int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % 7
PROCESSES = 6


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_soak_stops_its_processes(number):
    command = [sys.executable, "-m", "soak", "--seconds=30", f"--part={PART}"]
    soak = subprocess.Popen(command, stdout=subprocess.DEVNULL)
    started = []
    deadline = time.monotonic() + 20.0
    while len(started) < PROCESSES and time.monotonic() < deadline:
        time.sleep(0.1)
        started = psutil.Process(soak.pid).children()
    soak.send_signal(number)
    assert soak.wait(timeout=20.0) != 0
    _, alive = psutil.wait_procs(started, timeout=5.0)
    for process in alive:
        process.kill()
    assert len(started) == PROCESSES
    assert not alive

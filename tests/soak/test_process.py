"""Faults that overlap leave no process behind."""

import signal

from soak.process import Process


def test_a_process_that_runs_is_not_started_again(tmp_path):
    cfg = {"instance": "e1", "role": "gateway", "gateway": {}}
    process = Process(cfg, tmp_path, 1, switched_off="")
    process.start()
    child = process._child
    process.start()
    assert process._child is child
    assert process.starts == 1
    process.signal(signal.SIGKILL)
    process.wait(1.0)
    process.start()
    assert process._child is not child
    process.wait(0.1)

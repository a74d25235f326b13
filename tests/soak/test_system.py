"""A closed soak system runs no fault any more.

A fault that restarts a process after the end would leave that process running.
"""

import gevent

from soak import system as soak_system
from soak.system import SoakSystem


def test_no_fault_goes_on_once_the_system_is_closed(monkeypatch):
    done = []

    def late(system: SoakSystem) -> None:
        gevent.sleep(0.5)
        done.append(system)

    monkeypatch.setattr(soak_system, "FAULTS", {"late": late})
    with SoakSystem(1) as system:
        system._inject_fault()
        gevent.sleep(0.01)
    gevent.sleep(1.0)
    assert done == []

"""Map switches of a rank group while processes, ranks or the table fail.

Guards against a step in which ranks use different expert maps, and against a switch
that never completes.
"""

import copy
import signal
import time
from collections.abc import Iterator

import pytest

from demo.caller import Caller
from demo.launcher import System, call
from tests.processes.conftest import PART, PLAN, RECORDS

GROUP = {
    "groups": [{"name": "experts", "ranks": 4}],
    "rank_agents": [
        {
            "name": f"experts-{name}",
            "at": "experts",
            "failure_domain": "one",
            "ranks": {"group": "experts", "ranks": ranks},
        }
        for name, ranks in (("a", [0, 1]), ("b", [2, 3]))
    ],
}
SETTINGS = {
    "name": "experts",
    "ranks": 4,
    "layers": 2,
    "experts": 16,
    "slots": 6,
    "lease_ttl_s": 2.0,
}
WAIT_TIMEOUT_S = 40.0


@pytest.fixture
def group() -> Iterator[Caller]:
    """Yield a caller of a system whose lock-step group has its first map."""
    plan = {**copy.deepcopy(PLAN), **GROUP}
    plan["entry_settings"]["groups"] = [SETTINGS]
    with System(plan, part=PART) as system:
        caller = Caller(system)
        caller.configure([dict(record) for record in RECORDS])
        _wait_until(
            caller,
            lambda: _map_versions(caller) and _entry_with_phase(caller, "resume"),
        )
        yield caller


def _steps(caller: Caller) -> list[dict]:
    return call(caller.system.ports["experts"], "GET", "/steps")[1]


def _map_versions(caller: Caller) -> set[int]:
    return {version for step in _steps(caller) for version in step["versions"]}


def _entry_with_phase(caller: Caller, name: str) -> str:
    """Return an entry that has logged a phase of a switch, or an empty string."""
    for entry in caller.entries:
        if f'"phase":"{name}"' in caller.system.log(entry):
            return entry
    return ""


def _wait_until(caller: Caller, condition) -> None:
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "condition was not met in time"
        time.sleep(0.05)


def _check_group_goes_on(caller: Caller) -> None:
    """Check that the group keeps stepping, reaches a later map and mixed no maps."""
    before = len(_steps(caller))
    maps = _map_versions(caller)
    _wait_until(caller, lambda: len(_steps(caller)) > before + 20)
    _wait_until(caller, lambda: _map_versions(caller) - maps or len(maps) > 1)
    assert not [step for step in _steps(caller) if len(set(step["versions"])) > 1]


def _elected_entry(caller: Caller) -> str:
    lines = [
        (line, entry)
        for entry in caller.entries
        for line in caller.system.log(entry).splitlines()
        if '"event":"elected"' in line and "group/experts" in line
    ]
    return max(lines, key=lambda item: item[0].split('"timestamp"')[1])[1]


def test_elected_entry_killed_in_a_switch(group):
    victim = _elected_entry(group)
    _wait_until(group, lambda: _logged_twice(group, victim, '"phase":"load"'))
    group.system.signal(victim, signal.SIGKILL)
    _check_group_goes_on(group)


def test_elected_entry_frozen_past_its_lease_in_a_switch(group):
    victim = _elected_entry(group)
    _wait_until(group, lambda: _logged_twice(group, victim, '"phase":"load"'))
    group.system.signal(victim, signal.SIGSTOP)
    _wait_until(group, lambda: _elected_entry(group) != victim)
    group.system.signal(victim, signal.SIGCONT)
    _check_group_goes_on(group)


def test_agent_of_ranks_replaced_in_a_switch(group):
    victim = _elected_entry(group)
    _wait_until(group, lambda: _logged_twice(group, victim, '"phase":"load"'))
    group.system.signal("agent-experts-a", signal.SIGKILL)
    group.system.wait("agent-experts-a")
    group.system.start_agent(group.system.plan["rank_agents"][0])
    _check_group_goes_on(group)


def test_table_down_in_a_switch(group):
    victim = _elected_entry(group)
    _wait_until(group, lambda: _logged_twice(group, victim, '"phase":"load"'))
    group.system.set_faults("table", down=1)
    time.sleep(4.0)
    group.system.set_faults("table")
    _check_group_goes_on(group)


@pytest.mark.parametrize("rank", [0, 3])
def test_rank_restarted_in_a_switch(group, rank):
    victim = _elected_entry(group)
    _wait_until(group, lambda: _logged_twice(group, victim, '"phase":"load"'))
    port = group.system.ports["experts"]
    assert call(port, "PUT", f"/ranks/{rank}/events/restart")[0] == 200
    _check_group_goes_on(group)


def _logged_twice(caller: Caller, name: str, text: str) -> bool:
    return caller.system.log(name).count(text) >= 2

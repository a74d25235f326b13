"""Configuration changes under outages, races and stopped processes.

Guards against an accepted change that is lost, reverted, applied twice or not active
on some process.
"""

import signal
import threading
import time

import pytest

from demo.caller import Caller
from demo.launcher import call

DRAIN = {"kind": "upstream", "name": "guide-1", "labels": {"state": "drain"}}
SERVE = {"kind": "upstream", "name": "guide-1", "labels": {"state": "serve"}}


def _revisions(caller: Caller) -> list[int]:
    indexes = range(len(caller.entries))
    states = [caller.admin("GET", "/admin/v1/status", index=i)[1] for i in indexes]
    return [state.get("revision", 0) for state in states]


def _wait_active(caller: Caller, revision: int) -> None:
    deadline = time.monotonic() + 10.0
    while set(_revisions(caller)) != {revision} and time.monotonic() < deadline:
        time.sleep(0.05)
    assert set(_revisions(caller)) == {revision}


def _send_streams(caller: Caller, count: int = 8) -> None:
    for number in range(count):
        messages = [{"role": "user", "content": f"Trip {number}?"}]
        assert "".join(caller.stream(number % 2, messages, "members", 2))


def test_change_spreads_by_peers_when_the_table_goes_down_after_it(caller):
    status, answer, _ = caller.change("drain", DRAIN, index=0)
    caller.system.set_faults("table", down=1)
    assert status == 200
    _wait_active(caller, answer["revision"])
    before = len(caller.seen("guide-1")["requests"])
    _send_streams(caller)
    assert len(caller.seen("guide-1")["requests"]) == before


def test_one_selector_evacuates_a_whole_failure_domain(caller):
    selector = {
        "kind": "selector",
        "name": "evacuated",
        "action": "drain",
        "order": 1,
        "upstreams": {"has": {"failure-domain": "one"}},
    }
    _, answer, _ = caller.change("evacuate", selector)
    _wait_active(caller, answer["revision"])
    before = [len(caller.seen(name)["requests"]) for name in ("guide-1", "guide-2")]
    _send_streams(caller)
    after = [len(caller.seen(name)["requests"]) for name in ("guide-1", "guide-2")]
    assert after[0] == before[0]
    assert after[1] > before[1]


def test_a_new_agent_learns_a_drain_from_peers_while_the_table_is_down(caller):
    _, answer, _ = caller.change("drain", DRAIN, index=0)
    _wait_active(caller, answer["revision"])
    caller.system.set_faults("table", down=1)
    caller.system.set_faults("objects", down=1)
    caller.system.signal("agent-guide-1", signal.SIGKILL)
    caller.system.wait("agent-guide-1")
    caller.system.start_agent(caller.system.plan["runners"][0])
    _wait_logged(caller, "agent-guide-1", '"state":"drain"')
    before = len(caller.seen("guide-1")["requests"])
    _send_streams(caller)
    assert len(caller.seen("guide-1")["requests"]) == before


def test_a_new_entry_gets_the_whole_configuration_from_peers(caller):
    revision = _revisions(caller)[0]
    caller.system.set_faults("table", down=1)
    caller.system.set_faults("objects", down=1)
    caller.system.signal("entry-2", signal.SIGKILL)
    caller.system.wait("entry-2")
    caller.system.start_entry(caller.system.plan["entries"][1])
    _wait_listening(caller, 1)
    _wait_active(caller, revision)


def test_an_entry_without_configuration_serves_nothing_and_says_so(caller):
    caller.system.set_faults("table", down=1)
    caller.system.set_faults("objects", down=1)
    for name in ("entry-1", "entry-2", *_agents(caller)):
        caller.system.signal(name, signal.SIGKILL)
        caller.system.wait(name)
    caller.system.start_entry(caller.system.plan["entries"][0])
    _wait_listening(caller, 0)
    assert call(caller.port(0), "GET", "/readyz")[0] == 503
    status, answer, _ = caller.book(0, "k1", "clerks")
    assert status == 503
    assert answer["type"].endswith("no-configuration")
    assert caller.admin("GET", "/admin/v1/status", index=0)[0] == 503


def test_of_two_operators_on_one_thing_one_wins_and_the_other_is_told(caller):
    base = _revisions(caller)[0]
    answers = {}

    def change(index: int, record: dict) -> None:
        body = {"change_id": f"race-{index}", "base": base, "puts": [record]}
        answers[index] = caller.admin("POST", "/admin/v1/changes", body, index=index)

    threads = [
        threading.Thread(target=change, args=(0, DRAIN)),
        threading.Thread(target=change, args=(1, SERVE)),
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    statuses = sorted(answer[0] for answer in answers.values())
    assert statuses == [200, 409]
    loser = next(answer for answer in answers.values() if answer[0] == 409)
    assert "ana changed upstream guide-1" in loser[1]["detail"]


def test_two_operators_on_different_things_both_win(caller):
    base = _revisions(caller)[0]
    other = {"kind": "upstream", "name": "guide-2", "labels": {"rack": "r1"}}
    for index, record in ((0, DRAIN), (1, other)):
        body = {"change_id": f"both-{index}", "base": base, "puts": [record]}
        assert caller.admin("POST", "/admin/v1/changes", body, index=index)[0] == 200
    _wait_active(caller, base + 2)


def test_operators_are_told_when_the_table_is_down(caller):
    caller.system.set_faults("table", down=1)
    for path in ("/admin/v1/changes", "/admin/v1/explain/changes/1"):
        status, answer, headers = caller.admin("GET", path)
        assert (status, answer["outcome"]) == (503, "not_run")
        assert int(headers["retry-after"]) >= 1
    status, answer, _ = caller.change("drain", DRAIN)
    assert (status, answer["outcome"]) == (503, "not_run")


def test_a_lost_answer_makes_the_change_once(caller):
    base = _revisions(caller)[0]
    caller.system.set_faults("table", lose_answers=1)
    body = {"change_id": "once", "base": base, "puts": [DRAIN]}
    first = caller.admin("POST", "/admin/v1/changes", body, index=0)
    again = caller.admin("POST", "/admin/v1/changes", body, index=1)
    assert first[0] == again[0] == 200
    assert again[1]["revision"] == first[1]["revision"] == base + 1
    assert again[1]["repeated"]


def test_an_entry_frozen_over_a_change_does_not_go_back(caller):
    caller.system.signal("entry-2", signal.SIGSTOP)
    first = caller.change("drain", DRAIN, index=0)[1]["revision"]
    second = caller.change("serve", SERVE, index=0)[1]["revision"]
    caller.system.signal("entry-2", signal.SIGCONT)
    assert second == first + 1
    _wait_active(caller, second)


@pytest.mark.parametrize("way", ["label", "list"])
def test_a_leaving_upstream_gets_no_new_work(caller, way):
    if way == "label":
        revision = caller.change("drain", DRAIN, index=0)[1]["revision"]
        _wait_active(caller, revision)
    else:
        caller.system.list_instance("guide-1", "leaving")
    time.sleep(2.0)
    before = len(caller.seen("guide-1")["requests"])
    _send_streams(caller, 12)
    assert len(caller.seen("guide-1")["requests"]) == before


def _agents(caller: Caller) -> list[str]:
    return [name for name in caller.system.processes if name.startswith("agent-")]


def _wait_listening(caller: Caller, index: int) -> None:
    deadline = time.monotonic() + 10.0
    while time.monotonic() < deadline:
        try:
            call(caller.port(index), "GET", "/healthz")
            return
        except OSError:
            time.sleep(0.1)


def _wait_logged(caller: Caller, name: str, text: str) -> None:
    deadline = time.monotonic() + 10.0
    while text not in caller.system.log(name) and time.monotonic() < deadline:
        time.sleep(0.05)
    assert text in caller.system.log(name)

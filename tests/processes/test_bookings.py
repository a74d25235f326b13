"""At-most-once bookings under process and table failures.

Guards against a retry that runs a booking twice, and against the outcome "not_run" for
a booking that ran.
"""

import signal
import threading
import time

from demo.caller import Caller
from demo.launcher import System
from tests.processes.conftest import PART, PLAN, RECORDS


def _run_count(caller: Caller, key: str) -> int:
    return sum(1 for item in caller.bookings() if item["key"] == key)


def test_repeat_through_another_entry_gets_the_same_booking(caller):
    first = caller.book(0, "k1", "clerks")
    again = caller.book(1, "k1", "clerks")
    assert first[0] == again[0] == 201
    assert first[1] == again[1]
    assert again[2]["idempotent-replayed"] == "true"
    assert _run_count(caller, "k1") == 1


def _decisions(caller: Caller) -> str:
    """Return the log lines of the entries that explain a failed booking."""
    names = caller.entries + [
        name for name in caller.system.processes if "desk" in name
    ]
    lines = [
        f"{name}: {line}"
        for name in names
        for line in caller.system.log(name).splitlines()
        if "decision" in line or "result" in line or "denied" in line
    ]
    return "\n".join(lines)


def test_a_booking_waits_until_its_agent_has_the_configuration():
    with System(PLAN, part=PART) as system:
        caller = Caller(system)
        # The agents are given the configuration a moment after the first entry.
        caller.configure([dict(record) for record in RECORDS], entries=1)
        status, answer, _ = caller.book(0, "k1", "clerks")
        assert status == 201, (answer, _decisions(caller))


def test_same_key_with_another_body_is_refused(caller):
    status, answer, _ = caller.book(0, "k1", "clerks")
    assert status == 201, (answer, _decisions(caller))
    status, answer, _ = caller.book(1, "k1", "clerks", body={"seat": 15})
    assert (status, answer["outcome"]) == (422, "not_run")
    assert _run_count(caller, "k1") == 1


def test_same_key_of_another_team_is_another_call(caller):
    assert caller.book(0, "k1", "clerks")[0] == 201
    assert caller.book(0, "k1", "members")[0] == 201
    assert _run_count(caller, "k1") == 2


def test_many_tries_at_once_make_one_booking(caller):
    statuses, answers = [], []

    def book(index: int) -> None:
        status, answer, _ = caller.book(index % 2, "k1", "clerks")
        statuses.append(status)
        answers.append(answer)

    threads = [threading.Thread(target=book, args=(n,)) for n in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert _run_count(caller, "k1") == 1
    assert set(statuses) <= {201, 409}, (answers, _decisions(caller))


def test_table_down_refuses_bookings_and_serves_inference(caller):
    caller.system.set_faults("table", down=1)
    status, answer, headers = caller.book(0, "k1", "clerks")
    assert (status, answer["outcome"]) == (503, "not_run")
    assert int(headers["retry-after"]) >= 1
    messages = [{"role": "user", "content": "Still there?"}]
    assert "".join(caller.stream(0, messages, "members", 4))
    assert _run_count(caller, "k1") == 0
    caller.system.set_faults("table")
    assert caller.book(0, "k1", "clerks")[0] == 201
    assert _run_count(caller, "k1") == 1


def test_lost_answers_of_the_table_run_a_booking_once(caller):
    caller.system.set_faults("table", lose_answers=1)
    statuses = [caller.book(n % 2, "k1", "clerks")[0] for n in range(3)]
    assert statuses[-1] == 201
    assert _run_count(caller, "k1") == 1


def test_agent_killed_in_the_middle_leaves_the_outcome_unknown(caller):
    for desk in ("desk-1", "desk-2"):
        caller.system.set_faults(desk, delay_s=2.0)
    kill_task = threading.Thread(target=_kill_desk_agents, args=(caller,))
    kill_task.start()
    status, answer, _ = caller.book(0, "k1", "clerks")
    kill_task.join()
    assert (status, answer["outcome"]) == (502, "unknown")
    for item in caller.system.plan["services"]:
        caller.system.start_agent(item)
    again = _book_until_answered(caller, "k1")
    assert (again[0], again[1]["outcome"]) == (409, "unknown")
    time.sleep(2.5)
    assert _run_count(caller, "k1") <= 1


def test_entry_killed_in_the_middle_does_not_repeat_the_booking(caller):
    for desk in ("desk-1", "desk-2"):
        caller.system.set_faults(desk, delay_s=1.0)
    kill_task = threading.Timer(0.5, caller.system.signal, ("entry-1", signal.SIGKILL))
    kill_task.start()
    try:
        caller.book(0, "k1", "clerks")
    except Exception as exc:
        error = exc
    assert error
    again = _book_until_made(caller, "k1")
    assert again[0] == 201
    assert _run_count(caller, "k1") == 1


def test_desk_down_means_not_run(caller):
    for desk in ("desk-1", "desk-2"):
        caller.system.signal(desk, signal.SIGKILL)
        caller.system.wait(desk)
    status, answer, headers = caller.book(0, "k1", "clerks")
    assert (status, answer["outcome"]) == (503, "not_run")
    assert int(headers["retry-after"]) >= 1


def test_a_guarded_service_demands_a_key(caller):
    status, answer, _ = caller.book(0, "", "clerks", headers={"Idempotency-Key": ""})
    assert (status, answer["outcome"]) == (400, "not_run")
    assert not caller.bookings()


def _kill_desk_agents(caller: Caller) -> None:
    time.sleep(0.7)
    for agent in ("agent-desk-1", "agent-desk-2"):
        caller.system.signal(agent, signal.SIGKILL)
        caller.system.wait(agent)


def _book_until_answered(caller: Caller, key: str):
    for _ in range(50):
        answer = caller.book(1, key, "clerks")
        if answer[0] != 503:
            return answer
        time.sleep(0.2)
    return answer


def _book_until_made(caller: Caller, key: str):
    for _ in range(50):
        answer = caller.book(1, key, "clerks")
        if answer[0] == 201:
            return answer
        time.sleep(0.2)
    return answer


def test_a_slow_booking_is_not_taken_for_a_dead_one(caller):
    for desk in ("desk-1", "desk-2"):
        caller.system.set_faults(desk, delay_s=5.0)
    assert caller.book(0, "k1", "clerks")[0] == 201
    assert _run_count(caller, "k1") == 1

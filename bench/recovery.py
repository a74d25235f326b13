"""Measure the time from a fault to the first successful answer, and failed answers.

``python -m bench.recovery`` runs each fault several times on a small system of real
processes and prints a table.
"""

from gevent import monkey

monkey.patch_all()

import signal
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import numpy as np
from absl import app, flags

from demo.caller import Caller
from demo.launcher import DemoFailed, System

RUNS = flags.DEFINE_integer("runs", 5, "Runs of each fault.")
OUTAGE_S = flags.DEFINE_float("outage_s", 60.0, "Length of the table's outage.")
CALL_INTERVAL_S = 0.05
BOOKING_TIMEOUT_S = 8.0
STREAM_TOKENS = 150

PLAN = {
    "region": "bench",
    "entries": [
        {"name": "entry-1", "failure_domain": "one"},
        {"name": "entry-2", "failure_domain": "two"},
    ],
    "runners": [
        {"name": "guide-1", "model": "guide", "failure_domain": "one"},
        {"name": "guide-2", "model": "guide", "failure_domain": "two"},
    ],
    "services": [
        {
            "name": f"desk-{number}",
            "service": "booking-desk",
            "failure_domain": "one",
            "guarded": True,
        }
        for number in (1, 2)
    ],
    "step_ms": 10.0,
    "instance_lag_s": 1.0,
    "entry_settings": {"address_ttl_s": 1.0},
    "drain_grace_s": 5.0,
    "config_interval_s": 5.0,
    "instances_interval_s": 2.0,
}
RECORDS = [
    {"kind": "operator", "name": "ana"},
    {"kind": "team", "name": "members"},
]


@dataclass(slots=True)
class CallerLog:
    """Hold the answers that callers received.

    Parameters
    ----------
    success_times_s : list of float
        Times of successful answers, in seconds after the fault.
    answers : Counter
        Number of answers by status and outcome.
    """

    success_times_s: list[float] = field(default_factory=list)
    answers: Counter = field(default_factory=Counter)


def main(argv: list[str]) -> None:
    """Run all faults and print the table."""
    print("| fault | first good answer after | told meanwhile, all runs |")
    print("|---|---|---|")
    _measure_fault("entry killed, next address", _entry_killed, RUNS.value)
    _measure_fault(
        "agent killed, its stream's gap", _stream_gap(signal.SIGKILL), RUNS.value
    )
    _measure_fault(
        "agent frozen, its stream's gap", _stream_gap(signal.SIGSTOP), RUNS.value
    )
    _measure_fault("desk's agent killed and replaced", _desk_agent_killed, RUNS.value)
    _measure_fault(f"table down {OUTAGE_S.value:g} s, bookings", _table_down, 1)
    _measure_fault(f"table down {OUTAGE_S.value:g} s, streams", _streams_in_outage, 1)


def _measure_fault(
    name: str, run: Callable[[Caller], tuple[float, Counter]], runs: int
):
    times, answers = [], Counter()
    for _ in range(runs):
        with System(PLAN) as system:
            caller = Caller(system)
            caller.configure([dict(record) for record in RECORDS])
            recovery_s, run_answers = run(caller)
            times.append(recovery_s)
            answers.update(run_answers)
    summary = ", ".join(f"{count} x {what}" for what, count in sorted(answers.items()))
    median = np.median(times)
    time_range = f"{min(times):.2f} to {max(times):.2f}"
    print(
        f"| {name} | {median:.2f} s ({time_range}) | {summary or 'nothing'} |",
        flush=True,
    )


def _entry_killed(caller: Caller) -> tuple[float, Counter]:
    caller.system.signal("entry-1", signal.SIGKILL)
    began = time.monotonic()
    answers: Counter = Counter()
    for index in (0, 1):
        try:
            list(caller.stream(index, _messages(0), "members", 1))
            return time.monotonic() - began, answers
        except OSError as exc:
            answers[type(exc).__name__] += 1
    raise DemoFailed("no entry answered")


def _stream_gap(signal_number: int) -> Callable[[Caller], tuple[float, Counter]]:
    def run(caller: Caller) -> tuple[float, Counter]:
        token_times = []
        for index, _ in enumerate(
            caller.stream(0, _messages(0), "members", STREAM_TOKENS)
        ):
            token_times.append(time.monotonic())
            if index == 10:
                serving = [
                    n for n in ("guide-1", "guide-2") if caller.seen(n)["requests"]
                ]
                caller.system.signal(f"agent-{serving[0]}", signal_number)
        return float(np.max(np.diff(token_times))), Counter()

    return run


def _desk_agent_killed(caller: Caller) -> tuple[float, Counter]:
    for item in caller.system.plan["services"]:
        caller.system.signal(f"agent-{item['name']}", signal.SIGKILL)
        caller.system.wait(f"agent-{item['name']}")
        caller.system.start_agent(item)
    return _book_until_success(caller, BOOKING_TIMEOUT_S, 0.0)


def _table_down(caller: Caller) -> tuple[float, Counter]:
    caller.system.set_faults("table", down=1)
    gevent.spawn_later(OUTAGE_S.value, caller.system.set_faults, "table")
    return _book_until_success(
        caller, OUTAGE_S.value + BOOKING_TIMEOUT_S, OUTAGE_S.value
    )


def _streams_in_outage(caller: Caller) -> tuple[float, Counter]:
    caller.system.set_faults("table", down=1)
    answers: Counter = Counter()
    began = time.monotonic()
    slowest_s = 0.0
    while time.monotonic() - began < OUTAGE_S.value:
        sent_at = time.monotonic()
        try:
            list(caller.stream(0, _messages(0), "members", 1))
            answers["whole answer"] += 1
        except DemoFailed as exc:
            answers[str(exc)[:60]] += 1
        slowest_s = max(slowest_s, time.monotonic() - sent_at)
        gevent.sleep(CALL_INTERVAL_S)
    return slowest_s, answers


def _book_until_success(
    caller: Caller, timeout_s: float, restored_after_s: float
) -> tuple[float, Counter]:
    answers: Counter = Counter()
    began = time.monotonic()
    number = 0
    while time.monotonic() - began < timeout_s:
        number += 1
        status, answer, _ = caller.book(number % 2, f"key-{number}", "members")
        elapsed_s = time.monotonic() - began
        if status == 201 and elapsed_s >= restored_after_s:
            return elapsed_s - restored_after_s, answers
        answers[f"{status} {answer.get('outcome', 'booked')}"] += 1
        gevent.sleep(CALL_INTERVAL_S)
    raise DemoFailed("no booking succeeded before the timeout")


def _messages(number: int) -> list[dict[str, str]]:
    return [{"role": "user", "content": f"Trip {number}?"}]


if __name__ == "__main__":
    app.run(main)

"""How long until the first good answer after a fault, and what callers were told.

``python -m bench.recovery`` runs each fault on a small system of real processes, at
several runs, and prints a table.
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
PERIOD_S = 0.05
WATCH_S = 8.0
TOKENS = 150

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
class Watch:
    """Hold what callers saw.

    Parameters
    ----------
    good : list of float
        When a good answer came, in seconds after the fault.
    told : Counter
        Answers told by status and outcome.
    """

    good: list[float] = field(default_factory=list)
    told: Counter = field(default_factory=Counter)


def main(argv: list[str]) -> None:
    """Run all faults and print the table."""
    print("| fault | first good answer after | told meanwhile, all runs |")
    print("|---|---|---|")
    _report("entry killed, next address", _entry_killed, RUNS.value)
    _report("agent killed, its stream's gap", _stream_gap(signal.SIGKILL), RUNS.value)
    _report("agent frozen, its stream's gap", _stream_gap(signal.SIGSTOP), RUNS.value)
    _report("desk's agent killed and replaced", _desk_agent_killed, RUNS.value)
    _report(f"table down {OUTAGE_S.value:g} s, bookings", _table_down, 1)
    _report(f"table down {OUTAGE_S.value:g} s, streams", _streams_in_outage, 1)


def _report(name: str, run: Callable[[Caller], tuple[float, Counter]], runs: int):
    times, told = [], Counter()
    for _ in range(runs):
        with System(PLAN) as system:
            caller = Caller(system)
            caller.configure([dict(record) for record in RECORDS])
            seconds, meanwhile = run(caller)
            times.append(seconds)
            told.update(meanwhile)
    words = ", ".join(f"{count} x {what}" for what, count in sorted(told.items()))
    middle = np.median(times)
    spread = f"{min(times):.2f} to {max(times):.2f}"
    print(f"| {name} | {middle:.2f} s ({spread}) | {words or 'nothing'} |", flush=True)


def _entry_killed(caller: Caller) -> tuple[float, Counter]:
    caller.system.signal("entry-1", signal.SIGKILL)
    began = time.monotonic()
    told: Counter = Counter()
    for index in (0, 1):
        try:
            list(caller.stream(index, _messages(0), "members", 1))
            return time.monotonic() - began, told
        except OSError as exc:
            told[type(exc).__name__] += 1
    raise DemoFailed("no entry answered")


def _stream_gap(number: int) -> Callable[[Caller], tuple[float, Counter]]:
    def run(caller: Caller) -> tuple[float, Counter]:
        at = []
        for index, _ in enumerate(caller.stream(0, _messages(0), "members", TOKENS)):
            at.append(time.monotonic())
            if index == 10:
                busy = [n for n in ("guide-1", "guide-2") if caller.seen(n)["requests"]]
                caller.system.signal(f"agent-{busy[0]}", number)
        return float(np.max(np.diff(at))), Counter()

    return run


def _desk_agent_killed(caller: Caller) -> tuple[float, Counter]:
    for item in caller.system.plan["services"]:
        caller.system.signal(f"agent-{item['name']}", signal.SIGKILL)
        caller.system.wait(f"agent-{item['name']}")
        caller.system.start_agent(item)
    return _watch_bookings(caller, WATCH_S, 0.0)


def _table_down(caller: Caller) -> tuple[float, Counter]:
    caller.system.set_faults("table", down=1)
    gevent.spawn_later(OUTAGE_S.value, caller.system.set_faults, "table")
    return _watch_bookings(caller, OUTAGE_S.value + WATCH_S, OUTAGE_S.value)


def _streams_in_outage(caller: Caller) -> tuple[float, Counter]:
    caller.system.set_faults("table", down=1)
    told: Counter = Counter()
    began = time.monotonic()
    slowest = 0.0
    while time.monotonic() - began < OUTAGE_S.value:
        sent = time.monotonic()
        try:
            list(caller.stream(0, _messages(0), "members", 1))
            told["whole answer"] += 1
        except DemoFailed as exc:
            told[str(exc)[:60]] += 1
        slowest = max(slowest, time.monotonic() - sent)
        gevent.sleep(PERIOD_S)
    return slowest, told


def _watch_bookings(
    caller: Caller, length_s: float, mended_s: float
) -> tuple[float, Counter]:
    told: Counter = Counter()
    began = time.monotonic()
    number = 0
    while time.monotonic() - began < length_s:
        number += 1
        status, answer, _ = caller.book(number % 2, f"key-{number}", "members")
        at = time.monotonic() - began
        if status == 201 and at >= mended_s:
            return at - mended_s, told
        told[f"{status} {answer.get('outcome', 'booked')}"] += 1
        gevent.sleep(PERIOD_S)
    raise DemoFailed("no booking went through")


def _messages(number: int) -> list[dict[str, str]]:
    return [{"role": "user", "content": f"Trip {number}?"}]


if __name__ == "__main__":
    app.run(main)

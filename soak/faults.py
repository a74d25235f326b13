"""Faults injected into the system under test; each runs in its own greenlet."""

import signal
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

import gevent

from soak.process import GRACE_S, Process
from soak.proxy import LinkMode

if TYPE_CHECKING:
    from soak.system import SoakSystem
    from soak.upstreams import SoakUpstream


def _kill(system: "SoakSystem") -> None:
    _restart(system.random_process())


def _kill_coordinator(system: "SoakSystem") -> None:
    coordinator = system.find_coordinator()
    if coordinator is not None:
        _restart(coordinator)


def _restart(process: Process) -> None:
    process.signal(signal.SIGKILL)
    process.wait(1.0)
    process.start()


def _terminate(system: "SoakSystem") -> None:
    process = system.random_process()
    process.signal(signal.SIGTERM)
    process.wait(GRACE_S + 2.0)
    process.start()


def _pause(system: "SoakSystem") -> None:
    process = system.random_process()
    system.oracle.paused_processes += 1
    process.signal(signal.SIGSTOP)
    gevent.sleep(system.rng.uniform(0.2, 3.0))
    process.signal(signal.SIGCONT)
    system.oracle.paused_processes -= 1
    system.oracle.last_pause_at = time.monotonic()


@contextmanager
def _store_disturbed(system: "SoakSystem") -> Iterator[None]:
    system.oracle.store_faults += 1
    yield
    system.oracle.store_faults -= 1
    system.oracle.last_store_fault_at = time.monotonic()


@contextmanager
def _link_disturbed(system: "SoakSystem", process: Process) -> Iterator[None]:
    system.oracle.link_faults += 1
    process.link_faults += 1
    yield
    process.link_faults -= 1
    system.oracle.link_faults -= 1
    process.disturbed_at = system.oracle.last_link_fault_at = time.monotonic()


def _reload_settings(system: "SoakSystem") -> None:
    system.random_process().signal(signal.SIGHUP)


def _disturb_store_link(system: "SoakSystem") -> None:
    process = system.random_process()
    proxy = process.proxy
    with _link_disturbed(system, process):
        proxy.mode = system.rng.choice(
            [mode for mode in LinkMode if mode is not LinkMode.GOOD]
        )
        gevent.sleep(system.rng.uniform(0.5, 3.0))
        proxy.mode = LinkMode.GOOD
        if system.rng.random() < 0.5:
            proxy.reset()


def _fail_store(system: "SoakSystem") -> None:
    with _store_disturbed(system):
        system.store.pages.status = system.rng.choice((503, 429))
        gevent.sleep(system.rng.uniform(0.5, 2.0))
        system.store.pages.status = 0


def _silence_store(system: "SoakSystem") -> None:
    pages = system.store.pages
    with _store_disturbed(system):
        pages.answers_late = system.rng.random() < 0.5
        pages.silent = True
        gevent.sleep(system.rng.uniform(0.5, 4.0))
        pages.silent = False
    # The operator has repeated a change until the store took it.
    _change_configuration(system)


def _restore_store(system: "SoakSystem") -> None:
    """Bring the store back from a copy some seconds old."""
    pages = system.store.pages
    with _store_disturbed(system):
        copied_at = pages.version
        # An election that the store is going to lose.
        if system.rng.random() < 0.5:
            _kill_coordinator(system)
        gevent.sleep(system.rng.uniform(0.5, 3.0))
        _change_configuration(system)
        pages.silent = True
        gevent.sleep(system.rng.uniform(0.2, 1.0))
        if copied_at <= pages.version:
            system.evacuations.record_restore()
            pages.lapse(copied_at)
        pages.silent = False
        if system.rng.random() < 0.5:
            _kill_coordinator(system)
        gevent.sleep(system.rng.uniform(0.0, 2.0))
        # The operator and the upstreams write what they had written.
        system.rewrite_store()


def _lose_store_answers(system: "SoakSystem") -> None:
    system.store.pages.lose_answers = system.rng.randrange(1, 4)


def _truncate_store_history(system: "SoakSystem") -> None:
    with _store_disturbed(system):
        system.store.pages.history_from = system.store.pages.version


def _fail_upstream(system: "SoakSystem") -> None:
    upstream = system.rng.choice(system.upstreams)
    upstream.fail_share = system.rng.uniform(0.2, 1.0)
    gevent.sleep(system.rng.uniform(0.5, 3.0))
    upstream.fail_share = 0.0


def _limit_upstream(system: "SoakSystem") -> None:
    upstream = system.rng.choice(system.upstreams)
    if upstream.limit is None:
        upstream.limit = round(system.rng.uniform(0.2, 3.0), 1)
        gevent.sleep(system.rng.uniform(5.0, 10.0))
        upstream.limit = None


def _crash_upstream(system: "SoakSystem") -> None:
    upstream = system.rng.choice(system.upstreams)
    if upstream.draining_since is None and not upstream.crashed:
        upstream.crash()
        gevent.sleep(system.rng.uniform(1.0, 3.0))
        number = system.next_upstream_number()
        upstream.return_after_crash(system.store.pages, number)


def _evacuate(system: "SoakSystem") -> None:
    """Evacuate a failure domain beside other faults; it comes back cold."""
    domain = system.rng.choice(sorted({u.domain for u in system.upstreams}))
    system.start_fault(system.rng.choice(BESIDE_EVACUATIONS))
    gevent.sleep(system.rng.uniform(0.0, 2.0))
    if not system.evacuations.evacuate(domain):
        return
    gevent.sleep(system.rng.uniform(1.0, 7.0))
    system.start_fault(system.rng.choice(BESIDE_EVACUATIONS))
    gevent.sleep(system.rng.uniform(5.0, 9.0))
    told = system.evacuations.take_back(domain)
    for upstream in system.upstreams:
        if upstream.domain != domain or upstream.crashed:
            continue
        if upstream.draining_since is None and system.rng.random() < 0.5:
            upstream.restart(system.store.pages, system.next_upstream_number())
        else:
            upstream.turn_cold(told)


def _crash_domains(system: "SoakSystem") -> None:
    """Crash all upstreams, or those of one failure domain; they return cold."""
    domain = system.rng.choice((*sorted({u.domain for u in system.upstreams}), ""))
    crashed = [
        upstream
        for upstream in system.upstreams
        if domain in ("", upstream.domain)
        and upstream.draining_since is None
        and not upstream.crashed
    ]
    for upstream in crashed:
        upstream.crash()
    gevent.sleep(system.rng.uniform(0.5, 2.0))
    for upstream in crashed:
        upstream.return_after_crash(system.store.pages, system.next_upstream_number())


def crash_under(system: "SoakSystem", upstream: "SoakUpstream", body: bytes) -> None:
    """Crash an upstream under a deadly request; it returns after some time."""
    gevent.sleep(system.rng.uniform(0.0, 0.1))
    if upstream.crashed:
        return
    system.deadly_requests.record_crash(body)
    upstream.crash()
    gevent.sleep(system.rng.uniform(0.5, 2.0))
    upstream.return_after_crash(system.store.pages, system.next_upstream_number())


def _send_deadly_request(system: "SoakSystem") -> None:
    prefix = system.rng.choice(("/book/", "/read/", "/stream/"))
    system.deadly_requests.send(prefix, system.rng.uniform(6.0, 12.0))


def _replace_upstream(system: "SoakSystem") -> None:
    upstream = system.rng.choice(system.upstreams)
    if upstream.crashed:
        return
    if upstream.draining_since is None and system.store.pages.status == 0:
        upstream.drain(system.store.pages)
        gevent.sleep(4.0)
        upstream.restart(system.store.pages, system.next_upstream_number())


def _delay_orders(system: "SoakSystem") -> None:
    system.group.delayed_share = system.rng.uniform(0.1, 0.5)
    gevent.sleep(system.rng.uniform(1.0, 4.0))
    system.group.delayed_share = 0.0


def _change_configuration(system: "SoakSystem") -> None:
    for _ in range(system.rng.randrange(1, 6)):
        system.configure()
        gevent.sleep(system.rng.uniform(0.0, 0.2))


BESIDE_EVACUATIONS = (
    "kill",
    "term",
    "bad link to the store",
    "store down",
    "store restored",
    "store silent",
    "store forgets",
)
FAULTS: dict[str, Callable[["SoakSystem"], None]] = {
    "kill": _kill,
    "kill the coordinator": _kill_coordinator,
    "term": _terminate,
    "pause": _pause,
    "hang up": _reload_settings,
    "bad link to the store": _disturb_store_link,
    "store down": _fail_store,
    "store restored": _restore_store,
    "store silent": _silence_store,
    "store loses answers": _lose_store_answers,
    "store forgets": _truncate_store_history,
    "domain evacuated": _evacuate,
    "domains crash": _crash_domains,
    "deadly request": _send_deadly_request,
    "upstream crashes": _crash_upstream,
    "upstream fails": _fail_upstream,
    "upstream limited": _limit_upstream,
    "upstream leaves": _replace_upstream,
    "orders late": _delay_orders,
    "changes": _change_configuration,
}

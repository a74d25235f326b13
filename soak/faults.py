"""What harms the system under soak; each runs in a task of its own."""

import signal
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

import gevent

from soak.process import GRACE_S
from soak.proxy import Link

if TYPE_CHECKING:
    from soak.system import World


def _kill(world: "World") -> None:
    process = world.any_process()
    process.signal(signal.SIGKILL)
    process.wait(1.0)
    process.start()


def _term(world: "World") -> None:
    process = world.any_process()
    process.signal(signal.SIGTERM)
    process.wait(GRACE_S + 2.0)
    process.start()


def _pause(world: "World") -> None:
    process = world.any_process()
    world.oracle.paused += 1
    process.signal(signal.SIGSTOP)
    gevent.sleep(world.rng.uniform(0.2, 3.0))
    process.signal(signal.SIGCONT)
    world.oracle.paused -= 1
    world.oracle.paused_at = time.monotonic()


@contextmanager
def _apart(world: "World") -> Iterator[None]:
    world.oracle.apart += 1
    yield
    world.oracle.apart -= 1
    world.oracle.apart_at = time.monotonic()


def _hang_up(world: "World") -> None:
    world.any_process().signal(signal.SIGHUP)


def _bad_link(world: "World") -> None:
    link = world.any_process().link
    with _apart(world):
        link.link = world.rng.choice([kind for kind in Link if kind is not Link.GOOD])
        gevent.sleep(world.rng.uniform(0.5, 3.0))
        link.link = Link.GOOD
        link.reset()


def _store_down(world: "World") -> None:
    with _apart(world):
        world.store.pages.status = world.rng.choice((503, 429))
        gevent.sleep(world.rng.uniform(0.5, 2.0))
        world.store.pages.status = 0


def _store_loses(world: "World") -> None:
    world.store.pages.lose_answers = world.rng.randrange(1, 4)


def _store_forgets(world: "World") -> None:
    with _apart(world):
        world.store.pages.history_from = world.store.pages.version


def _upstream_fails(world: "World") -> None:
    upstream = world.rng.choice(world.upstreams)
    upstream.fail_share = world.rng.uniform(0.2, 1.0)
    gevent.sleep(world.rng.uniform(0.5, 3.0))
    upstream.fail_share = 0.0


def _upstream_leaves(world: "World") -> None:
    upstream = world.rng.choice(world.upstreams)
    if upstream.leaving_at is None and world.store.pages.status == 0:
        upstream.drain(world.store.pages)
        gevent.sleep(4.0)
        upstream.restart(world.store.pages, world.next_restart())


def _orders_late(world: "World") -> None:
    world.group.delayed_share = world.rng.uniform(0.1, 0.5)
    gevent.sleep(world.rng.uniform(1.0, 4.0))
    world.group.delayed_share = 0.0


def _change(world: "World") -> None:
    for _ in range(world.rng.randrange(1, 6)):
        world.configure()
        gevent.sleep(world.rng.uniform(0.0, 0.2))


HARMS: dict[str, Callable[["World"], None]] = {
    "kill": _kill,
    "term": _term,
    "pause": _pause,
    "hang up": _hang_up,
    "bad link to the store": _bad_link,
    "store down": _store_down,
    "store loses answers": _store_loses,
    "store forgets": _store_forgets,
    "upstream fails": _upstream_fails,
    "upstream leaves": _upstream_leaves,
    "orders late": _orders_late,
    "changes": _change,
}

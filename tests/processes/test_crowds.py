"""Crowds of clients that misbehave neither end a gateway nor keep others out."""

import signal
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path

import gevent
import pytest

from standins.row_store import RowStore
from tests.processes import crowds
from tests.processes.crowds import (
    ORDINARY_TRIES,
    ROUTES,
    Behaviour,
    Crowd,
    CrowdedGateway,
    ProcessWatch,
    answered,
    endless_head,
    press,
    requests_ahead,
    serve,
    slow_reader,
)

pytestmark = pytest.mark.crowd

# The smallest machine of a gateway in force.
MACHINE_MB = 160
MACHINE_BYTES = MACHINE_MB * 10**6
MANY_DESCRIPTORS, FEW_DESCRIPTORS = 4096, 128
UPSTREAMS = 4
# Descriptors that are left for an ordinary call and the process's own requests.
SPARE_DESCRIPTORS = 8

CROWDS = {
    "whole-answers-read-slowly": slow_reader("/whole/large"),
    "streams-read-slowly": slow_reader("/stream/large"),
    "eight-long-answers-at-once": slow_reader("/whole/large", requests=8),
    "bodies-sent-slowly": crowds.slow_body,
    "bodies-in-chunks-of-one-byte": crowds.tiny_chunks,
    "requests-sent-ahead": requests_ahead("/whole/small"),
    "long-header-lines": endless_head(b"a: " + b"x" * 4000 + b"\r\n"),
    "short-header-lines": endless_head(b"a: b\r\n" * 20),
    "idle-connections": crowds.idle,
}
PAGES = {
    "readiness": "/readyz",
    "directory": "/resolve?name=x",
    "metrics": "/metrics",
}
PAGE_CROWDS = {
    "requests-sent-ahead": requests_ahead,
    "bodies-in-chunks-of-one-byte": lambda *_: crowds.tiny_chunks,
    "header-lines-without-end": lambda *_: endless_head(b"a: b\r\n" * 20),
    "idle-connections": lambda *_: crowds.idle,
}


@contextmanager
def crowded_gateway(folder: Path, *, descriptors: int) -> Iterator[CrowdedGateway]:
    with RowStore() as store:
        process = CrowdedGateway(
            store,
            folder,
            *[serve] * UPSTREAMS,
            memory_mb=MACHINE_MB,
            descriptors=descriptors,
        )
        process.configure(2, routes=ROUTES)
        process.start()
        try:
            yield process
        finally:
            process.close()


def press_on_callers(one: CrowdedGateway, behaviour: Behaviour, size: int):
    return press(
        one.process.pid,
        one.callers,
        behaviour,
        size=size,
        seconds=5.0,
        ordinary=lambda tries: answered(one.callers, tries=tries),
    )


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_stays_within_the_memory_of_a_machine(tmp_path, name):
    with crowded_gateway(tmp_path, descriptors=MANY_DESCRIPTORS) as one:
        watch = press_on_callers(one, CROWDS[name], 400)
        assert watch.peak_bytes <= MACHINE_BYTES


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_leaves_descriptors_for_ordinary_calls(tmp_path, name):
    with crowded_gateway(tmp_path, descriptors=FEW_DESCRIPTORS) as one:
        watch = press_on_callers(one, CROWDS[name], 2 * FEW_DESCRIPTORS)
        assert watch.peak_descriptors <= FEW_DESCRIPTORS - SPARE_DESCRIPTORS
        assert watch.peak_bytes <= MACHINE_BYTES


@pytest.mark.parametrize("name", PAGE_CROWDS)
@pytest.mark.parametrize("page", PAGES)
def test_a_crowd_at_a_page_keeps_nobody_out(tmp_path, page, name):
    with crowded_gateway(tmp_path, descriptors=FEW_DESCRIPTORS) as one:
        port, path = getattr(one, page), PAGES[page]
        behaviour = PAGE_CROWDS[name](path, "GET")
        ask_page = partial(answered, port, path, method="GET")
        watch = press(
            one.process.pid,
            port,
            behaviour,
            size=2 * FEW_DESCRIPTORS,
            seconds=3.0,
            ordinary=lambda tries: (
                ask_page(tries=tries) and answered(one.callers, tries=tries)
            ),
        )
        assert watch.peak_descriptors <= FEW_DESCRIPTORS - SPARE_DESCRIPTORS
        assert watch.peak_bytes <= MACHINE_BYTES


def test_a_crowd_does_not_keep_a_gateway_from_stopping(tmp_path):
    """Guards against a stop that waits for clients which read slowly."""
    with (
        crowded_gateway(tmp_path, descriptors=MANY_DESCRIPTORS) as one,
        Crowd(one.callers, 100, slow_reader("/whole/large")),
    ):
        gevent.sleep(4.0)
        one.process.send_signal(signal.SIGTERM)
        assert one.process.wait(timeout=60) == 0


@pytest.mark.parametrize("name", ["whole-answers-read-slowly", "idle-connections"])
def test_a_crowd_that_comes_in_waves_while_the_store_is_away_ends_no_process(
    tmp_path, name
):
    with crowded_gateway(tmp_path, descriptors=FEW_DESCRIPTORS) as one:
        with ProcessWatch(one.process.pid) as watch:
            one.store.pages.silent = True
            for _ in range(4):
                with Crowd(one.callers, 2 * FEW_DESCRIPTORS, CROWDS[name]):
                    gevent.sleep(2.0)
            one.store.pages.silent = False
        assert answered(one.callers, tries=ORDINARY_TRIES)
        assert watch.peak_descriptors <= FEW_DESCRIPTORS - SPARE_DESCRIPTORS
        assert watch.peak_bytes <= MACHINE_BYTES

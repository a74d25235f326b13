"""Crowds of clients that misbehave neither end an entry nor keep others out."""

from collections.abc import Iterator
from contextlib import ExitStack, suppress

import pytest

from demo.caller import Caller
from demo.launcher import System, call
from tests.processes import crowds
from tests.processes.conftest import PART, PLAN, RECORDS
from tests.processes.crowds import endless_head, lowered_descriptors, press
from tests.processes.test_input import CHAT, GOOD

pytestmark = pytest.mark.crowd

MACHINE_BYTES = 160 * 10**6
DESCRIPTORS = 128
SPARE_DESCRIPTORS = 8
CROWDS = {
    "requests-sent-ahead": crowds.requests_ahead("/metrics", "GET"),
    "bodies-sent-slowly": crowds.slow_body,
    "bodies-in-chunks-of-one-byte": crowds.tiny_chunks,
    "header-lines-without-end": endless_head(b"a: b\r\n" * 20),
    "idle-connections": crowds.idle,
}


@pytest.fixture
def crowded_caller() -> Iterator[Caller]:
    with ExitStack() as closing:
        with lowered_descriptors(DESCRIPTORS):
            system = closing.enter_context(System(PLAN, part=PART))
        caller = Caller(system)
        caller.configure([dict(record) for record in RECORDS])
        yield caller


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_at_an_entry_keeps_nobody_out(crowded_caller, name):
    system = crowded_caller.system
    key = system.keys.teams["members"]
    entry = system.processes["entry-1"]
    port = crowded_caller.port(0)

    def ordinary(tries: int) -> bool:
        for _ in range(tries):
            with suppress(OSError):
                if call(port, "POST", CHAT, GOOD, key=key)[0] == 200:
                    return True
        return False

    watch = press(
        entry.process.pid,
        port,
        CROWDS[name],
        size=2 * DESCRIPTORS,
        seconds=4.0,
        ordinary=ordinary,
    )
    assert watch.peak_bytes <= MACHINE_BYTES
    assert watch.peak_descriptors <= DESCRIPTORS - SPARE_DESCRIPTORS

"""The watch of configurations finds late versions and those that go back, no others."""

import random
import time

import pytest

from soak import config_watch
from soak.config_watch import KEY_REQUIRED, NOT_FOUND, ConfigWatch
from soak.oracle import Oracle


class Gateway:
    """Stand for a process that was left alone for long."""

    name, callers, starts, left_alone_s = "g", 1, 1, 60.0

    def undisturbed_s(self) -> float:
        """Return for how long it was left alone."""
        return self.left_alone_s


@pytest.fixture
def watch(monkeypatch):
    """Yield a watch, its gateway, and a function that sets the gateway's answer."""
    gateway, oracle = Gateway(), Oracle()
    watched = ConfigWatch([gateway], oracle, random.Random(1))
    answers = {}
    monkeypatch.setattr(
        config_watch, "_request_status", lambda port, path: answers["status"]
    )

    def ask(status: int) -> list[str]:
        answers["status"] = status
        watched._ask(gateway)
        return [violation.guarantee for violation in oracle.violations]

    return watched, gateway, ask


def write(watched: ConfigWatch, age_s: float) -> None:
    watched.record_write(1)
    watched._written_at[1] = time.monotonic() - age_s


def test_a_version_that_is_late_is_found(watch):
    watched, _, ask = watch
    write(watched, config_watch.APPLY_S + 1.0)
    assert ask(NOT_FOUND) == ["configuration in time"]


def test_a_version_may_take_its_time(watch):
    watched, _, ask = watch
    write(watched, config_watch.APPLY_S - 1.0)
    assert ask(NOT_FOUND) == []


def test_a_process_that_was_disturbed_may_be_late(watch):
    watched, gateway, ask = watch
    write(watched, 60.0)
    gateway.left_alone_s = config_watch.CONTACT_S - 1.0
    assert ask(NOT_FOUND) == []


def test_a_version_that_goes_back_is_found(watch):
    watched, gateway, ask = watch
    write(watched, 0.0)
    gateway.left_alone_s = 0.0
    assert ask(KEY_REQUIRED) == []
    assert ask(NOT_FOUND) == ["a configuration never goes back"]


def test_a_restarted_process_may_know_less(watch):
    watched, gateway, ask = watch
    write(watched, 0.0)
    ask(KEY_REQUIRED)
    gateway.starts += 1
    assert ask(NOT_FOUND) == []

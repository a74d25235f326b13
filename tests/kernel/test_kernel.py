"""Services start in order, stop in reverse order, and are found by name."""

import pytest

from toucanspool.kernel.kernel import DuplicateService, Kernel, UnknownService
from toucanspool.kernel.random_sources import RandomSources


class RecordingService:
    """Record starts and stops, or fail at one of them."""

    def __init__(self, name: str, events: list[str], *, fails_at: str = "") -> None:
        self._name = name
        self._events = events
        self._fails_at = fails_at

    def start(self, kernel: Kernel) -> None:
        """Record the start, or fail."""
        if self._fails_at == "start":
            raise OSError
        self._events.append(f"+{self._name}")

    def stop(self) -> None:
        """Record the stop, then fail if asked to."""
        self._events.append(f"-{self._name}")
        if self._fails_at == "stop":
            raise OSError


def make_kernel(*fails: str) -> tuple[Kernel, list[str]]:
    """Return a kernel with services a, b and c, and the list of recorded events."""
    kernel, events = Kernel(), []
    for name, fails_at in zip("abc", fails, strict=True):
        kernel.add(name, RecordingService(name, events, fails_at=fails_at))
    return kernel, events


def test_services_stop_in_reverse():
    kernel, events = make_kernel("", "", "")
    kernel.start()
    kernel.stop()
    assert events == ["+a", "+b", "+c", "-c", "-b", "-a"]


def test_failed_start_stops_what_had_started():
    kernel, events = make_kernel("", "", "start")
    with pytest.raises(OSError):
        kernel.start()
    assert events == ["+a", "+b", "-b", "-a"]


def test_failed_stop_does_not_keep_others_running():
    kernel, events = make_kernel("", "stop", "")
    kernel.start()
    with pytest.raises(OSError):
        kernel.stop()
    assert events[3:] == ["-c", "-b", "-a"]


def test_names_are_unique_and_known():
    kernel, _ = make_kernel("", "", "")
    with pytest.raises(DuplicateService):
        kernel.add("a", RecordingService("a", []))
    with pytest.raises(UnknownService):
        kernel.find("z")


def test_random_sources_repeat_by_seed_and_differ_by_name():
    draws = [RandomSources(1, "i").named(name).random() for name in ("a", "a", "b")]
    assert draws[0] == draws[1] != draws[2]

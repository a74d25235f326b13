"""Services start in order, stop in reverse order, and are found by name."""

import pytest

from toucanspool.kernel.kernel import DuplicateService, Kernel, UnknownService
from toucanspool.kernel.random_sources import RandomSources


class Noted:
    """Note starts and stops."""

    def __init__(self, name: str, notes: list[str], *, fails: str = "") -> None:
        self._name = name
        self._notes = notes
        self._fails = fails

    def start(self, kernel: Kernel) -> None:
        """Note the start, or fail."""
        if self._fails == "start":
            raise OSError
        self._notes.append(f"+{self._name}")

    def stop(self) -> None:
        """Note the stop, or fail."""
        self._notes.append(f"-{self._name}")
        if self._fails == "stop":
            raise OSError


def make_kernel(*fails: str) -> tuple[Kernel, list[str]]:
    """Return a kernel of services a, b and c, and their notes."""
    kernel, notes = Kernel(), []
    for name, how in zip("abc", fails, strict=True):
        kernel.add(name, Noted(name, notes, fails=how))
    return kernel, notes


def test_services_stop_in_reverse():
    kernel, notes = make_kernel("", "", "")
    kernel.start()
    kernel.stop()
    assert notes == ["+a", "+b", "+c", "-c", "-b", "-a"]


def test_failed_start_stops_what_had_started():
    kernel, notes = make_kernel("", "", "start")
    with pytest.raises(OSError):
        kernel.start()
    assert notes == ["+a", "+b", "-b", "-a"]


def test_failed_stop_does_not_keep_others_running():
    kernel, notes = make_kernel("", "stop", "")
    kernel.start()
    with pytest.raises(OSError):
        kernel.stop()
    assert notes[3:] == ["-c", "-b", "-a"]


def test_names_are_unique_and_known():
    kernel, _ = make_kernel("", "", "")
    with pytest.raises(DuplicateService):
        kernel.add("a", Noted("a", []))
    with pytest.raises(UnknownService):
        kernel.find("z")


def test_random_sources_repeat_by_seed_and_differ_by_name():
    draws = [RandomSources(1, "i").named(name).random() for name in ("a", "a", "b")]
    assert draws[0] == draws[1] != draws[2]

"""Stand-ins for what the soak's checks look at."""


class Gateway:
    """Stand for a gateway that was left alone for a time."""

    def __init__(self, undisturbed_s: float = 100.0) -> None:
        self.name, self.starts, self.started_at = "g", 1, 0.0
        self._undisturbed_s = undisturbed_s

    def undisturbed_s(self) -> float:
        """Return for how long it was left alone."""
        return self._undisturbed_s


class Clock:
    """Stand for the module `time` with a clock that is set by hand."""

    def __init__(self) -> None:
        self.now = 1e6

    def monotonic(self) -> float:
        """Return the time that was set."""
        return self.now

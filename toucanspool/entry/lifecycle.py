"""The lifecycle state of an entry."""


class Lifecycle:
    """Hold whether this entry is leaving; it is then not ready and not listed."""

    __slots__ = ("leaving",)

    def __init__(self) -> None:
        self.leaving = False

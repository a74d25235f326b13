"""Whether an entry stays or leaves."""


class Lifecycle:
    """Hold whether this entry leaves, for readiness and address answers."""

    __slots__ = ("leaving",)

    def __init__(self) -> None:
        self.leaving = False

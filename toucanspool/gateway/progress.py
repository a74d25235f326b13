"""The attempts of one call so far."""


class CallProgress:
    """Track the attempts of one call.

    Attributes
    ----------
    sends : int
        Attempts that may have reached an upstream.
    runs : int
        Attempts that may have run.
    connect_failures : int
        Attempts that could not connect.
    tried : set of str
        Names of upstreams that have failed the call.
    began_at : float or None
        When the answer of the current attempt began, in seconds on the monotonic
        clock; None before.
    sound : bool
        Whether the current attempt has shown that the prompt crashes no upstream.
    """

    __slots__ = (
        "began_at",
        "connect_failures",
        "runs",
        "sends",
        "sound",
        "tried",
    )

    def __init__(self) -> None:
        self.began_at: float | None = None
        self.sound = False
        self.sends = 0
        self.runs = 0
        self.connect_failures = 0
        self.tried: set[str] = set()

    def start_attempt(self) -> None:
        """Forget what concerns the attempt before."""
        self.began_at = None
        self.sound = False

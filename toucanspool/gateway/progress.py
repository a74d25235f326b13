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
    sent_at : float
        When the current attempt began, in seconds on the monotonic clock.
    began_at : float or None
        When the answer of the current attempt began, in seconds on the monotonic
        clock; None before.
    sound : bool
        Whether the current attempt has shown that the call crashes no upstream.
    """

    __slots__ = (
        "began_at",
        "connect_failures",
        "runs",
        "sends",
        "sent_at",
        "sound",
        "tried",
    )

    def __init__(self) -> None:
        self.began_at: float | None = None
        self.sound = False
        self.sends = 0
        self.sent_at = 0.0
        self.runs = 0
        self.connect_failures = 0
        self.tried: set[str] = set()

    def start_attempt(self, now: float) -> None:
        """Forget what concerns the attempt before.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        self.sent_at = now
        self.began_at = None
        self.sound = False

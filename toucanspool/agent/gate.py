"""The check before a call is sent to an upstream, and the error of a failed call."""

from typing import Protocol

from toucanspool.wire.gen.messages.ttypes import Open, Outcome, Refusal

RETRY_AFTER_MS = 1000


class CallFailed(Exception):
    """Report that a call ends without a complete reply.

    Parameters
    ----------
    outcome : int
        One of `Outcome`: whether the upstream may have run the call.
    refusal : int
        One of `Refusal`: the reason.
    detail : str
        A sentence that describes the failure.
    retry_after_ms : int, default=RETRY_AFTER_MS
        Time after which the entry may try again; 0 if a retry is pointless.
    """

    def __init__(
        self,
        outcome: int,
        refusal: int,
        detail: str,
        *,
        retry_after_ms: int = RETRY_AFTER_MS,
    ) -> None:
        super().__init__(detail)
        self.outcome = outcome
        self.refusal = refusal
        self.detail = detail
        self.retry_after_ms = retry_after_ms


class Gate(Protocol):
    """Decide whether a call may be sent to the upstream now."""

    def check(self, request: Open) -> None:
        """Return if the call may start, raise otherwise.

        Parameters
        ----------
        request : Open
            Message that opened the call.

        Raises
        ------
        CallFailed
            The call must not be sent to the upstream.
        """
        ...


def incomplete_reply() -> CallFailed:
    """Return the failure of a call whose reply was cut off."""
    return CallFailed(
        Outcome.UNKNOWN, Refusal.BROKEN, "The upstream's reply did not come whole."
    )


def late_reply() -> CallFailed:
    """Return the failure of a call whose reply took too long."""
    return CallFailed(
        Outcome.UNKNOWN, Refusal.DEADLINE, "The upstream's reply did not come in time."
    )

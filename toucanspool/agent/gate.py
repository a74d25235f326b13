"""The last check before an upstream, and its refusal."""

from typing import Protocol

from toucanspool.wire.gen.messages.ttypes import Open

RETRY_AFTER_MS = 1000


class CallRefused(Exception):
    """Report that a call ends without a whole reply.

    Parameters
    ----------
    outcome : int
        One of `Outcome`: what is known of the call.
    refusal : int
        One of `Refusal`.
    detail : str
        What happened, in a sentence.
    retry_after_ms : int, default=RETRY_AFTER_MS
        Time after which another attempt makes sense; 0 where none does.
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
    """Say whether a call may start now."""

    def check(self, opened: Open) -> None:
        """Pass a call or refuse it.

        Parameters
        ----------
        opened : Open
            The call.

        Raises
        ------
        CallRefused
            The call must not start here.
        """
        ...

"""Refusals of at-most-once calls, each with the outcome that is certain.

``NOT_RUN`` applies to the refused attempt only: an earlier attempt with the same key
keeps the outcome that was reported for it.
"""

from toucanspool.wire.gen.messages.ttypes import Outcome, Refusal

SHORT_RETRY_AFTER_S = 1.0
LONG_RETRY_AFTER_S = 5.0


class ClaimRefused(Exception):
    """Report that a call must not run.

    Parameters
    ----------
    detail : str
        Human-readable reason, sent with the refusal.
    retry_after_s : float, optional
        Seconds after which a retry may succeed; 0 if no retry can.

    Attributes
    ----------
    outcome : int
        One of `Outcome`: whether the attempt may have run.
    refusal : int
        One of `Refusal`.
    """

    outcome: int = Outcome.NOT_RUN
    refusal: int = Refusal.TABLE_DOWN
    default_retry_after_s: float = LONG_RETRY_AFTER_S

    def __init__(self, detail: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after_s = (
            self.default_retry_after_s if retry_after_s is None else retry_after_s
        )


class TableDown(ClaimRefused):
    """Report that the claim was not recorded; the attempt did not run."""


class DeadlinePassed(ClaimRefused):
    """Report that the deadline passed before the call started; it did not run."""

    refusal = Refusal.DEADLINE
    default_retry_after_s = SHORT_RETRY_AFTER_S


class KeyReused(ClaimRefused):
    """Report a key already used for a different call; the attempt did not run."""

    refusal = Refusal.KEY_REUSED
    default_retry_after_s = 0.0


class InProgress(ClaimRefused):
    """Report a key that another attempt has started and not finished."""

    outcome = Outcome.UNKNOWN
    refusal = Refusal.IN_PROGRESS
    default_retry_after_s = SHORT_RETRY_AFTER_S


class Abandoned(InProgress):
    """Report a key whose agent was lost.

    The outcome of the key stays unknown, and the key never runs again.
    """

    refusal = Refusal.UNCERTAIN
    default_retry_after_s = 0.0


class ResponseGone(ClaimRefused):
    """Report a key that was used, and whose response can't be recovered."""

    outcome = Outcome.UNKNOWN
    refusal = Refusal.UNCERTAIN
    default_retry_after_s = 0.0


class ResponseUnavailable(ClaimRefused):
    """Report a key that ran, and whose response the object store can't return now."""

    outcome = Outcome.UNKNOWN
    refusal = Refusal.UNCERTAIN

"""Refusals of protected calls, each with its true outcome.

``NOT_RUN`` speaks of the refused attempt alone: an earlier attempt with the same
key keeps the outcome that it was told.
"""

from toucanspool.wire.gen.messages.ttypes import Outcome, Refusal

RETRY_SOON_S = 1.0
RETRY_LATER_S = 5.0


class ClaimRefused(Exception):
    """Base of the refusals.

    Parameters
    ----------
    detail : str
        What happened, in a sentence.
    retry_after_s : float, optional
        Seconds after which a new attempt makes sense; 0 where none does.

    Attributes
    ----------
    outcome : int
        One of `Outcome`: what is known of the attempt.
    refusal : int
        One of `Refusal`.
    """

    outcome: int = Outcome.NOT_RUN
    refusal: int = Refusal.TABLE_DOWN
    default_retry_s: float = RETRY_LATER_S

    def __init__(self, detail: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after_s = (
            self.default_retry_s if retry_after_s is None else retry_after_s
        )


class TableDown(ClaimRefused):
    """Report that no claim could be recorded; the attempt was not run."""


class DeadlinePassed(ClaimRefused):
    """Report that the deadline passed before the start; the attempt was not run."""

    refusal = Refusal.DEADLINE
    default_retry_s = RETRY_SOON_S


class KeyReused(ClaimRefused):
    """Report a key that stands for another body; the attempt was not run."""

    refusal = Refusal.KEY_REUSED
    default_retry_s = 0.0


class InProgress(ClaimRefused):
    """Report a key that another attempt has started and not finished."""

    outcome = Outcome.UNKNOWN
    refusal = Refusal.IN_PROGRESS
    default_retry_s = RETRY_SOON_S


class Abandoned(InProgress):
    """Report a key whose agent has gone: it is unknown for ever, and never run."""

    refusal = Refusal.UNCERTAIN
    default_retry_s = 0.0


class ResponseGone(ClaimRefused):
    """Report a key that ran, and whose answer is no longer kept."""

    outcome = Outcome.UNKNOWN
    refusal = Refusal.UNCERTAIN
    default_retry_s = 0.0


class ResponseUnavailable(ClaimRefused):
    """Report a key that ran, and whose answer the object store can't give now."""

    outcome = Outcome.UNKNOWN
    refusal = Refusal.UNCERTAIN

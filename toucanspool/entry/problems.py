"""Errors returned to callers as `application/problem+json` (RFC 9457)."""

import math
from typing import Any

import falcon
import orjson

from toucanspool.wire.gen.messages.ttypes import Outcome, Refusal

PROBLEM_JSON = "application/problem+json"
TYPE_PREFIX = "urn:toucanspool:problem:"
OUTCOMES = {Outcome.NOT_RUN: "not_run", Outcome.UNKNOWN: "unknown"}


class Problem(Exception):
    """Report an error that is returned to the caller.

    Parameters
    ----------
    status : int
        HTTP status code.
    kind : str
        Last part of the problem's type URN.
    detail : str
        Description in a sentence.
    outcome : int, default=Outcome.NOT_RUN
        One of `Outcome`: whether the request may have run.
    retry_after_s : float, default=0.0
        Time after which the caller may retry, in seconds; 0 if it shouldn't.
    """

    def __init__(
        self,
        status: int,
        kind: str,
        detail: str,
        *,
        outcome: int = Outcome.NOT_RUN,
        retry_after_s: float = 0.0,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.kind = kind
        self.detail = detail
        self.outcome = outcome
        self.retry_after_s = retry_after_s

    def body(self, request_id: str) -> dict[str, Any]:
        """Return the members of the JSON object.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        dict
        """
        return {
            "type": TYPE_PREFIX + self.kind,
            "title": self.kind.replace("-", " ").capitalize(),
            "status": self.status,
            "detail": self.detail,
            "outcome": OUTCOMES[self.outcome],
            "request_id": request_id,
        }

    def event(self, request_id: str) -> bytes:
        """Return a server-sent event that ends a stream with this problem.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        bytes
        """
        return b"event: error\ndata: " + orjson.dumps(self.body(request_id)) + b"\n\n"

    def write(self, resp: falcon.Response, request_id: str) -> None:
        """Write the problem to a response.

        Parameters
        ----------
        resp : falcon.Response
            Response to write to.
        request_id : str
            Id of the request.
        """
        resp.status = self.status
        resp.content_type = PROBLEM_JSON
        resp.stream = None
        resp.data = orjson.dumps(self.body(request_id))
        if self.retry_after_s:
            resp.set_header("Retry-After", str(math.ceil(self.retry_after_s)))


_BY_REFUSAL = {
    Refusal.DRAINING: (503, "draining"),
    Refusal.BUSY: (503, "overloaded"),
    Refusal.DEADLINE: (504, "deadline-passed"),
    Refusal.WRONG_UPSTREAM: (503, "no-upstream"),
    Refusal.TABLE_DOWN: (503, "platform-unavailable"),
    Refusal.IN_PROGRESS: (409, "in-progress"),
    Refusal.KEY_REUSED: (422, "idempotency-key-reused"),
    Refusal.UNREACHABLE: (503, "upstream-unreachable"),
    Refusal.CANCELLED: (409, "cancelled"),
    Refusal.NO_CONFIG: (503, "no-configuration"),
    Refusal.BROKEN: (502, "upstream-broken"),
    Refusal.UNCERTAIN: (409, "outcome-unknown"),
}


def from_refusal(
    refusal: int, outcome: int, detail: str, *, retry_after_s: float
) -> Problem:
    """Return the problem for a refusal by an agent.

    Parameters
    ----------
    refusal : int
        One of `Refusal`.
    outcome : int
        One of `Outcome`.
    detail : str
        Description in a sentence.
    retry_after_s : float
        Time after which the caller may retry, in seconds; 0 if it shouldn't.

    Returns
    -------
    Problem
    """
    status, kind = _BY_REFUSAL[refusal]
    return Problem(status, kind, detail, outcome=outcome, retry_after_s=retry_after_s)

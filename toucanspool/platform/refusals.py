"""HTTP statuses and bodies of refusals."""

import orjson

from toucanspool.gateway.call import RefusalCause, Refused

_STATUS_BY_CAUSE = {
    RefusalCause.NO_CONFIG: 503,
    RefusalCause.NO_ROUTE: 404,
    RefusalCause.NO_KEY: 401,
    RefusalCause.NO_UPSTREAM: 503,
    RefusalCause.EVACUATED: 503,
    RefusalCause.OUTSIDE_REGIONS: 503,
    RefusalCause.LIMITED: 503,
    RefusalCause.NO_ROOM: 503,
    RefusalCause.WAITED: 503,
    RefusalCause.DRAINING: 503,
    RefusalCause.UNREACHABLE: 503,
    RefusalCause.TURNED_AWAY: 503,
    RefusalCause.DEADLINE: 503,
    RefusalCause.MAYBE_RUN: 502,
    RefusalCause.BROKEN: 502,
    RefusalCause.QUARANTINED: 503,
    RefusalCause.BAD_REQUEST: 400,
    RefusalCause.BODY_TOO_LARGE: 413,
    RefusalCause.BODY_TOO_SLOW: 408,
    RefusalCause.NO_MEMORY: 503,
}
# Replacements for statuses that would promise that the call was not run.
_STATUS_IF_MAY_HAVE_RUN = {503: 504}


def refusal_status(refused: Refused) -> int:
    """Return the HTTP status of a refusal.

    Parameters
    ----------
    refused : Refused
        The refusal.

    Returns
    -------
    int
    """
    status = _STATUS_BY_CAUSE[refused.cause]
    if refused.may_have_run:
        status = _STATUS_IF_MAY_HAVE_RUN.get(status, status)
    return status


def refusal_body(refused: Refused) -> bytes:
    """Return the body of a refusal, a problem in JSON.

    Parameters
    ----------
    refused : Refused
        The refusal.

    Returns
    -------
    bytes
    """
    return orjson.dumps(
        {
            "title": refused.cause.value,
            "status": refusal_status(refused),
            "outcome": "unknown" if refused.may_have_run else "not_run",
        }
    )

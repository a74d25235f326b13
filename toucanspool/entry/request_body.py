"""Reading of the bodies of an entry's requests."""

import falcon

from toucanspool.entry.problems import Problem
from toucanspool.limits.memory_budget import RETRY_AFTER_S
from toucanspool.wire.bounded_handler import BoundedHandler
from toucanspool.wire.http_server import HANDLER_KEY
from toucanspool.wire.request_body import BodyNotHeld, BodyTooLarge, BodyTooSlow


def read_body(req: falcon.Request, max_bytes: int, timeout_s: float) -> bytes:
    """Return the body of a request.

    Parameters
    ----------
    req : falcon.Request
        The request.
    max_bytes : int
        Limit on the size of its body.
    timeout_s : float
        Limit on the time until it has arrived, in seconds.

    Returns
    -------
    bytes

    Raises
    ------
    Problem
        The body is too large, comes too slowly or is cut off, or can't be held.
    """
    handler: BoundedHandler = req.env[HANDLER_KEY]
    try:
        return handler.read_body(max_bytes, timeout_s)
    except BodyTooLarge as exc:
        detail = f"The request's body has more than {max_bytes} bytes."
        raise Problem(413, "body-too-large", detail) from exc
    except BodyTooSlow as exc:
        detail = "The request's body came too slowly."
        raise Problem(408, "body-too-slow", detail) from exc
    except BodyNotHeld as exc:
        detail = "The entry holds too much for other requests."
        raise Problem(503, "overloaded", detail, retry_after_s=RETRY_AFTER_S) from exc
    except OSError as exc:
        detail = "The request's body was cut off."
        raise Problem(400, "body-cut-off", detail) from exc

"""Errors on the connections of clients."""

import errno
from collections.abc import Sequence
from http import HTTPStatus


def evicted_error() -> ConnectionResetError:
    """Return the error for a connection that was closed for another client."""
    return ConnectionResetError(errno.ECONNRESET, "evicted")


def is_client_error(exc: BaseException) -> bool:
    """Return whether an error tells that a client has left or is silent."""
    # The library reports a body that was cut off without a number.
    cut_off = type(exc) is OSError and exc.errno is None
    return cut_off or isinstance(exc, ConnectionError | TimeoutError)


def head_error_response(status: HTTPStatus, more_lines: Sequence[str]) -> bytes:
    """Return the response to a head that was not read.

    Parameters
    ----------
    status : HTTPStatus
        Why it was not read.
    more_lines : sequence of str
        Further header lines.

    Returns
    -------
    bytes
    """
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Connection: close",
        "Content-Length: 0",
        *more_lines,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()

"""Answers of upstreams over every status, media type and framing."""

from standins.raw_upstream import ReceivedRequest
from toucanspool.platform import headers as names

SUCCESSES = [
    "200 OK",
    "201 Created",
    "202 Accepted",
    "204 No Content",
    "206 Partial Content",
]
FAILURES = [
    "400 Bad Request",
    "404 Not Found",
    "408 Request Timeout",
    "421 Misdirected Request",
    "429 Too Many Requests",
    "500 Internal Server Error",
    "502 Bad Gateway",
    "503 Service Unavailable",
    "504 Gateway Timeout",
]
STATUSES = [*SUCCESSES, "302 Found", "304 Not Modified", *FAILURES]
# They tell callers that a call was not run.
PROMISES = (408, 421, 429, 503)
BODILESS = ("204", "304")
MEDIA_TYPES = ["", "application/json", "text/html", "text/event-stream"]
FRAMINGS = ["length", "chunks", "close"]


def answer(
    request: ReceivedRequest,
    body: bytes,
    *,
    status: str,
    media_type: str = "",
    framing: str = "length",
    mark: str = "",
) -> bytes:
    """Return the bytes of a signed answer.

    Parameters
    ----------
    request : ReceivedRequest
        The request that it answers.
    body : bytes
        Its body; left out where the status has none.
    status : str
        Code and reason phrase.
    media_type : str, default=""
        Value of ``Content-Type``; empty for no such header.
    framing : str, default="length"
        What says where the body ends, one of `FRAMINGS`.
    mark : str, default=""
        Name of a further header.

    Returns
    -------
    bytes
    """
    lines = [f"HTTP/1.1 {status}", f"{names.SIGNATURE}: s.2"]
    lines.append(f"{names.ATTEMPT_ID}: {request.header(names.ATTEMPT_ID)}")
    lines += [f"Content-Type: {media_type}"] if media_type else []
    lines += [f"{mark}: 1"] if mark else []
    if status.startswith(BODILESS):
        body = b""
    elif framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
        body = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

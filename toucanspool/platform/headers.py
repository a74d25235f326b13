"""The platform's headers on calls and replies; implements `Dialect`."""

from collections.abc import Mapping, Sequence

from toucanspool.gateway.call import Call, Header
from toucanspool.gateway.dialect import ReplyHead

ATTEMPT_ID = "toucanspool-attempt-id"
DEADLINE_MS = "toucanspool-deadline-ms"
EXPECT_INSTANCE = "toucanspool-expect-instance"
LAST_EVENT_ID = "last-event-id"
NOT_EXECUTED = "toucanspool-not-executed"
PRIORITY = "toucanspool-request-priority"
# Running and waiting requests and slots of the upstream.
SERVER_LOAD = "toucanspool-server-load"
SIGNATURE = "toucanspool-server-signature"
TENANT = "toucanspool-tenant"
# Prompt tokens and the most answer tokens.
TOKENS = "toucanspool-token-count"
ANSWER_TOKENS_HINT = "toucanspool-length-hint"

MISDIRECTED = 421

# Headers of one connection (RFC 9110, 7.6.1), and those set anew for each hop.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
SET_HERE = frozenset(
    {"authorization", "host", DEADLINE_MS, EXPECT_INSTANCE, LAST_EVENT_ID, TENANT}
) | {PRIORITY}


class PlatformDialect:
    """Translate between calls and the platform's headers."""

    __slots__ = ()

    def request_headers(
        self, call: Call, *, upstream: str, left_ms: int, last_event_id: str
    ) -> list[Header]:
        """Return all headers of the request to an upstream; see `Dialect`."""
        headers = [("Host", call.route.host), *call.headers]
        headers.append((DEADLINE_MS, str(left_ms)))
        headers.append((EXPECT_INSTANCE, upstream))
        headers.append(("Connection", "close"))
        if call.team:
            headers.append((TENANT, call.team))
        if last_event_id:
            headers.append((LAST_EVENT_ID, last_event_id))
        if call.body or call.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(call.body))))
        return headers

    def parse_reply_head(self, status: int, headers: Sequence[Header]) -> ReplyHead:
        """Return what a reply's head tells; see `Dialect`."""
        known = {name.lower(): value for name, value in headers}
        running, waiting = _load(known.get(SERVER_LOAD, ""))
        return ReplyHead(
            call_id=known.get(ATTEMPT_ID, ""),
            signed=SIGNATURE in known,
            not_run=NOT_EXECUTED in known or status == MISDIRECTED,
            retry_after_s=number(known.get("retry-after", ""), 0.0),
            running=running,
            waiting=waiting,
            headers=[(n, v) for n, v in headers if n.lower() not in HOP_BY_HOP],
        )


def passed_on(headers: Sequence[Header]) -> list[Header]:
    """Return the headers of a caller that go to the upstream.

    Parameters
    ----------
    headers : sequence of (str, str)
        The caller's.

    Returns
    -------
    list of (str, str)
    """
    named: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            named.update(part.strip().lower() for part in value.split(","))
    dropped = HOP_BY_HOP | SET_HERE | named
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def sizes(headers: Mapping[str, str]) -> tuple[int, int]:
    """Return prompt and answer tokens that a caller announces.

    Parameters
    ----------
    headers : mapping of str to str
        By name in lower case.

    Returns
    -------
    tuple of int
    """
    prompt, _, most = headers.get(TOKENS, "").partition(",")
    hint = number(headers.get(ANSWER_TOKENS_HINT, ""), 0.0)
    most_tokens = number(most, 0.0)
    answer = min(hint, most_tokens) if hint and most_tokens else hint or most_tokens
    return int(number(prompt, 0.0)), int(answer)


def number(text: str, default: float) -> float:
    """Return a header's number, or a default where it holds none."""
    try:
        value = float(text)
    except ValueError:
        return default
    return value if value >= 0.0 else default


def _load(text: str) -> tuple[int | None, int | None]:
    parts = text.split(",")
    try:
        return int(parts[0]), int(parts[1])
    except (ValueError, IndexError):
        return None, None

"""The platform's headers on requests and replies; implements `Dialect`."""

import math
from collections.abc import Mapping, Sequence

from toucanspool.gateway.call import Call
from toucanspool.gateway.dialect import ReplyHead
from toucanspool.wire.reply_parser import Header

ATTEMPT_ID = "toucanspool-attempt-id"
# Time for which the upstream stays cold, in health replies.
COLD_MS = "toucanspool-cold-ms"
DEADLINE_MS = "toucanspool-deadline-ms"
EXPECT_INSTANCE = "toucanspool-expect-instance"
LAST_EVENT_ID = "last-event-id"
LEAVING = "server-leaving"
NOT_EXECUTED = "toucanspool-not-executed"
# "ID:TOKENS,..." of the parts of a prompt; the last part is the request's own.
PREFIX_HASH = "toucanspool-prefix-hash"
PRIORITY = "toucanspool-request-priority"
# The least urgent priority that engines know; 0 is the most urgent.
MAX_PRIORITY = 9
# Requests a second that the upstream takes from all machines together.
SERVER_LIMIT = "server-limit"
# "RUNNING,WAITING,SLOTS" of the upstream.
SERVER_LOAD = "toucanspool-server-load"
SIGNATURE = "toucanspool-server-signature"
TENANT = "toucanspool-tenant"
# "PROMPT,ANSWER": tokens of the prompt and the maximum of the answer.
TOKEN_COUNT = "toucanspool-token-count"
# Expected answer tokens.
LENGTH_HINT = "toucanspool-length-hint"

MISDIRECTED_REQUEST = 421
# Callers send a call again that got one of these, even if it may run only once.
NOT_RUN_STATUSES = (408, MISDIRECTED_REQUEST, 429, 503)
MS_PER_S = 1000.0
# Larger numbers in headers are mistakes; the longest time is some days in milliseconds.
MAX_NUMBER = 1e9

# Headers that concern one connection (RFC 9110, 7.6.1) or are generated for each hop.
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
# Headers that the gateway consumes or sets itself, so that callers can't forge them.
REPLACED = frozenset(
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
        if call.ordered:
            headers.append((PRIORITY, str(min(call.urgency, MAX_PRIORITY))))
        if last_event_id:
            headers.append((LAST_EVENT_ID, last_event_id))
        if call.body or call.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(call.body))))
        return headers

    def parse_reply_head(self, status: int, headers: Sequence[Header]) -> ReplyHead:
        """Parse the head of a reply; see `Dialect`."""
        values = {name.lower(): value for name, value in headers}
        running, waiting = _parse_load(values.get(SERVER_LOAD, ""))
        return ReplyHead(
            call_id=values.get(ATTEMPT_ID, ""),
            signed=SIGNATURE in values,
            not_run=NOT_EXECUTED in values or status == MISDIRECTED_REQUEST,
            promises_not_run=status in NOT_RUN_STATUSES,
            misdirected=status == MISDIRECTED_REQUEST,
            retry_after_s=parse_number(values.get("retry-after", ""), 0.0),
            leaving=values.get(LEAVING) == "1",
            request_limit=_parse_request_limit(values.get(SERVER_LIMIT)),
            running=running,
            waiting=waiting,
            headers=[(n, v) for n, v in headers if n.lower() not in HOP_BY_HOP],
        )


def forwarded_headers(headers: Sequence[Header]) -> list[Header]:
    """Return the request headers to forward to the upstream.

    Parameters
    ----------
    headers : sequence of (str, str)
        Headers of the caller's request.

    Returns
    -------
    list of (str, str)
    """
    connection_options: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            connection_options.update(part.strip().lower() for part in value.split(","))
    dropped = HOP_BY_HOP | REPLACED | connection_options
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def parse_token_counts(headers: Mapping[str, str]) -> tuple[int, int]:
    """Parse the numbers of tokens that a caller expects.

    Parameters
    ----------
    headers : mapping of str to str
        Headers by lower-case name.

    Returns
    -------
    tuple of int
        Prompt tokens and answer tokens; 0 if unknown.
    """
    prompt, _, maximum = headers.get(TOKEN_COUNT, "").partition(",")
    hint = parse_number(headers.get(LENGTH_HINT, ""), 0.0)
    max_tokens = parse_number(maximum, 0.0)
    answer = min(hint, max_tokens) if hint and max_tokens else hint or max_tokens
    return int(parse_number(prompt, 0.0)), int(answer)


def parse_shared_prompt(headers: Mapping[str, str]) -> tuple[str, ...]:
    """Parse the parts of a prompt that other requests may share.

    Parameters
    ----------
    headers : mapping of str to str
        Headers by lower-case name.

    Returns
    -------
    tuple of str
        Ids of the parts, in order.
    """
    parts = headers.get(PREFIX_HASH, "").split(",")
    ids = (part.partition(":")[0].strip() for part in parts[:-1])
    return tuple(part_id for part_id in ids if part_id)


def parse_cold_s(headers: Mapping[str, str]) -> float | None:
    """Parse for how long a health reply says that its upstream stays cold.

    Parameters
    ----------
    headers : mapping of str to str
        Headers by lower-case name.

    Returns
    -------
    float or None
        Seconds; None if it doesn't say, or the number can't be read.
    """
    cold_ms = parse_number(headers.get(COLD_MS, ""), math.nan)
    return cold_ms / MS_PER_S if cold_ms < math.inf else None


def parse_number(text: str, default: float) -> float:
    """Parse a number from 0 to `MAX_NUMBER`; return a default if the text is none."""
    try:
        value = float(text)
    except ValueError:
        return default
    return value if 0.0 <= value <= MAX_NUMBER else default


def _parse_request_limit(text: str | None) -> float:
    if text is None:
        return math.inf
    return parse_number(text, math.nan)


def _parse_load(text: str) -> tuple[int | None, int | None]:
    running, _, rest = text.partition(",")
    loads = [parse_number(part, math.nan) for part in (running, rest.partition(",")[0])]
    if any(math.isnan(load) for load in loads):
        return None, None
    return int(loads[0]), int(loads[1])

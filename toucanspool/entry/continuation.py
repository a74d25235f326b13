"""The request that goes on with a broken stream elsewhere.

The started answer is sent as the last message, and the engine is asked to go on
with it: ``continue_final_message``, as engines that speak the usual chat form
have it.
"""

from typing import Any

import orjson

from toucanspool.wire.events import DATA_PREFIX, DONE_EVENT, EVENT_END

LENGTH_FIELDS = ("max_tokens", "max_completion_tokens")


class CannotContinue(Exception):
    """Report a stream that no other upstream can go on with."""


class NothingLeft(Exception):
    """Report a stream of which only the end is missing."""


def answered_text(relayed: bytes) -> tuple[str, int, bool]:
    """Return the text in the events relayed so far.

    Parameters
    ----------
    relayed : bytes
        Whole server-sent events.

    Returns
    -------
    text : str
        The answer so far.
    tokens : int
        Events that carried text.
    finished : bool
        Whether an event said why the answer ended.

    Raises
    ------
    CannotContinue
        The events are not of one plain text answer.
    """
    parts = []
    finished = False
    for event in relayed.split(EVENT_END):
        if not event.startswith(DATA_PREFIX) or event + EVENT_END == DONE_EVENT:
            continue
        content, ended = _delta(event[len(DATA_PREFIX) :])
        parts.extend([content] if content else [])
        finished = finished or ended
    return "".join(parts), len(parts), finished


def continue_body(body: bytes, text: str, tokens: int) -> bytes:
    """Return the body that asks for the rest of an answer.

    Parameters
    ----------
    body : bytes
        The caller's body.
    text : str
        The answer so far.
    tokens : int
        Tokens of it.

    Returns
    -------
    bytes

    Raises
    ------
    CannotContinue
        The request can't be continued.
    NothingLeft
        The caller has all tokens that it asked for.
    """
    if not text:
        return body
    request = orjson.loads(body)
    if request.get("n", 1) != 1 or request.get("tools"):
        raise CannotContinue("only one plain answer can be continued")
    messages = [*request["messages"], {"role": "assistant", "content": text}]
    request["messages"] = messages
    request["continue_final_message"] = True
    request["add_generation_prompt"] = False
    for name in LENGTH_FIELDS:
        if request.get(name):
            request[name] -= tokens
            if request[name] <= 0:
                raise NothingLeft
    return orjson.dumps(request)


def last_events(relayed: bytes) -> bytes:
    """Return the end of a stream whose last text has been relayed.

    Parameters
    ----------
    relayed : bytes
        Whole server-sent events, at least one.

    Returns
    -------
    bytes
        An event that says that the length was reached, and the last one.
    """
    last = relayed.rstrip(b"\n").rsplit(EVENT_END, 1)[-1]
    event = orjson.loads(last[len(DATA_PREFIX) :])
    event["choices"] = [{"index": 0, "delta": {}, "finish_reason": "length"}]
    return DATA_PREFIX + orjson.dumps(event) + EVENT_END + DONE_EVENT


def _delta(data: bytes) -> tuple[str, bool]:
    try:
        choices: list[dict[str, Any]] = orjson.loads(data).get("choices") or []
    except orjson.JSONDecodeError as exc:
        raise CannotContinue("an event is not JSON") from exc
    if not choices:
        return "", False
    if len(choices) > 1 or choices[0].get("index", 0) != 0:
        raise CannotContinue("more than one answer")
    delta = choices[0].get("delta") or {}
    if delta.get("tool_calls"):
        raise CannotContinue("tool calls")
    return delta.get("content") or "", bool(choices[0].get("finish_reason"))

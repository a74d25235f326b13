"""Validation of the body of a chat completion."""

from typing import Any

import orjson

from toucanspool.entry.problems import Problem

ROLES = frozenset({"system", "developer", "user", "assistant", "tool"})


def parse_chat_body(body: bytes) -> dict[str, Any]:
    """Parse and validate the body of a chat completion.

    Parameters
    ----------
    body : bytes
        JSON in the usual form of chat completions.

    Returns
    -------
    dict
        Fields of the body.

    Raises
    ------
    Problem
        The body is not JSON or has an invalid field.
    """
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise Problem(400, "not-json", "The body is not JSON.") from exc
    error = _find_error(fields)
    if error:
        raise Problem(422, "bad-request", error)
    return fields


def _find_error(fields: Any) -> str:
    if not isinstance(fields, dict):
        return "The body must be a JSON object."
    if not isinstance(fields.get("model"), str) or not fields["model"]:
        return "model must be a name."
    if not isinstance(fields.get("stream", False), bool):
        return "stream must be true or false."
    tokens = fields.get("max_tokens")
    if tokens is not None and (type(tokens) is not int or tokens < 1):
        return "max_tokens must be a whole number from 1."
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        return "messages must be a list of at least one message."
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or message.get("role") not in ROLES:
            return f"messages[{index}] must have a role of {', '.join(sorted(ROLES))}."
        if not isinstance(message.get("content"), str | list | None):
            return f"messages[{index}].content must be text or a list."
    return ""

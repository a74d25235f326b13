"""Rendering of the deploy file's templates, as DEPLOY.md describes it."""

import json
import re
from typing import Any

_TAG = re.compile(r"{{([#^/]?)([^{}|]+)(\|json)?}}")


def render(text: str, fields: dict[str, Any]) -> str:
    """Fill in a template.

    Parameters
    ----------
    text : str
        The template: placeholders, and sections for values that are true or present.
    fields : dict
        The platform's fields of the process.

    Returns
    -------
    str
    """
    out: list[str] = []
    # Whether each open section is shown.
    shown = [True]
    end = 0
    for match in _TAG.finditer(text):
        if all(shown):
            out.append(text[end : match.start()])
        end = match.end()
        mark, name, as_json = match.groups()
        value = _find(fields, name)
        if mark == "#":
            shown.append(bool(value))
        elif mark == "^":
            shown.append(not value)
        elif mark == "/":
            shown.pop()
        elif all(shown):
            out.append(_format(value, as_json is not None))
    out.append(text[end:])
    return "".join(out)


def _find(fields: dict[str, Any], name: str) -> Any:
    value: Any = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def _format(value: Any, as_json: bool) -> str:
    if as_json or isinstance(value, dict):
        return json.dumps(value)
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return "" if value is None else str(value)

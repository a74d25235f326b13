"""Checks of values from JSON, whose types and sizes other processes decide."""

import math
import re
import reprlib
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

MAX_PORT = 65535
MAX_HOST_CHARS = 253
MAX_LABEL_CHARS = 63
MAX_BRIEF_CHARS = 80
MAX_NUMBER = 1e15
# What decoding raises if a value has another type or form, or is missing. The JSON
# decoder accepts values that are nested too deeply to be printed or compared, and
# numbers that can't be converted.
DECODING_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)

# Names and IP addresses. For other characters, connecting raises errors of URLs and of
# the encoding of names, not `OSError`.
_HOST = re.compile(r"[A-Za-z0-9._:-]+")

_VISIBLE = re.compile(r"[!-~]+")

_brief = reprlib.Repr()
_brief.maxlevel = 3
_brief.maxstring = _brief.maxother = MAX_BRIEF_CHARS


def brief(value: Any) -> str:
    """Return the start of a value for a log or error, however deeply it is nested."""
    return _brief.repr(value)[:MAX_BRIEF_CHARS]


@contextmanager
def decoding(error: type[Exception]) -> Iterator[None]:
    """Raise an error of the caller's kind in place of `DECODING_ERRORS`."""
    try:
        yield
    except DECODING_ERRORS as exc:
        raise error(f"malformed response: {exc!r:.200}") from exc


def text(value: Any) -> str:
    """Return a value that must be a string and not empty."""
    if not isinstance(value, str) or not value:
        raise TypeError(f"not a text: {brief(value)}")
    return value


def optional_text(value: Any) -> str:
    """Return a value that must be a string, which may be empty."""
    if not isinstance(value, str):
        raise TypeError(f"not a text: {brief(value)}")
    return value


def visible_text(value: Any) -> str:
    """Return a value that must be a string of visible ASCII characters.

    Others can't be sent as the value of a header, or arrive as another value.
    """
    if not _VISIBLE.fullmatch(text(value)):
        raise ValueError(f"not a visible text: {brief(value)}")
    return str(value)


def number(value: Any, low: float = 0.0, high: float = MAX_NUMBER) -> float:
    """Return a value that must be a finite number within bounds, as a float."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"not a number: {brief(value)}")
    if not (math.isfinite(value) and low <= value <= high):
        raise ValueError(f"not between {low:g} and {high:g}: {value:g}")
    return float(value)


def integer(value: Any, low: int = 0, high: int = 1 << 53) -> int:
    """Return a value that must be an integer within bounds."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"not an integer: {brief(value)}")
    if not low <= value <= high:
        raise ValueError(f"not between {low} and {high}: {value}")
    return value


def host_text(value: Any) -> str:
    """Return a value that must be a host to which a connection can be opened.

    Connecting to a host with empty or long labels raises no `OSError`.
    """
    host = text(value)
    labels = host.split(".")
    if (
        not _HOST.fullmatch(host)
        or len(host) > MAX_HOST_CHARS
        or not all(0 < len(label) <= MAX_LABEL_CHARS for label in labels)
    ):
        raise ValueError(f"not a host: {brief(host)}")
    return host


def address(value: Any) -> tuple[str, int]:
    """Return host and port of a value that must have the form ``HOST:PORT``."""
    host, _, port = text(value).rpartition(":")
    host_text(host)
    if not (port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))):
        raise ValueError(f"not a port: {brief(port)}")
    return host, integer(int(port), 1, MAX_PORT)


def numbers(value: Any, high: float = MAX_NUMBER) -> dict[str, float]:
    """Return a value that must be a mapping of texts to numbers from 0 to a bound."""
    if not isinstance(value, dict):
        raise TypeError(f"not a mapping: {brief(value)}")
    return {text(key): number(item, high=high) for key, item in value.items()}


def list_of(value: Any) -> list[Any]:
    """Return a value that must be a list."""
    if not isinstance(value, list):
        raise TypeError(f"not a list: {brief(value)}")
    return value

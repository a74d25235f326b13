"""Odd values and rows that another writer of the store may leave."""

from collections.abc import Iterator
from typing import Any

import orjson

from toucanspool.backing.table import Row

# orjson reads 1,024 levels. With the limit of Python, such a value can be neither
# printed nor compared.
MAX_LEVELS = 1024
MAX_ROW_BYTES = 64 * 1024


NESTED = [
    b"[" * levels + b"]" * levels
    for levels in (150, 250, 900, 990, 1000, MAX_LEVELS - 2, MAX_LEVELS - 1, MAX_LEVELS)
] + [b'{"a":' * levels + b"1" + b"}" * levels for levels in (900, 990, MAX_LEVELS - 2)]
NUMBERS = [
    b"0",
    b"-1",
    b"-0.0",
    b"1.5",
    b"65535",
    b"65536",
    b"99999999999",
    b"%d" % (2**53),
    b"%d" % (2**63 - 1),
    b"%d" % 2**63,
    b"%d" % (2**64 - 1),
    b"%d" % 2**64,
    b"-%d" % 2**63,
    b"1e18",
    b"1e300",
    b"1e308",
    b"1e400",
    b"9" * 400,
    b"5e-324",
    b"NaN",
    b"Infinity",
]
TEXTS = [
    "",
    " ",
    "x",
    "nan",
    "inf",
    "1e3",
    "1e400",
    "9" * 5000,
    "\x00",
    "a\x00b",
    "a\r\nX-Injected: 1",
    "\u0663",
    "\u00fc",
    "\U0001f600",
    "x" * 60_000,
    "10.0.0.9:0",
    "10.0.0.9:-1",
    "10.0.0.9:65535",
    "10.0.0.9:65536",
    "10.0.0.9:99999999999",
    "10.0.0.9:1e3",
    "10.0.0.9:\u0663",
    "10.0.0.9: 80",
    "10.0.0.9 :80",
    " 10.0.0.9:80",
    "10.0.0.9\n:80",
    "10.0.0.9\x00:80",
    "10.0.0.9\r\nX-Injected: 1:80",
    "\u0661\u0660.0.0.9:80",
    "\u00ad:80",
    "xn--\u00fc:80",
    "\u00fc" * 62 + ":80",
    ":80",
    "10.0.0.9",
    "a..b:80",
]
OTHERS = [b"null", b"true", b"false", b"[]", b"{}", b"[[]]", b'{"":null}', b"[1,1e308]"]
# No JSON at all, or of a kind that only some parsers read.
UNREADABLE = [b"", b"\xff", b"{", b"[" * 3000, b'"\\ud800"', b'{"a":"\xff"}', b"\x00"]

VALUES = [*NESTED, *NUMBERS, *OTHERS, *map(orjson.dumps, TEXTS)]


def odd_rows(fields: dict[str, Any], *, key: str = "k") -> Iterator[Row]:
    """Yield rows that are odd as a whole, and in each field and each item of one."""
    for value in [*UNREADABLE, *VALUES]:
        yield Row(key, value, 1)
    for path in _paths(fields):
        yield Row(key, _encode(fields, path, None), 1)
        for value in VALUES:
            raw = _encode(fields, path, value)
            if len(raw) <= MAX_ROW_BYTES:
                yield Row(key, raw, 1)


def _paths(data: Any, path: tuple = ()) -> Iterator[tuple]:
    items = data.items() if isinstance(data, dict) else enumerate(data)
    for name, item in items:
        yield (*path, name)
        if isinstance(item, dict | list):
            yield from _paths(item, (*path, name))


def _encode(data: Any, path: tuple, value: bytes | None) -> bytes:
    """Return JSON with another value at a path, or without that field for None."""
    fields = list(data.items() if isinstance(data, dict) else enumerate(data))
    parts = []
    for name, item in fields:
        raw = orjson.dumps(item)
        if name == path[0]:
            if len(path) > 1:
                raw = _encode(item, path[1:], value)
            elif value is None:
                continue
            else:
                raw = value
        parts.append(orjson.dumps(name) + b":" + raw if isinstance(data, dict) else raw)
    opening, closing = (b"{", b"}") if isinstance(data, dict) else (b"[", b"]")
    return opening + b",".join(parts) + closing

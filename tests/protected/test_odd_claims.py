"""Odd rows of claims get the errors that their callers expect.

Guards against a call that is answered 500 because of the row of its key.
"""

from types import SimpleNamespace

import orjson
import pytest

from standins.memory import MemoryObjects
from tests.platform.odd_values import odd_rows
from toucanspool.backing.table import Row, TableError
from toucanspool.protected.errors import (
    Abandoned,
    InProgress,
    KeyReused,
    ResponseGone,
    ResponseUnavailable,
)
from toucanspool.protected.resolution import Replay, resolve_claim
from toucanspool.protected.row import ClaimRow, decode_row, encode_row

DONE = {
    "state": "done",
    "claim": "c1",
    "attempt": "a",
    "body_hash": "h",
    "instance": "agent-1",
    "answer": {
        "status": 201,
        "headers": {"x": "y"},
        "kept": "inline",
        "body": "c2VhdA==",
        "size": 4,
    },
}
EXPECTED = (Abandoned, InProgress, KeyReused, ResponseGone, ResponseUnavailable)
OWN = SimpleNamespace(row=ClaimRow("started", "c2", body_hash="h"), version=0)


def test_an_odd_claim_is_resolved_or_refused():
    for row in odd_rows(DONE):
        try:
            found = resolve_claim(OWN, row, MemoryObjects())
        except EXPECTED:
            continue
        if isinstance(found, Replay):
            assert 100 <= found.response.status <= 599, row.value[:200]


def test_an_odd_claim_that_is_read_can_be_written():
    for row in odd_rows(DONE):
        try:
            decoded = decode_row(row.value)
        except TableError:
            continue
        assert decode_row(encode_row(decoded)) == decoded


@pytest.mark.parametrize("body", ["\u00fc", "a", "=", "a" * 5])
def test_an_answer_that_is_not_base64_is_gone(body):
    value = orjson.dumps({**DONE, "answer": {**DONE["answer"], "body": body}})
    with pytest.raises(ResponseGone):
        resolve_claim(OWN, Row("k", value, 1), MemoryObjects())

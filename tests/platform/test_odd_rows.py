"""Odd rows, whole and in each field, to the edge of what the decoder accepts.

Guards against a row that keeps all others of its table out, because its decoder raises
an error that is not expected from it.
"""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.platform.odd_values import UNREADABLE, VALUES, odd_rows
from tests.platform.test_listings import FIELDS
from tests.platform.test_malformed_input import (
    ENTRY,
    ENTRY_KEY,
    RANK,
    RANK_KEY,
    REPORT,
    REPORT_KEY,
)
from tests.platform.test_operator_configuration import CONFIGURATION
from toucanspool.backing.table import Row
from toucanspool.groups.rank_record import decode_rank
from toucanspool.membership.entry_record import decode_entry
from toucanspool.platform.configuration import BadConfiguration, decode_configuration
from toucanspool.platform.listings import decode_listing
from toucanspool.platform.peer_status import decode_peer_status
from toucanspool.retries.crash_reports import decode_report

LISTING = {**FIELDS, "coldRemainingMs": 100}
DECODERS = {
    "listing": ("i-1", LISTING, decode_listing),
    "entry": (ENTRY_KEY, ENTRY, decode_entry),
    "rank": (RANK_KEY, RANK, decode_rank),
    "report": (REPORT_KEY, REPORT, decode_report),
}
STATUS = {
    "carried": {"s": 1.0},
    "loads": {"s": 1.0},
    "count": 2,
    "lost": ["e2"],
    "limits": [["u", 1, 2.0, 0.1]],
}
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(codec="utf-8"), max_size=20),
    lambda item: (
        st.lists(item, max_size=4)
        | st.dictionaries(st.text(st.characters(codec="utf-8"), max_size=8), item)
    ),
    max_leaves=8,
)


@pytest.mark.parametrize("table", DECODERS)
def test_an_odd_row_is_read_or_refused(table):
    key, fields, decode = DECODERS[table]
    assert decode(Row(key, orjson.dumps(fields), 1)) is not None
    for row in odd_rows(fields, key=key):
        try:
            decode(row)
        except Exception as exc:
            pytest.fail(f"{type(exc).__name__} for {row.value[:200]!r}")


@pytest.mark.parametrize("table", DECODERS)
@settings(derandomize=True, deadline=None)
@given(data=st.data())
def test_a_row_with_any_value_is_read_or_refused(table, data):
    key, fields, decode = DECODERS[table]
    changes = data.draw(st.dictionaries(st.sampled_from(sorted(fields)), JSON))
    decode(Row(key, orjson.dumps({**fields, **changes}), 1))
    decode(Row(key, orjson.dumps(data.draw(JSON)), 1))


def test_an_odd_configuration_is_read_or_refused():
    for row in odd_rows(CONFIGURATION):
        try:
            decode_configuration(row.value)
        except BadConfiguration:
            pass
        except Exception as exc:
            pytest.fail(f"{type(exc).__name__} for {row.value[:200]!r}")


def test_an_odd_peer_status_is_read_or_refused():
    for row in odd_rows(STATUS):
        try:
            body = orjson.loads(row.value)
        except orjson.JSONDecodeError:
            continue
        try:
            decode_peer_status(body)
        except Exception as exc:
            pytest.fail(f"{type(exc).__name__} for {row.value[:200]!r}")


def test_the_odd_values_reach_the_edge_of_what_the_decoder_accepts():
    """Guards against a newer decoder with a limit that these values don't reach."""
    accepted = []
    for value in [*UNREADABLE, *VALUES]:
        try:
            accepted.append(orjson.loads(value))
        except orjson.JSONDecodeError:
            continue
    with pytest.raises(RecursionError):
        for value in accepted:
            repr(value)
    assert len(accepted) < len(UNREADABLE) + len(VALUES)

"""Decoding of the operator's rows that evacuate failure domains."""

import pytest

from toucanspool.backing.table import Row
from toucanspool.platform.evacuations import EvacuationRows
from toucanspool.recovery.feed import Changes
from toucanspool.routing.evacuation import RESTORED_GRACE_S, Evacuations


class Harness:
    """Apply changes of the operator's table to evacuations, in an era of the store."""

    def __init__(self) -> None:
        self.evacuations = Evacuations(lambda domain, now: None)
        self.era = 1
        self._rows = EvacuationRows(self.evacuations, lambda: self.era)

    def replace(self, *keys: str, value: bytes = b"{}", now: float = 0.0) -> set[str]:
        """Apply a snapshot; return the evacuated domains."""
        rows = [Row(key, value, 1) for key in keys]
        self._rows.replace(Changes(rows, (), 1), now)
        return set(self.evacuations)

    def change(
        self, *keys: str, deleted: tuple[str, ...] = (), value: bytes = b"{}"
    ) -> set[str]:
        """Apply changed and deleted rows; return the evacuated domains."""
        rows = [Row(key, value, 2) for key in keys]
        self._rows.update(Changes(rows, deleted, 2), 1.0)
        return set(self.evacuations)


@pytest.fixture
def harness() -> Harness:
    return Harness()


def test_a_snapshot_names_the_evacuated_domains_among_other_rows(harness):
    assert harness.replace("config", "evacuate/one", "other") == {"one"}
    assert harness.replace("config") == set()


def test_rows_are_followed_as_they_come_and_go(harness):
    assert harness.change("config", "evacuate/one", "evacuate/two") == {"one", "two"}
    assert harness.change("config", deleted=("evacuate/one", "other")) == {"two"}


@pytest.mark.parametrize("value", [b"", b"\xff", b"null", b'{"until":1}', b"[1"])
def test_a_row_with_an_unreadable_value_still_evacuates(harness, value):
    assert harness.change("evacuate/one", value=value) == {"one"}
    assert harness.replace("evacuate/two", value=value) == {"two"}


@pytest.mark.parametrize(
    "key", ["evacuate/", "evacuate/a\nb", "evacuate/ ", "evacuate/" + "x" * 129]
)
def test_a_row_with_an_unreadable_name_is_ignored(harness, key):
    # An upstream without a failure domain must not be evacuated by an empty name.
    assert harness.change(key, "evacuate/one", deleted=(key,)) == {"one"}
    assert harness.replace(key, "evacuate/two") == {"two"}


def test_a_domain_missing_in_a_new_era_of_the_store_stays_evacuated_for_a_time(harness):
    harness.replace("evacuate/one")
    harness.era = 2
    assert harness.replace("config", now=10.0) == {"one"}
    harness.evacuations.expire(10.0 + RESTORED_GRACE_S)
    assert set(harness.evacuations) == set()


def test_a_domain_missing_in_the_same_era_is_taken_back(harness):
    harness.era = 2
    harness.replace("evacuate/one")
    assert harness.replace("config") == set()

"""The in-memory table fulfils the contract of `Table`, also under injected faults."""

import pytest

from standins.memory import MemoryTable
from toucanspool.backing.table import (
    Check,
    TableConflict,
    TableUnavailable,
    TableUncertain,
    Write,
)


def test_commit_checks_every_version():
    table = MemoryTable()
    table.commit([Check("a", 0)], [Write("a", b"1")])
    with pytest.raises(TableConflict) as caught:
        table.commit([Check("a", 0), Check("b", 0)], [Write("b", b"2")])
    assert caught.value.keys == ("a",)
    assert table.get(["a", "b"]).keys() == {"a"}


def test_lost_answer_comes_after_the_write():
    table = MemoryTable()
    table.faults.set(lose_answers=1)
    with pytest.raises(TableUncertain):
        table.commit([], [Write("a", b"1")])
    assert table.get(["a"])["a"].value == b"1"


def test_down_table_writes_nothing():
    table = MemoryTable()
    table.faults.set(down=True)
    with pytest.raises(TableUnavailable):
        table.commit([], [Write("a", b"1")])
    table.faults.clear()
    assert not table.get(["a"])

"""Leader election by a token in one row."""

import orjson
import pytest

from standins.memory import MemoryTable
from toucanspool.backing.table import Write
from toucanspool.recovery.election import (
    DUTY_PREFIX,
    MAX_TOKEN,
    Election,
    current_token,
    elect,
)


def test_each_election_raises_the_token_and_names_the_holder_before():
    table = MemoryTable()
    first = elect(table, "d", "a", above=-1)
    second = elect(table, "d", "b", above=-1)
    assert (first.token, first.previous_holder) == (1, "")
    assert (second.token, second.previous_holder) == (2, "a")
    assert current_token(table, "d") == 2


def test_the_token_is_higher_than_any_that_is_known():
    assert elect(MemoryTable(), "d", "a", above=7).token == 8


def test_nobody_is_elected_while_the_table_is_down():
    table = MemoryTable()
    table.faults.down = True
    assert elect(table, "d", "a", above=0) is None


def test_an_election_whose_answer_was_lost_is_no_election_but_raises_the_token():
    table = MemoryTable()
    table.faults.lose_answers = 1
    assert elect(table, "d", "a", above=0) is None
    assert elect(table, "d", "b", above=0).token == 2


def test_a_row_that_can_not_be_read_is_replaced():
    table = MemoryTable()
    table.commit([], [Write(DUTY_PREFIX + "d", b"\xff")])
    assert elect(table, "d", "a", above=4).token == 5


def test_one_of_two_that_stand_at_once_is_elected():
    class Racing(MemoryTable):
        def commit(self, checks, writes):
            """Write a competing election before the first commit."""
            if not self.commits:
                super().commit(
                    [], [Write(DUTY_PREFIX + "d", b'{"holder":"x","token":1}')]
                )
            return super().commit(checks, writes)

    assert elect(Racing(), "d", "a", above=0) is None


def test_a_token_whose_commit_was_lost_is_not_issued_again():
    table = MemoryTable()
    table.era = 1
    elect(table, "d", "a", above=0)
    lost = elect(table, "d", "b", above=0)
    restored = MemoryTable()
    restored.era = 2
    elected = elect(restored, "d", "c", above=0)
    assert elected.token > lost.token


def test_holders_of_an_earlier_era_are_not_sure_after_a_restart():
    table = MemoryTable()
    table.era = 1
    holder = elect(table, "d", "a", above=0)
    assert current_token(table, "d") == holder.token
    table.era = 2
    assert current_token(table, "d") > holder.token


@pytest.mark.parametrize(
    "value",
    [
        b'{"holder":"x","token":1e308}',
        b'{"holder":"x","token":9223372036854775807}',
        b'{"holder":"x","token":18446744073709551615}',
        b'{"holder":"x","token":-5}',
        b'{"holder":"x","token":1.5}',
        b'{"holder":"x","token":true}',
        b'{"holder":"x","token":"7"}',
        b'{"holder":' + b"[" * 1000 + b"]" * 1000 + b',"token":7}',
        b'{"holder":null,"token":7}',
        b"[" * 1000 + b"]" * 1000,
        b"[]",
    ],
)
def test_an_odd_row_of_a_duty_is_replaced(value):
    """Guards against a duty that nobody can take, for a token that can't be raised."""
    table = MemoryTable()
    table.commit([], [Write(DUTY_PREFIX + "d", value)])
    assert current_token(table, "d") == 0
    assert elect(table, "d", "a", above=4).token == 5
    assert elect(table, "d", "b", above=4) == Election(6, "a", 5)


def test_the_highest_token_that_is_read_can_be_raised():
    table = MemoryTable()
    value = orjson.dumps({"holder": "x", "token": MAX_TOKEN})
    table.commit([], [Write(DUTY_PREFIX + "d", value)])
    elected = elect(table, "d", "a", above=0)
    assert elected == Election(MAX_TOKEN + 1, "x", MAX_TOKEN)
    # Orders carry it as a 64-bit integer.
    assert elected.token < 1 << 63

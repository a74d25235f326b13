"""Tests of the choice of ranks whose expert counts are read."""

from toucanspool.groups.count_sample import CountSample

RANKS = list(range(64))


def test_all_ranks_are_read_each_time_where_the_link_carries_them():
    sample = CountSample()
    for _ in range(3):
        chosen, usable = sample.take(RANKS, 64)
        assert chosen == RANKS
        assert set(usable) == set(RANKS)


def test_the_counts_of_a_rank_cover_only_the_time_since_the_read_before():
    """Guards against counts from before a shift of demand in reads after it."""
    sample = CountSample()
    previous: set[int] = set()
    for _ in range(40):
        chosen, usable = sample.take(RANKS, 12)
        assert len(set(chosen)) == 12
        assert set(usable) == previous & set(chosen)
        previous = set(chosen)


def test_three_of_four_counts_read_are_used():
    sample = CountSample()
    sample.take(RANKS, 12)
    assert all(len(sample.take(RANKS, 12)[1]) == 9 for _ in range(40))


def test_every_rank_joins_the_sample():
    sample = CountSample()
    used: set[int] = set()
    for _ in range(30):
        used.update(sample.take(RANKS, 12)[1])
    assert used == set(RANKS)


def test_counts_are_used_on_a_link_that_carries_one_rank_or_two():
    for max_ranks in (1, 2):
        sample = CountSample()
        used: set[int] = set()
        for _ in range(70):
            used.update(sample.take(RANKS, max_ranks)[1])
        assert used == set(RANKS)


def test_ranks_that_leave_are_not_chosen():
    sample = CountSample()
    for _ in range(5):
        sample.take(RANKS, 12)
    for _ in range(20):
        chosen, usable = sample.take(RANKS[:20], 12)
        assert set(usable) <= set(chosen) <= set(RANKS[:20])

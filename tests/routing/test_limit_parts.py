"""Entries divide the limits of upstreams alike, each by itself."""

import pytest

from toucanspool.routing.limit_parts import (
    MAX_WEIGHTED_ENTRIES,
    MIN_UPSTREAMS,
    MIN_WEIGHT_FRACTION,
    divide_limits,
    weigh_entries,
)

FLEETS = [(1, 1), (1, 5), (6, 3), (6, 12), (8, 19), (35, 72), (99, 4), (99, 300)]


def parts_of_all(weights, n_upstreams: int) -> list[list[float]]:
    return [divide_limits(weights, name, n_upstreams) for name in weights]


def equal_weights(n_entries: int) -> dict[str, float]:
    return {f"e{number}": 1.0 for number in range(n_entries)}


@pytest.mark.parametrize(("n_entries", "n_upstreams"), FLEETS)
def test_the_parts_of_each_upstream_add_up_to_its_limit(n_entries, n_upstreams):
    parts = parts_of_all(equal_weights(n_entries), n_upstreams)
    totals = [sum(column) for column in zip(*parts, strict=True)]
    assert totals == pytest.approx([1.0] * n_upstreams)


@pytest.mark.parametrize(("n_entries", "n_upstreams"), FLEETS)
def test_equal_entries_have_equal_parts(n_entries, n_upstreams):
    sums = [sum(p) for p in parts_of_all(equal_weights(n_entries), n_upstreams)]
    assert sums == pytest.approx([n_upstreams / n_entries] * n_entries)


@pytest.mark.parametrize(("n_entries", "n_upstreams"), FLEETS)
def test_an_entry_has_parts_of_several_upstreams(n_entries, n_upstreams):
    for parts in parts_of_all(equal_weights(n_entries), n_upstreams):
        assert sum(part > 0.0 for part in parts) >= min(MIN_UPSTREAMS, n_upstreams)


def test_few_entries_send_to_the_same_upstream_in_a_large_fleet():
    parts = parts_of_all(equal_weights(35), 72)
    owners = [sum(part > 0.0 for part in column) for column in zip(*parts, strict=True)]
    assert max(owners) <= 5


def test_parts_follow_the_weights():
    weights = {"a": 6.0, "b": 1.0, "c": 1.0}
    sums = [sum(parts) for parts in parts_of_all(weights, 12)]
    assert sums == pytest.approx([9.0, 1.5, 1.5])


def test_entries_weigh_as_much_as_their_loads_and_idle_ones_a_little():
    weights = weigh_entries({"a": 9.0, "b": 3.0, "c": 0.0})
    assert weights == {"a": 9.0, "b": 3.0, "c": MIN_WEIGHT_FRACTION * 4.0}


@pytest.mark.parametrize("loads", [{"a": 9.0, "b": None}, {"a": 0.0, "b": 0.0}])
def test_entries_weigh_the_same_where_a_load_is_unknown_or_all_are_idle(loads):
    assert weigh_entries(loads) == {"a": 1.0, "b": 1.0}


def test_many_entries_weigh_the_same():
    loads = {f"e{number}": float(number) for number in range(MAX_WEIGHTED_ENTRIES + 1)}
    assert set(weigh_entries(loads).values()) == {1.0}

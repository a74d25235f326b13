"""PrefixIndex is bounded and handles late and missing cache events."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanspool.routing.prefix import CacheEvent, PrefixIndex, block_hashes

NAMES = st.sampled_from(["u0", "u1", "u2", "u3"])
HASHES = st.lists(st.integers(0, 30).map(str), max_size=6, unique=True).map(tuple)


class UnboundedIndex(PrefixIndex):
    """Evict nothing."""

    def __init__(self, **options):
        super().__init__(**(options | {"max_pairs": 10**9, "max_holders": 10**9}))


def peak_size(cls, steps):
    index = cls(max_pairs=12, max_holders=2)
    peak = 0
    for seq, (name, stored, removed) in enumerate(steps):
        index.apply(CacheEvent(name, seq, stored, removed), float(seq))
        assert len(index) == sum(len(holders) for holders in index._holders.values())
        peak = max(peak, len(index))
    return peak


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(st.tuples(NAMES, HASHES, HASHES), max_size=60))
def test_memory_is_bounded(steps):
    assert peak_size(PrefixIndex, steps) <= 12


def test_the_size_check_detects_an_unbounded_index():
    steps = [("u0", tuple(str(n) for n in range(30)), ())]
    assert peak_size(UnboundedIndex, steps) > 12


def test_prompts_that_begin_alike_share_hashes():
    same = block_hashes(b"a" * 1024 + b"b" * 600)
    other = block_hashes(b"a" * 1024 + b"c" * 600)
    assert len(same) == len(other) == 3
    assert same[:2] == other[:2]
    assert same[2] != other[2]


def test_the_longest_cached_prefix_counts():
    index = PrefixIndex()
    index.add("u0", ("a", "b"), 0.0)
    index.add("u1", ("a",), 0.0)
    assert index.holders(("a", "b", "c"), 1.0) == {"u0": 2.0, "u1": 1.0}


@pytest.mark.parametrize(
    ("seqs", "in_sequence", "blocks"),
    [((1, 2), True, 1.0), ((1, 3), False, 0.5), ((2, 1), True, 1.0)],
    ids=["in order", "gap", "late"],
)
def test_pairs_before_a_gap_count_half(seqs, in_sequence, blocks):
    index = PrefixIndex()
    index.apply(CacheEvent("u0", seqs[0], ("a",)), 0.0)
    assert index.apply(CacheEvent("u0", seqs[1], ("z",)), 1.0) == in_sequence
    assert index.holders(("a",), 2.0) == {"u0": blocks}


def test_a_late_event_does_not_undo_a_newer_one():
    index = PrefixIndex()
    index.apply(CacheEvent("u0", 2, ("a",)), 0.0)
    index.apply(CacheEvent("u0", 1, (), ("a",)), 1.0)
    assert index.holders(("a",), 1.0) == {"u0": 1.0}


def test_a_pair_added_after_a_gap_counts_in_full():
    index = PrefixIndex()
    index.apply(CacheEvent("u0", 1, ("a",)), 0.0)
    index.apply(CacheEvent("u0", 5, ()), 1.0)
    index.add("u0", ("a",), 2.0)
    assert index.holders(("a",), 2.0) == {"u0": 1.0}


def test_a_restarted_upstream_holds_nothing():
    index = PrefixIndex()
    index.apply(CacheEvent("u0", 9, ("a",)), 0.0)
    index.clear("u0", 1.0)
    assert index.holders(("a",), 2.0) == {}
    index.apply(CacheEvent("u0", 1, ("a",)), 3.0)
    assert index.holders(("a",), 4.0) == {"u0": 1.0}


def test_old_pairs_expire():
    index = PrefixIndex(ttl_s=10.0)
    index.add("u0", ("a",), 0.0)
    assert index.holders(("a",), 11.0) == {}

"""Versions that coordinators give to maps."""

from toucanspool.groups.map_versions import (
    VERSIONS_PER_TOKEN,
    VersionSource,
    token_of_version,
)


def test_a_version_that_no_rank_has_reported_is_not_given_twice():
    versions = VersionSource(3)
    first = versions.next_above(0)
    assert versions.next_above(0) == first + 1


def test_versions_are_above_those_that_ranks_have_seen():
    versions = VersionSource(3)
    seen = 3 * VERSIONS_PER_TOKEN + 7
    assert versions.next_above(seen) == seen + 1


def test_a_version_tells_whose_it_is():
    assert token_of_version(VersionSource(3).next_above(-1)) == 3
    assert token_of_version(0) == token_of_version(-1) == 0

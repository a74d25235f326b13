"""Checks that failing upstreams are ejected within the limit and restored slowly."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanspool.retries.ejection import (
    FAILURES_TO_EJECT,
    MAX_EJECTION_S,
    SLOW_START_S,
    AttemptResult,
    Ejector,
)

POOL = [f"u{n}" for n in range(7)]
RESULTS = st.sampled_from(list(AttemptResult))
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["record", "probe", "members"]),
        st.sampled_from(POOL),
        RESULTS,
        st.floats(0.0, 8.0),
        st.integers(0, len(POOL)),
    ),
    max_size=80,
)


class Unlimited(Ejector):
    """Eject any number at a time."""

    def _may_eject(self, pool):
        return True

    def _restore_excess(self, now):
        pass


def pool(cls=Ejector, members=POOL, **options):
    ejector = cls(random.Random(3), **options)
    ejector.update(members, 0.0)
    return ejector


def most_out_beyond(cls, steps):
    ejector, now, members = pool(cls), 0.0, POOL
    excess = 0
    for step, name, result, elapsed_s, size in steps:
        now += elapsed_s
        if step == "record":
            ejector.record(name, result, now)
        elif step == "probe" and name in ejector.due_probes(now):
            ejector.record_probe(name, result, now)
        elif step == "members":
            members = POOL[:size]
            ejector.update(members, now)
        assert all(ejector.weight(n, now) == 0.0 for n in ejector.ejected)
        excess = max(excess, len(ejector.ejected) - len(members) // 2)
    return excess


@settings(derandomize=True, deadline=None, max_examples=200)
@given(STEPS)
def test_no_more_than_the_bound_is_ever_out(steps):
    assert most_out_beyond(Ejector, steps) == 0


def test_the_check_detects_an_ejector_without_limit():
    steps = [("record", name, AttemptResult.UNREACHABLE, 0.0, 0) for name in POOL]
    assert most_out_beyond(Unlimited, steps) > 0


@pytest.mark.parametrize(
    ("result", "needed"),
    [(AttemptResult.UNREACHABLE, 1), (AttemptResult.FAILED, FAILURES_TO_EJECT)],
)
def test_a_failing_upstream_is_ejected(result, needed):
    ejector = pool()
    ejected = [ejector.record("u0", result, 0.0) for _ in range(needed)]
    assert ejected == [False] * (needed - 1) + [True]
    assert ejector.weight("u0", 0.0) == 0.0


@pytest.mark.parametrize(("every", "ejected"), [(2, True), (10, False)])
def test_a_high_failure_rate_ejects_and_a_low_one_does_not(every, ejected):
    ejector = pool()
    for n in range(60):
        result = AttemptResult.FAILED if n % every == 0 else AttemptResult.OK
        ejector.record("u0", result, float(n))
    assert ("u0" in ejector.ejected) == ejected


def test_an_upstream_is_restored_after_good_probes_and_starts_slowly():
    ejector = pool()
    ejector.record("u0", AttemptResult.UNREACHABLE, 0.0)
    assert ejector.due_probes(1.0) == []
    restored = []
    for now in (3.0, 3.1):
        assert ejector.due_probes(now) == ["u0"]
        restored.append(ejector.record_probe("u0", AttemptResult.OK, now))
    assert restored == [False, True]
    weights = [
        ejector.weight("u0", 3.1 + t) for t in (0.0, SLOW_START_S / 2, SLOW_START_S)
    ]
    assert weights == pytest.approx([0.1, 0.55, 1.0])


def test_one_probe_is_pending_at_a_time():
    ejector = pool()
    ejector.record("u0", AttemptResult.UNREACHABLE, 0.0)
    assert [
        ejector.due_probes(3.0),
        ejector.due_probes(3.5),
        ejector.due_probes(8.5),
    ] == [
        ["u0"],
        [],
        ["u0"],
    ]


def test_probes_of_an_upstream_that_keeps_failing_back_off():
    ejector, now, gaps = pool(), 0.0, []
    ejector.record("u0", AttemptResult.UNREACHABLE, now)
    for _ in range(9):
        start = now
        while not ejector.due_probes(now):
            now += 0.1
        gaps.append(now - start)
        ejector.record_probe("u0", AttemptResult.FAILED, now)
    assert gaps[3] > 2 * gaps[1]
    assert max(gaps) <= MAX_EJECTION_S * 1.25 + 0.2


def test_a_new_upstream_starts_slowly_but_the_first_pool_does_not():
    ejector = pool()
    ejector.update([*POOL, "new"], 5.0)
    assert ejector.weight("u0", 5.0) == 1.0
    assert ejector.weight("new", 5.0) == pytest.approx(0.1)


def test_the_only_upstream_is_not_ejected():
    ejector = pool(members=["u0"])
    assert not ejector.record("u0", AttemptResult.UNREACHABLE, 0.0)
    assert ejector.weight("u0", 0.0) == 1.0


def test_the_limit_holds_for_each_pool():
    ejector = Ejector(random.Random(3))
    pools = {"a0": "a", "a1": "a", "b0": "b", "b1": "b", "b2": "b", "b3": "b"}
    ejector.update(pools, 0.0, pools=pools)
    for name in pools:
        ejector.record(name, AttemptResult.UNREACHABLE, 0.0)
    assert ejector.ejected == {"a0", "b0", "b1"}
    ejector.update(["a0", "b0", "b1"], 1.0, pools=pools)
    assert len(ejector.ejected) == 1

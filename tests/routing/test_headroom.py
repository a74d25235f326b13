"""Proves that choices follow room and caches and don't herd on late reports."""

import random
from collections import Counter

import pytest

from toucanspool.routing import headroom
from toucanspool.routing.candidate import Candidate
from toucanspool.routing.headroom import HeadroomPolicy
from toucanspool.routing.policy import RoutingRequest
from toucanspool.routing.prefix import PrefixIndex
from toucanspool.routing.rendezvous import RendezvousRanking

PROMPT = tuple(f"p{n}" for n in range(8))
WORK = RoutingRequest("0", PROMPT, 1100)


def pool(count=12, **changes):
    fields = {"running": 20, "step_ms": 20.0} | changes
    return [Candidate(f"u{n}", "0", **fields) for n in range(count)]


def shares(candidates, *, work=None, policy=None, rounds=3000):
    policy = policy or HeadroomPolicy(random.Random(5))
    work = work or RoutingRequest("0")
    chosen = Counter(
        policy.choose(work, candidates, 1.0).candidate.upstream for _ in range(rounds)
    )
    return {c.upstream: chosen[c.upstream] / rounds for c in candidates}


@pytest.mark.parametrize(
    "changes",
    [
        {"running": 45},
        {"waiting": 40, "reported_at": 1.0},
        {"sent_since_report": 25},
        {"in_flight": 45},
        {"step_ms": 40.0},
        {"weight": 0.5},
    ],
    ids=lambda changes: next(iter(changes)),
)
def test_a_candidate_with_less_room_gets_less(changes):
    candidates = pool()
    for name, value in changes.items():
        setattr(candidates[0], name, value)
    found = shares(candidates)
    assert found["u0"] < 0.75 * found["u1"]


def test_an_old_report_says_little():
    candidates = pool(reported_at=0.9)
    candidates[0].running = 0
    fresh = shares(candidates)["u0"]
    candidates[0].reported_at = -60.0
    assert shares(candidates)["u0"] < fresh


def test_many_processes_with_one_report_do_not_choose_the_same():
    candidates = pool(600)
    candidates[7].running = 0
    chosen = Counter(
        HeadroomPolicy(random.Random(n))
        .choose(RoutingRequest("0"), candidates, 1.0)
        .candidate.upstream
        for n in range(2000)
    )
    least = Counter(
        min(candidates, key=lambda c: c.running).upstream for _ in range(99)
    )
    assert chosen.most_common(1)[0][1] <= 20
    assert least["u7"] == 99


def with_cache(holder):
    index = PrefixIndex()
    index.note(holder, PROMPT, 0.5)
    return HeadroomPolicy(random.Random(5), prefixes=index)


def away_from_home():
    return next(n for n in ("u1", "u2") if n not in home_names(pool())[:1])


def home_names(candidates, now=0.0):
    return RendezvousRanking().ranked(PROMPT, candidates, now)


def test_a_cache_holder_with_room_is_chosen():
    holder = away_from_home()
    policy = with_cache(holder)
    assert policy.choose(WORK, pool(), 1.0).candidate.upstream in {
        holder,
        home_names(pool())[0],
    }
    assert "cached" in policy.choose(WORK, pool(), 1.0).reason


def test_a_cache_holder_without_room_is_passed_over(monkeypatch):
    candidates = pool()
    for name in home_names(candidates)[:1]:
        next(c for c in candidates if c.upstream == name).running = 400
    name = home_names(candidates)[0]
    found = shares(candidates, work=WORK, policy=with_cache(name), rounds=20)
    assert found[name] < 0.5
    monkeypatch.setattr(headroom, "TURNOVER", 1e6)
    found = shares(candidates, work=WORK, policy=with_cache(name), rounds=20)
    assert found[name] > 0.5


def test_processes_that_never_talk_prefer_the_same_home():
    first = [
        HeadroomPolicy(random.Random(n), prefixes=PrefixIndex())
        .choose(WORK, pool(100), 1.0)
        .candidate.upstream
        for n in range(40)
    ]
    assert Counter(first).most_common(1)[0][1] >= 30


def test_a_home_that_goes_changes_no_other_home():
    before = home_names(pool(100))
    left = [c for c in pool(100) if c.upstream != before[0]]
    assert home_names(left)[:2] == before[1:3]


def test_a_home_that_is_gone_is_followed_by_the_next():
    policy = HeadroomPolicy(random.Random(5), prefixes=PrefixIndex())
    candidates = pool()
    names = home_names(candidates)
    policy.choose(WORK, candidates, 1.0)
    left = [c for c in candidates if c.upstream != names[0]]
    found = shares(left, work=WORK, policy=policy, rounds=50)
    assert max(found, key=found.get) == names[1]


@pytest.mark.parametrize("count", [1, 2, 40])
def test_upstreams_without_a_report_are_chosen_too(count):
    candidates = [Candidate(f"u{n}", "0") for n in range(count)]
    assert all(share > 0 for share in shares(candidates).values())

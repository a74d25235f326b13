"""HeadroomPolicy follows headroom and caches, and stale reports cause no herding."""

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
REQUEST = RoutingRequest("0", PROMPT, 1100)


def make_candidates(count=12, **changes):
    fields = {"running": 20, "step_ms": 20.0} | changes
    return [Candidate(f"u{n}", "0", **fields) for n in range(count)]


def choice_shares(candidates, *, request=None, policy=None, rounds=3000):
    policy = policy or HeadroomPolicy(random.Random(5))
    request = request or RoutingRequest("0")
    chosen = Counter(
        policy.choose(request, candidates, 1.0).candidate.upstream
        for _ in range(rounds)
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
def test_a_candidate_with_less_headroom_gets_less(changes):
    candidates = make_candidates()
    for name, value in changes.items():
        setattr(candidates[0], name, value)
    shares = choice_shares(candidates)
    assert shares["u0"] < 0.75 * shares["u1"]


def test_an_old_report_says_little():
    candidates = make_candidates(reported_at=0.9)
    candidates[0].running = 0
    fresh = choice_shares(candidates)["u0"]
    candidates[0].reported_at = -60.0
    assert choice_shares(candidates)["u0"] < fresh


def test_many_processes_with_one_report_do_not_choose_the_same():
    candidates = make_candidates(600)
    candidates[7].running = 0
    chosen = Counter(
        HeadroomPolicy(random.Random(n))
        .choose(RoutingRequest("0"), candidates, 1.0)
        .candidate.upstream
        for n in range(2000)
    )
    least_loaded = Counter(
        min(candidates, key=lambda c: c.running).upstream for _ in range(99)
    )
    assert chosen.most_common(1)[0][1] <= 20
    assert least_loaded["u7"] == 99


def policy_with_cache(holder):
    index = PrefixIndex()
    index.add(holder, PROMPT, 0.5)
    return HeadroomPolicy(random.Random(5), prefixes=index)


def non_preferred_name():
    return next(
        n for n in ("u1", "u2") if n not in preferred_names(make_candidates())[:1]
    )


def preferred_names(candidates, now=0.0):
    return RendezvousRanking().ranked(PROMPT, candidates, now)


def test_a_cache_holder_with_headroom_is_chosen():
    holder = non_preferred_name()
    policy = policy_with_cache(holder)
    assert policy.choose(REQUEST, make_candidates(), 1.0).candidate.upstream in {
        holder,
        preferred_names(make_candidates())[0],
    }
    assert "cached" in policy.choose(REQUEST, make_candidates(), 1.0).reason


def test_a_cache_holder_without_headroom_is_passed_over(monkeypatch):
    candidates = make_candidates()
    for name in preferred_names(candidates)[:1]:
        next(c for c in candidates if c.upstream == name).running = 400
    name = preferred_names(candidates)[0]
    shares = choice_shares(
        candidates, request=REQUEST, policy=policy_with_cache(name), rounds=20
    )
    assert shares[name] < 0.5
    monkeypatch.setattr(headroom, "MAX_EXCESS_LOAD", 1e6)
    shares = choice_shares(
        candidates, request=REQUEST, policy=policy_with_cache(name), rounds=20
    )
    assert shares[name] > 0.5


def test_independent_processes_prefer_the_same_upstream():
    choices = [
        HeadroomPolicy(random.Random(n), prefixes=PrefixIndex())
        .choose(REQUEST, make_candidates(100), 1.0)
        .candidate.upstream
        for n in range(40)
    ]
    assert Counter(choices).most_common(1)[0][1] >= 30


def test_removing_a_preferred_upstream_keeps_the_order_of_the_others():
    before = preferred_names(make_candidates(100))
    remaining = [c for c in make_candidates(100) if c.upstream != before[0]]
    assert preferred_names(remaining)[:2] == before[1:3]


def test_a_removed_preferred_upstream_is_replaced_by_the_next():
    policy = HeadroomPolicy(random.Random(5), prefixes=PrefixIndex())
    candidates = make_candidates()
    names = preferred_names(candidates)
    policy.choose(REQUEST, candidates, 1.0)
    remaining = [c for c in candidates if c.upstream != names[0]]
    shares = choice_shares(remaining, request=REQUEST, policy=policy, rounds=50)
    assert max(shares, key=shares.get) == names[1]


@pytest.mark.parametrize("count", [1, 2, 40])
def test_upstreams_without_a_report_are_chosen_too(count):
    candidates = [Candidate(f"u{n}", "0") for n in range(count)]
    assert all(share > 0 for share in choice_shares(candidates).values())

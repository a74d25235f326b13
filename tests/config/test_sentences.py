"""Changes, states and routing decisions are each described in one sentence."""

from dataclasses import dataclass, field

import pytest

from toucanspool.config.diff import describe
from toucanspool.config.explanation import (
    explain_change,
    explain_decision,
    explain_state,
)
from toucanspool.config.match import Match
from toucanspool.config.records import (
    Change,
    Operator,
    Removal,
    Request,
    Selector,
    Team,
    Upstream,
)
from toucanspool.config.view import View, key_hash

GUIDE = Match({"model": ("guide",)})
LARGE = Match({"model": ("guide",), "team.size": ("large",)})
PLATFORM_LABELS = {f"guide-{n}": {"model": "guide"} for n in range(1, 6)}
DRAIN = Selector("drained", "drain", 10, upstreams=Match({"state": ("drain",)}))
STANDBY = Selector("spare", "standby", 20, upstreams=Match({"state": ("spare",)}))
ROUTE = Selector("guide", "route", work=GUIDE, upstreams=GUIDE)
TRIAL = Selector(
    "large", "route", 50, work=LARGE, upstreams=Match({"pool": ("trial",)})
)
KEYS = (key_hash("one"), key_hash("two"))

CHANGES = {
    "drain": (Upstream("guide-3", {"state": "drain"}),),
    "standby": (Upstream("guide-3", {"state": "spare"}),),
    "two-drains": (
        Upstream("guide-3", {"state": "drain"}),
        Upstream("guide-4", {"state": "drain"}),
    ),
    "serve-again": (Upstream("guide-5", {"pool": "a"}),),
    "relabel": (Upstream("guide-1", {"model": "label", "pool": "b"}),),
    "same": (Upstream("guide-5", {"pool": "a", "state": "drain"}),),
    "new-route": (TRIAL, Upstream("guide-2", {"pool": "trial"})),
    "drain-selector": (
        Selector("all", "drain", 5, upstreams=Match(lacks={"pool": ("*",)})),
    ),
    "team": (Team("kiwi", {"share": "2"}, KEYS[:1]),),
    "team-key": (Team("weka", {"size": "small"}, KEYS[1:]),),
    "operator": (Operator("ben", KEYS),),
    "rule": (Request("vip", Match({"team": ("weka",)}), {"priority": "high"}),),
    "mixed": (
        Team("kiwi"),
        Operator("ben"),
        Upstream("guide-1", {"a": "b"}),
        Upstream("guide-2", {"c": "d", "e": "f"}),
    ),
    "many": tuple(Team(f"team-{n}") for n in range(9)),
}


def initial_view():
    return View(
        revision=7,
        records=[
            DRAIN,
            STANDBY,
            ROUTE,
            Team("weka", {"size": "large"}, KEYS[:1]),
            Upstream("guide-5", {"pool": "a", "state": "drain"}),
        ],
    )


def sentence_of(puts=(), removals=()):
    change = Change(8, "c", "ana", 0.0, "", puts, removals)
    return describe(initial_view(), change, PLATFORM_LABELS).sentence


@pytest.mark.parametrize("name", CHANGES)
def test_change(name, snapshot):
    assert sentence_of(CHANGES[name]) == snapshot


@pytest.mark.parametrize("removal", [("selector", "drained"), ("team", "weka")])
def test_removal(removal, snapshot):
    assert sentence_of(removals=(Removal(*removal),)) == snapshot


def test_change_in_the_history(snapshot):
    change = Change(8, "c", "ana", 1e9, sentence_of(CHANGES["drain"]), CHANGES["drain"])
    assert explain_change(change) == snapshot


@pytest.mark.parametrize("upstream", ["guide-1", "guide-5"])
def test_state(upstream, snapshot):
    assert (
        explain_state(initial_view(), upstream, PLATFORM_LABELS[upstream]) == snapshot
    )


@dataclass
class DecisionRecord:
    """Describe a routing decision with the fields that an entry records."""

    chosen: str
    eligible: int
    candidates: tuple[str, ...]
    reason: str = "least load of 2 drawn"
    selector: str | None = "guide"
    attempt: int = 1
    request_id: str = "entry-1-0042"
    team: str = "weka"
    labels: dict[str, str] = field(default_factory=lambda: {"model": "guide"})
    revision: int = 8


@pytest.mark.parametrize(
    "decision",
    [
        DecisionRecord("guide-2", 3, ("guide-1", "guide-2", "guide-4")),
        DecisionRecord("guide-2", 12, ("guide-1", "guide-2"), attempt=2),
        DecisionRecord("guide-2", 1, ("guide-2",), selector=None, labels={}),
        DecisionRecord("", 0, (), "no upstream may take it"),
        DecisionRecord("", 2, ("guide-1", "guide-2"), "both were tried"),
    ],
    ids=["three", "second-attempt", "only", "none", "all-tried"],
)
def test_decision(decision, snapshot):
    assert explain_decision(decision) == snapshot


def test_shadowed_route_moves_only_the_work_it_takes():
    change = Change(8, "c", "ana", 0.0, "", CHANGES["new-route"])
    effects = describe(initial_view(), change, PLATFORM_LABELS).effects
    work = "requests with model guide and team.size large"
    assert {e.upstream: (e.gains, e.loses) for e in effects} == dict.fromkeys(
        ("guide-1", "guide-3", "guide-4"), ((), (work,))
    )

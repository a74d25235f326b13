"""What a change of configuration does to upstreams."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import islice, product

from toucanspool.config.match import ANY_VALUE, Labels, Match
from toucanspool.config.records import Change, Record, Removal, Selector
from toucanspool.config.view import View
from toucanspool.config.words import join_words

MAX_SAMPLES = 8

STATE_PHRASES = {
    "drain": ("gets no new work", "get no new work"),
    "standby": ("stands by", "stand by"),
    "serve": ("serves", "serve"),
}


@dataclass(slots=True, frozen=True)
class Effect:
    """Hold what a change does to one upstream.

    Parameters
    ----------
    upstream : str
        The upstream's name.
    before : str
        Its state before: ``"serve"``, ``"standby"`` or ``"drain"``.
    after : str
        Its state after.
    gains : tuple of str
        Work that it may get from now on, such as ``"requests with model guide"``.
    loses : tuple of str
        Work that it may get no longer.
    """

    upstream: str
    before: str
    after: str
    gains: tuple[str, ...] = ()
    loses: tuple[str, ...] = ()

    def phrases(self) -> list[tuple[str, str]]:
        """Return what happens as verb phrases.

        Returns
        -------
        list of tuple of str
            Each phrase for one upstream and for several.
        """
        if self.before != self.after and self.after != "serve":
            return [STATE_PHRASES[self.after]]
        phrases = [STATE_PHRASES["serve"]] if self.before != self.after else []
        if self.gains:
            work = join_words(self.gains)
            phrases.append((f"may get {work}", f"may get {work}"))
        if self.loses:
            work = join_words(self.loses)
            phrases.append((f"gets no more {work}", f"get no more {work}"))
        return phrases


def effects_of(
    before: View, after: View, change: Change, platform_labels: Mapping[str, Labels]
) -> list[Effect]:
    """Return what a change does to each upstream that it affects.

    Work is told apart by the matches of the routing selectors: each is tried with
    sample requests, so that a selector shadowed by another counts as it decides.

    Parameters
    ----------
    before : View
        The configuration that the change follows.
    after : View
        The configuration with the change.
    change : Change
        The change.
    platform_labels : mapping of str to mapping
        The platform's labels of each upstream known, by upstream.

    Returns
    -------
    list of Effect
        By upstream.
    """
    samples = _samples([*before.routes(), *after.routes()])
    works_before = _routes(before, samples)
    works_after = _routes(after, samples)
    moved = [work for work in samples if works_before[work] != works_after[work]]
    touched = {item.name for item in _items(change) if item.kind == "upstream"}
    effects = []
    for upstream in _upstreams(before, after, change, platform_labels):
        labels = platform_labels.get(upstream, {})
        asked = list(samples) if upstream in touched else moved
        old = _standing(before, upstream, labels, works_before, asked)
        new = _standing(after, upstream, labels, works_after, asked)
        effect = _effect(upstream, old, new)
        if effect is not None:
            effects.append(effect)
    return effects


def _upstreams(
    before: View, after: View, change: Change, platform_labels: Mapping[str, Labels]
) -> list[str]:
    touched = {item.name for item in _items(change) if item.kind == "upstream"}
    if all(item.kind != "selector" for item in _items(change)):
        return sorted(touched)
    listed = {r.name for view in (before, after) for r in view.records("upstream")}
    return sorted(listed.union(platform_labels, touched))


def _items(change: Change) -> tuple[Record | Removal, ...]:
    return (*change.puts, *change.removals)


@dataclass(slots=True, frozen=True)
class _Standing:
    state: str
    work: tuple[str, ...]


def _standing(
    view: View,
    upstream: str,
    platform_labels: Labels,
    works: Mapping[str, Selector | None],
    asked: Sequence[str],
) -> _Standing:
    labels = view.upstream_labels(upstream, platform_labels)
    work = [
        phrase
        for phrase in asked
        if (route := works[phrase]) is not None and route.upstreams.matches(labels)
    ]
    return _Standing(view.state(labels)[0], tuple(work))


def _effect(upstream: str, old: _Standing, new: _Standing) -> Effect | None:
    gains = tuple(work for work in new.work if work not in old.work)
    loses = tuple(work for work in old.work if work not in new.work)
    if "serve" not in (old.state, new.state):
        gains = loses = ()
    if old.state == new.state and not gains and not loses:
        return None
    return Effect(upstream, old.state, new.state, gains, loses)


def _samples(routes: Sequence[Selector]) -> dict[str, Labels]:
    return {
        phrase: labels
        for route in routes
        for phrase, labels in _work_samples(route.work)
    }


def _work_samples(work: Match) -> list[tuple[str, Labels]]:
    phrase = work.describe("requests")
    values = [[(key, value) for value in held] for key, held in work.has.items()]
    samples = []
    for pairs in islice(product(*values), MAX_SAMPLES):
        labels = {key: "any" if v == ANY_VALUE else v for key, v in pairs}
        samples.append(labels)
    if len(samples) == 1:
        return [(phrase, samples[0])]
    return [(_sample_phrase(labels), labels) for labels in samples]


def _sample_phrase(labels: Labels) -> str:
    return Match(has={k: (v,) for k, v in labels.items()}).describe("requests")


def _routes(view: View, samples: Mapping[str, Labels]) -> dict[str, Selector | None]:
    return {phrase: view.route(labels) for phrase, labels in samples.items()}

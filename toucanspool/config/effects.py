"""Effects of a configuration change on upstreams."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import islice, product

from toucanspool.config.match import ANY_VALUE, Labels, Match
from toucanspool.config.records import Change, Record, Removal, Selector
from toucanspool.config.view import View
from toucanspool.config.words import join_words

MAX_MATCH_SAMPLES = 8

STATE_PHRASES = {
    "drain": ("gets no new work", "get no new work"),
    "standby": ("stands by", "stand by"),
    "serve": ("serves", "serve"),
}


@dataclass(slots=True, frozen=True)
class Effect:
    """Describe how a change affects one upstream.

    Parameters
    ----------
    upstream : str
        The upstream's name.
    before : str
        Its state before the change: ``"serve"``, ``"standby"`` or ``"drain"``.
    after : str
        Its state after the change.
    gains : tuple of str
        Requests newly routed to it, such as ``"requests with model guide"``.
    loses : tuple of str
        Requests no longer routed to it.
    """

    upstream: str
    before: str
    after: str
    gains: tuple[str, ...] = ()
    loses: tuple[str, ...] = ()

    def phrases(self) -> list[tuple[str, str]]:
        """Return the effect as verb phrases.

        Returns
        -------
        list of tuple of str
            Each phrase in its singular and plural form.
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
    """Return the effects of a change on all affected upstreams.

    Sample requests are derived from the matches of the routing selectors and routed
    with both configurations. A selector that is shadowed by another one has an effect
    only on the requests that it decides.

    Parameters
    ----------
    before : View
        The configuration just before the change.
    after : View
        The configuration just after the change.
    change : Change
        The change.
    platform_labels : mapping of str to mapping
        Labels that the platform reports for each known upstream, by upstream.

    Returns
    -------
    list of Effect
        Sorted by upstream.
    """
    samples = _samples([*before.routes(), *after.routes()])
    routes_before = _route_samples(before, samples)
    routes_after = _route_samples(after, samples)
    rerouted = [
        phrase for phrase in samples if routes_before[phrase] != routes_after[phrase]
    ]
    changed = {
        item.name for item in _changed_records(change) if item.kind == "upstream"
    }
    effects = []
    for upstream in _candidates(before, after, change, platform_labels):
        labels = platform_labels.get(upstream, {})
        requests = list(samples) if upstream in changed else rerouted
        old = _routing(before, upstream, labels, routes_before, requests)
        new = _routing(after, upstream, labels, routes_after, requests)
        effect = _compare(upstream, old, new)
        if effect is not None:
            effects.append(effect)
    return effects


def _candidates(
    before: View, after: View, change: Change, platform_labels: Mapping[str, Labels]
) -> list[str]:
    changed = {
        item.name for item in _changed_records(change) if item.kind == "upstream"
    }
    if all(item.kind != "selector" for item in _changed_records(change)):
        return sorted(changed)
    listed = {r.name for view in (before, after) for r in view.records("upstream")}
    return sorted(listed.union(platform_labels, changed))


def _changed_records(change: Change) -> tuple[Record | Removal, ...]:
    return (*change.puts, *change.removals)


@dataclass(slots=True, frozen=True)
class _Routing:
    state: str
    requests: tuple[str, ...]


def _routing(
    view: View,
    upstream: str,
    platform_labels: Labels,
    routes: Mapping[str, Selector | None],
    requests: Sequence[str],
) -> _Routing:
    labels = view.upstream_labels(upstream, platform_labels)
    routed = [
        phrase
        for phrase in requests
        if (route := routes[phrase]) is not None and route.upstreams.matches(labels)
    ]
    return _Routing(view.state(labels)[0], tuple(routed))


def _compare(upstream: str, old: _Routing, new: _Routing) -> Effect | None:
    gains = tuple(phrase for phrase in new.requests if phrase not in old.requests)
    loses = tuple(phrase for phrase in old.requests if phrase not in new.requests)
    if "serve" not in (old.state, new.state):
        gains = loses = ()
    if old.state == new.state and not gains and not loses:
        return None
    return Effect(upstream, old.state, new.state, gains, loses)


def _samples(routes: Sequence[Selector]) -> dict[str, Labels]:
    return {
        phrase: labels
        for route in routes
        for phrase, labels in _match_samples(route.work)
    }


def _match_samples(work: Match) -> list[tuple[str, Labels]]:
    phrase = work.describe("requests")
    values = [[(key, value) for value in allowed] for key, allowed in work.has.items()]
    samples = []
    for pairs in islice(product(*values), MAX_MATCH_SAMPLES):
        labels = {key: "any" if v == ANY_VALUE else v for key, v in pairs}
        samples.append(labels)
    if len(samples) == 1:
        return [(phrase, samples[0])]
    return [(_sample_phrase(labels), labels) for labels in samples]


def _sample_phrase(labels: Labels) -> str:
    return Match(has={k: (v,) for k, v in labels.items()}).describe("requests")


def _route_samples(
    view: View, samples: Mapping[str, Labels]
) -> dict[str, Selector | None]:
    return {phrase: view.route(labels) for phrase, labels in samples.items()}

"""What a change of configuration does, in words.

All functions are pure. `describe` costs time in proportion to routing selectors
times upstreams, so that callers with many of both run it in a thread.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import islice, product

from toucanspool.config.match import ANY_VALUE, Labels, Match
from toucanspool.config.records import (
    Change,
    Operator,
    Record,
    Request,
    Selector,
    Team,
    Upstream,
)
from toucanspool.config.view import View

MAX_NAMES = 3
MAX_CLAUSES = 3
MAX_SAMPLES = 8

STATE_WORDS = {
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

    def outcomes(self) -> list[tuple[str, str]]:
        """Return what happens as verb phrases.

        Returns
        -------
        list of tuple of str
            Each phrase for one upstream and for several.
        """
        if self.before != self.after and self.after != "serve":
            return [STATE_WORDS[self.after]]
        outcomes = [STATE_WORDS["serve"]] if self.before != self.after else []
        if self.gains:
            work = join_words(self.gains)
            outcomes.append((f"may get {work}", f"may get {work}"))
        if self.loses:
            work = join_words(self.loses)
            outcomes.append((f"gets no more {work}", f"get no more {work}"))
        return outcomes


@dataclass(slots=True, frozen=True)
class Description:
    """Hold a change in words.

    Parameters
    ----------
    sentence : str
        The whole change in one sentence.
    clauses : tuple of str
        What was done to each record.
    effects : tuple of Effect
        What happens to upstreams.
    """

    sentence: str
    clauses: tuple[str, ...]
    effects: tuple[Effect, ...]


def describe(before: View, change: Change, given: Mapping[str, Labels]) -> Description:
    """Say what a change does.

    Parameters
    ----------
    before : View
        The configuration that the change follows.
    change : Change
        The change; its own sentence is not read.
    given : mapping of str to mapping
        The platform's labels of each upstream known, by upstream.

    Returns
    -------
    Description

    Raises
    ------
    RevisionGap
        The change does not follow the view.
    """
    after = before.copy()
    after.apply(change)
    clauses = [_put_clause(before.get(r.kind, r.name), r) for r in change.puts]
    clauses.extend(f"removed {r.kind} {r.name}" for r in change.removals)
    effects = _effects(before, after, change, given)
    text = f"{title(change.operator)} {_summary(clauses, change)}"
    outcome = _outcome(effects)
    if outcome:
        text += f", so {outcome}"
    return Description(f"{text}.", tuple(clauses), tuple(effects))


def join_words(words: Sequence[str], most: int = MAX_NAMES) -> str:
    """Return words as a list in a sentence.

    Parameters
    ----------
    words : sequence of str
        The words.
    most : int, default=3
        How many are written out.

    Returns
    -------
    str
        For example ``"a, b, c and 9 more"``.
    """
    shown = list(words[:most])
    if len(words) > most:
        shown.append(f"{len(words) - most} more")
    if len(shown) < 2:
        return "".join(shown)
    return f"{', '.join(shown[:-1])} and {shown[-1]}"


def title(name: str) -> str:
    """Return a name with a capital at the start of a sentence.

    Parameters
    ----------
    name : str
        The name.

    Returns
    -------
    str
    """
    return name[:1].upper() + name[1:]


def _summary(clauses: list[str], change: Change) -> str:
    if len(clauses) <= MAX_CLAUSES:
        return join_words(clauses)
    counts: dict[str, int] = {}
    for item in (*change.puts, *change.removals):
        counts[item.kind] = counts.get(item.kind, 0) + 1
    parts = [f"{n} {kind}{'s' if n > 1 else ''}" for kind, n in counts.items()]
    return f"changed {join_words(parts, len(parts))}"


def _put_clause(old: Record | None, new: Record) -> str:
    if old == new:
        return f"kept {new.kind} {new.name} as it was"
    if isinstance(new, Selector):
        verb = "changed" if old else "added"
        return f"{verb} selector {new.name}, which says that {_lower(new.sentence())}"
    if isinstance(new, Request):
        verb = "changed" if old else "added"
        labels = join_words([f"{k}={v}" for k, v in new.labels.items()] or ["none"])
        work = new.when.sentence("requests")
        return f"{verb} rule {new.name}, which puts label {labels} on {work}"
    return _labelled_clause(old, new)


def _labelled_clause(old: Record | None, new: Record) -> str:
    steps = []
    if old is None and not isinstance(new, Upstream):
        steps.append(f"added {new.kind} {new.name}")
    if isinstance(new, Upstream | Team):
        labels = old.labels if isinstance(old, Upstream | Team) else {}
        target = "" if steps else f" on {new.kind} {new.name}"
        steps.extend(_label_steps(labels, new.labels, target))
    if old is not None and isinstance(new, Team | Operator):
        steps.extend(_key_steps(old, new))
    return join_words(steps or [f"listed {new.kind} {new.name}"], MAX_CLAUSES)


def _label_steps(old: Labels, new: Labels, target: str) -> list[str]:
    steps = []
    for key, value in new.items():
        if key not in old:
            steps.append(f"put label {key}={value}{target}")
        elif old[key] != value:
            steps.append(f"changed label {key} from {old[key]} to {value}{target}")
    steps.extend(f"took off label {k}={old[k]}{target}" for k in old if k not in new)
    return steps


def _key_steps(old: Record, new: Team | Operator) -> list[str]:
    held = set(getattr(old, "key_hashes", ()))
    fresh = len(set(new.key_hashes) - held)
    gone = len(held - set(new.key_hashes))
    steps = []
    if fresh:
        steps.append(f"gave {new.kind} {new.name} {_keys(fresh, 'new ')}")
    if gone:
        steps.append(f"withdrew {_keys(gone, '')} of {new.kind} {new.name}")
    return steps


def _keys(number: int, word: str) -> str:
    return f"a {word}key" if number == 1 else f"{number} {word}keys"


def _lower(sentence: str) -> str:
    return sentence[:1].lower() + sentence[1:].removesuffix(".")


def _outcome(effects: Sequence[Effect]) -> str:
    groups: dict[tuple[str, str], list[str]] = {}
    for effect in effects:
        for words in effect.outcomes():
            groups.setdefault(words, []).append(effect.upstream)
    clauses = [
        f"{join_words(names)} {one if len(names) == 1 else many}"
        for (one, many), names in groups.items()
    ]
    return join_words(clauses)


def _effects(
    before: View, after: View, change: Change, given: Mapping[str, Labels]
) -> list[Effect]:
    samples = _samples([*before.routes(), *after.routes()])
    works_before = _routes(before, samples)
    works_after = _routes(after, samples)
    effects = []
    for upstream in _upstreams(before, after, change, given):
        labels = given.get(upstream, {})
        old = _standing(before, upstream, labels, works_before)
        new = _standing(after, upstream, labels, works_after)
        effect = _effect(upstream, old, new)
        if effect is not None:
            effects.append(effect)
    return effects


def _upstreams(
    before: View, after: View, change: Change, given: Mapping[str, Labels]
) -> list[str]:
    items = (*change.puts, *change.removals)
    touched = {item.name for item in items if item.kind == "upstream"}
    if all(item.kind != "selector" for item in items):
        return sorted(touched)
    listed = {r.name for view in (before, after) for r in view.records("upstream")}
    return sorted(listed.union(given, touched))


@dataclass(slots=True, frozen=True)
class _Standing:
    state: str
    work: tuple[str, ...]


def _standing(
    view: View, upstream: str, given: Labels, works: Mapping[str, Selector | None]
) -> _Standing:
    labels = view.upstream_labels(upstream, given)
    work = [
        phrase
        for phrase, selector in works.items()
        if selector is not None and selector.upstreams.fits(labels)
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
    phrase = work.sentence("requests")
    values = [[(key, value) for value in held] for key, held in work.has.items()]
    samples = []
    for pairs in islice(product(*values), MAX_SAMPLES):
        labels = {key: "any" if v == ANY_VALUE else v for key, v in pairs}
        samples.append(labels)
    if len(samples) == 1:
        return [(phrase, samples[0])]
    return [(_sample_phrase(labels), labels) for labels in samples]


def _sample_phrase(labels: Labels) -> str:
    return Match(has={k: (v,) for k, v in labels.items()}).sentence("requests")


def _routes(view: View, samples: Mapping[str, Labels]) -> dict[str, Selector | None]:
    return {phrase: view.route(labels) for phrase, labels in samples.items()}

"""What a change of configuration does to records, in words."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from toucanspool.config.match import Labels
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
from toucanspool.config.words import join_words

MAX_CLAUSES = 3
KIND_WORDS = {"request": "request rule"}


@dataclass(slots=True, frozen=True)
class Step:
    """Hold one thing done to one record.

    Parameters
    ----------
    done : str
        What was done, up to the record: ``"put label state=drain on"``.
    kind : str
        Kind of the record.
    name : str
        Its name.
    more : str, default=""
        What follows the record.
    """

    done: str
    kind: str
    name: str
    more: str = ""


def steps_of(before: View, change: Change) -> list[Step]:
    """Return all that a change does to records.

    Parameters
    ----------
    before : View
        The configuration that the change follows.
    change : Change
        The change.

    Returns
    -------
    list of Step
    """
    steps: list[Step] = []
    for record in change.puts:
        steps.extend(_put_steps(before.get(record.kind, record.name), record))
    steps.extend(Step("removed", item.kind, item.name) for item in change.removals)
    return steps


def summary(steps: Sequence[Step]) -> str:
    """Return steps as the predicate of one sentence.

    Parameters
    ----------
    steps : sequence of Step
        At least one.

    Returns
    -------
    str
        For example ``"put label state=drain on upstreams guide-3 and guide-4"``.
    """
    groups: dict[tuple[str, str, str], list[str]] = {}
    for step in steps:
        groups.setdefault((step.done, step.kind, step.more), []).append(step.name)
    clauses = [_clause(*group, names) for group, names in groups.items()]
    if len(clauses) > MAX_CLAUSES:
        return _counts(steps)
    if any(", which" in clause for clause in clauses):
        return "; ".join(clauses)
    return join_words(clauses)


def _clause(done: str, kind: str, more: str, names: list[str]) -> str:
    plural = "s" if len(names) > 1 else ""
    return f"{done} {KIND_WORDS.get(kind, kind)}{plural} {join_words(names)}{more}"


def _counts(steps: Sequence[Step]) -> str:
    records: dict[str, set[str]] = {}
    for step in steps:
        records.setdefault(step.kind, set()).add(step.name)
    parts = [
        f"{len(names)} {KIND_WORDS.get(kind, kind)}{'s' if len(names) > 1 else ''}"
        for kind, names in records.items()
    ]
    return f"changed {join_words(parts, len(parts))}"


def _put_steps(old: Record | None, new: Record) -> Iterator[Step]:
    if old == new:
        yield Step("kept", new.kind, new.name, " as before")
    elif isinstance(new, Selector | Request):
        verb = "changed" if old else "added"
        yield Step(verb, new.kind, new.name, f", which says that {_rule(new)}")
    elif old is None and not isinstance(new, Upstream):
        labels = new.labels if isinstance(new, Team) else {}
        yield Step("added", new.kind, new.name, _with_labels(labels))
    else:
        yield from _changed_steps(old, new)


def _changed_steps(old: Record | None, new: Record) -> Iterator[Step]:
    if old is None:
        yield from _label_steps({}, new)
        if not new.labels:
            yield Step("listed", new.kind, new.name)
        return
    if isinstance(old, Upstream | Team):
        yield from _label_steps(old.labels, new)
    if isinstance(old, Team | Operator):
        yield from _key_steps(old, new)


def _label_steps(old: Labels, new: Record) -> Iterator[Step]:
    for key, value in new.labels.items():
        if key not in old:
            yield Step(f"put label {key}={value} on", new.kind, new.name)
        elif old[key] != value:
            done = f"changed label {key} from {old[key]} to {value} on"
            yield Step(done, new.kind, new.name)
    for key in old:
        if key not in new.labels:
            yield Step(f"took label {key}={old[key]} off", new.kind, new.name)


def _key_steps(old: Team | Operator, new: Team | Operator) -> Iterator[Step]:
    fresh = len(set(new.key_hashes) - set(old.key_hashes))
    gone = len(set(old.key_hashes) - set(new.key_hashes))
    if fresh:
        words = "a new key" if fresh == 1 else f"{fresh} new keys"
        yield Step(f"gave {words} to", new.kind, new.name)
    if gone:
        words = "a key" if gone == 1 else f"{gone} keys"
        yield Step(f"withdrew {words} of", new.kind, new.name)


def _with_labels(labels: Labels) -> str:
    if not labels:
        return ""
    words = [f"{key}={value}" for key, value in labels.items()]
    return f" with label{'s' if len(words) > 1 else ''} {join_words(words)}"


def _rule(record: Selector | Request) -> str:
    if isinstance(record, Selector):
        sentence = record.sentence()
        return sentence[:1].lower() + sentence[1:].removesuffix(".")
    work = record.when.describe("requests")
    return (
        f"{work} get{_with_labels(record.labels).removeprefix(' with') or ' no label'}"
    )

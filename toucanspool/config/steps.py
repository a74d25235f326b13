"""Descriptions of the record edits in a configuration change."""

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
KIND_NAMES = {"request": "request rule"}


@dataclass(slots=True, frozen=True)
class Step:
    """Describe one edit of one record.

    Parameters
    ----------
    action : str
        Verb phrase before the record's name, such as ``"put label state=drain on"``.
    kind : str
        Kind of the record.
    name : str
        Its name.
    suffix : str, default=""
        Text after the record's name.
    """

    action: str
    kind: str
    name: str
    suffix: str = ""


def steps_of(before: View, change: Change) -> list[Step]:
    """Return the edits that a change makes to records.

    Parameters
    ----------
    before : View
        The configuration just before the change.
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
    """Combine steps into the predicate of one sentence.

    Parameters
    ----------
    steps : sequence of Step
        At least one.

    Returns
    -------
    str
        For example ``"put label state=drain on upstreams guide-3 and guide-4"``.
    """
    names_by_clause: dict[tuple[str, str, str], list[str]] = {}
    for step in steps:
        names_by_clause.setdefault((step.action, step.kind, step.suffix), []).append(
            step.name
        )
    clauses = [_clause(*parts, names) for parts, names in names_by_clause.items()]
    if len(clauses) > MAX_CLAUSES:
        return _summarize_counts(steps)
    if any(", which" in clause for clause in clauses):
        return "; ".join(clauses)
    return join_words(clauses)


def _clause(action: str, kind: str, suffix: str, names: list[str]) -> str:
    plural = "s" if len(names) > 1 else ""
    return f"{action} {KIND_NAMES.get(kind, kind)}{plural} {join_words(names)}{suffix}"


def _summarize_counts(steps: Sequence[Step]) -> str:
    names_by_kind: dict[str, set[str]] = {}
    for step in steps:
        names_by_kind.setdefault(step.kind, set()).add(step.name)
    parts = [
        f"{len(names)} {KIND_NAMES.get(kind, kind)}{'s' if len(names) > 1 else ''}"
        for kind, names in names_by_kind.items()
    ]
    return f"changed {join_words(parts, len(parts))}"


def _put_steps(old: Record | None, new: Record) -> Iterator[Step]:
    if old == new:
        yield Step("kept", new.kind, new.name, " as before")
    elif isinstance(new, Selector | Request):
        verb = "changed" if old else "added"
        yield Step(verb, new.kind, new.name, f", which says that {_describe_rule(new)}")
    elif old is None and not isinstance(new, Upstream):
        labels = new.labels if isinstance(new, Team) else {}
        yield Step("added", new.kind, new.name, _label_suffix(labels))
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
            action = f"changed label {key} from {old[key]} to {value} on"
            yield Step(action, new.kind, new.name)
    for key in old:
        if key not in new.labels:
            yield Step(f"took label {key}={old[key]} off", new.kind, new.name)


def _key_steps(old: Team | Operator, new: Team | Operator) -> Iterator[Step]:
    added = len(set(new.key_hashes) - set(old.key_hashes))
    removed = len(set(old.key_hashes) - set(new.key_hashes))
    if added:
        keys = "a new key" if added == 1 else f"{added} new keys"
        yield Step(f"gave {keys} to", new.kind, new.name)
    if removed:
        keys = "a key" if removed == 1 else f"{removed} keys"
        yield Step(f"withdrew {keys} of", new.kind, new.name)


def _label_suffix(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = [f"{key}={value}" for key, value in labels.items()]
    return f" with label{'s' if len(pairs) > 1 else ''} {join_words(pairs)}"


def _describe_rule(record: Selector | Request) -> str:
    if isinstance(record, Selector):
        sentence = record.sentence()
        return sentence[:1].lower() + sentence[1:].removesuffix(".")
    requests = record.when.describe("requests")
    return (
        f"{requests} get"
        f"{_label_suffix(record.labels).removeprefix(' with') or ' no label'}"
    )

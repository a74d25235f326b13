"""Descriptions of configuration changes for operators.

All functions are pure. `describe` takes time proportional to the number of routing
selectors times the number of upstreams; callers with many of both run it in a thread.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from toucanspool.config.effects import Effect, effects_of
from toucanspool.config.match import Labels
from toucanspool.config.records import Change
from toucanspool.config.steps import Step, steps_of, summary
from toucanspool.config.view import View
from toucanspool.config.words import capitalize_first, join_words


@dataclass(slots=True, frozen=True)
class Description:
    """Describe a change in words.

    Parameters
    ----------
    sentence : str
        The whole change in one sentence.
    steps : tuple of Step
        Edits made to records.
    effects : tuple of Effect
        Resulting changes in how upstreams are used.
    """

    sentence: str
    steps: tuple[Step, ...]
    effects: tuple[Effect, ...]


def describe(
    before: View, change: Change, platform_labels: Mapping[str, Labels]
) -> Description:
    """Describe what a change does to records and upstreams.

    Parameters
    ----------
    before : View
        The configuration just before the change.
    change : Change
        The change; its `sentence` is ignored.
    platform_labels : mapping of str to mapping
        Labels that the platform reports for each known upstream, by upstream.

    Returns
    -------
    Description

    Raises
    ------
    RevisionGap
        The change is not the next revision after the view.
    """
    after = before.copy()
    after.apply(change)
    steps = steps_of(before, change)
    effects = effects_of(before, after, change, platform_labels)
    text = f"{capitalize_first(change.operator)} {summary(steps)}"
    effect_text = _describe_effects(effects)
    if effect_text:
        text += f", so {effect_text}"
    return Description(f"{text}.", tuple(steps), tuple(effects))


def _describe_effects(effects: Sequence[Effect]) -> str:
    upstreams_by_phrase: dict[tuple[str, str], list[str]] = {}
    for effect in effects:
        for phrase in effect.phrases():
            upstreams_by_phrase.setdefault(phrase, []).append(effect.upstream)
    clauses = [
        f"{join_words(names)} {singular if len(names) == 1 else plural}"
        for (singular, plural), names in upstreams_by_phrase.items()
    ]
    return join_words(clauses)

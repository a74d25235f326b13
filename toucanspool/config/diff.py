"""What a change of configuration does, in words.

All functions are pure. `describe` costs time in proportion to routing selectors
times upstreams, so that callers with many of both run it in a thread.
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
    """Hold a change in words.

    Parameters
    ----------
    sentence : str
        The whole change in one sentence.
    steps : tuple of Step
        What was done to records.
    effects : tuple of Effect
        What happens to upstreams.
    """

    sentence: str
    steps: tuple[Step, ...]
    effects: tuple[Effect, ...]


def describe(
    before: View, change: Change, platform_labels: Mapping[str, Labels]
) -> Description:
    """Say what a change does.

    Parameters
    ----------
    before : View
        The configuration that the change follows.
    change : Change
        The change; its own sentence is not read.
    platform_labels : mapping of str to mapping
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
    steps = steps_of(before, change)
    effects = effects_of(before, after, change, platform_labels)
    text = f"{capitalize_first(change.operator)} {summary(steps)}"
    outcome = _outcome(effects)
    if outcome:
        text += f", so {outcome}"
    return Description(f"{text}.", tuple(steps), tuple(effects))


def _outcome(effects: Sequence[Effect]) -> str:
    groups: dict[tuple[str, str], list[str]] = {}
    for effect in effects:
        for words in effect.phrases():
            groups.setdefault(words, []).append(effect.upstream)
    clauses = [
        f"{join_words(names)} {one if len(names) == 1 else many}"
        for (one, many), names in groups.items()
    ]
    return join_words(clauses)

"""Changes, states and routing decisions in sentences for a manager."""

import time
from collections.abc import Mapping, Sequence
from typing import Protocol

from toucanspool.config.effects import STATE_PHRASES
from toucanspool.config.match import Labels
from toucanspool.config.records import Change
from toucanspool.config.view import View
from toucanspool.config.words import capitalize_first, join_words

WORK_LABELS = ("model", "service")


class RoutingDecision(Protocol):
    """Describe what a record of a routing decision holds.

    Attributes
    ----------
    request_id : str
        The request.
    team : str
        The caller's team.
    labels : mapping of str to str
        The request's labels.
    selector : str or None
        The selector that said where it may go.
    candidates : sequence of str
        Upstreams that it might have gone to, a few of them.
    eligible : int
        How many there were.
    chosen : str
        The upstream chosen; empty where there was none.
    reason : str
        Why.
    revision : int
        Revision of the configuration.
    attempt : int
        Number of the attempt, from 1.
    """

    request_id: str
    team: str
    labels: Mapping[str, str]
    selector: str | None
    candidates: Sequence[str]
    eligible: int
    chosen: str
    reason: str
    revision: int
    attempt: int


def explain_decision(decision: RoutingDecision) -> str:
    """Say in a sentence where a request went and why.

    Parameters
    ----------
    decision : RoutingDecision
        The record of the decision.

    Returns
    -------
    str
    """
    told = f"{_subject(decision)} {_result(decision)}"
    return f"{told}, under revision {decision.revision} of the configuration."


def explain_change(change: Change) -> str:
    """Say in a sentence what an accepted change meant, and when it was made.

    Parameters
    ----------
    change : Change
        The change.

    Returns
    -------
    str
    """
    when = time.strftime("%Y-%m-%d at %H:%M:%S UTC", time.gmtime(change.at))
    told = (
        change.sentence
        or f"{capitalize_first(change.operator)} changed the configuration."
    )
    return f"{told.removesuffix('.')} (revision {change.revision}, {when})."


def explain_state(view: View, upstream: str, given: Labels) -> str:
    """Say in a sentence why an upstream drains, stands by or serves.

    Parameters
    ----------
    view : View
        The configuration in force.
    upstream : str
        The upstream's name.
    given : mapping of str to str
        The labels that the platform gives.

    Returns
    -------
    str
    """
    state, selector = view.state(view.upstream_labels(upstream, given))
    doing = f"{capitalize_first(upstream)} {STATE_PHRASES[state][0]}"
    if selector is None:
        return f"{doing}, because no selector says otherwise."
    return f"{doing}, because selector {selector.name} says: {selector.sentence()}"


def _subject(decision: RoutingDecision) -> str:
    work = [decision.labels[key] for key in WORK_LABELS if key in decision.labels]
    about = f" for {work[0]}" if work else ""
    again = decision.attempt > 1
    start = f"Attempt {decision.attempt} of request" if again else "Request"
    return f"{start} {decision.request_id} of team {decision.team}{about}"


def _result(decision: RoutingDecision) -> str:
    if not decision.chosen:
        return f"was turned away, because {_why_none(decision)}"
    if decision.eligible == 1:
        return (
            f"went to {decision.chosen}, the only upstream that {_allowed_by(decision)}"
        )
    return (
        f"went to {decision.chosen}, one of {decision.eligible} upstreams that "
        f"{_allowed_by(decision)} ({_names(decision)}), chosen for {decision.reason}"
    )


def _why_none(decision: RoutingDecision) -> str:
    if not decision.eligible:
        return f"no upstream that {_allowed_by(decision)} serves now"
    return (
        f"none of the {decision.eligible} upstreams that {_allowed_by(decision)} "
        f"({_names(decision)}) could take it ({decision.reason})"
    )


def _allowed_by(decision: RoutingDecision) -> str:
    if decision.selector:
        return f"selector {decision.selector} allows"
    return "its labels allow"


def _names(decision: RoutingDecision) -> str:
    hidden = decision.eligible - len(decision.candidates)
    names = [*decision.candidates, *([f"{hidden} more"] if hidden > 0 else [])]
    return join_words(names, len(names))

"""Plain-language explanations of changes, states and routing decisions."""

import time
from collections.abc import Mapping, Sequence
from typing import Protocol

from toucanspool.config.effects import STATE_PHRASES
from toucanspool.config.match import Labels
from toucanspool.config.records import Change
from toucanspool.config.view import View
from toucanspool.config.words import capitalize_first, join_words

WORKLOAD_LABELS = ("model", "service")


class RoutingDecision(Protocol):
    """Define the fields of a recorded routing decision.

    Attributes
    ----------
    request_id : str
        Id of the request.
    team : str
        Name of the caller's team.
    labels : mapping of str to str
        Labels of the request.
    selector : str or None
        Name of the selector that routed the request, if any.
    candidates : sequence of str
        Names of some of the eligible upstreams.
    eligible : int
        Number of all eligible upstreams.
    chosen : str
        Name of the chosen upstream; empty if none was chosen.
    reason : str
        Why this upstream, or none, was chosen.
    revision : int
        Revision of the configuration that was used.
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
    """Return a sentence on where a request was routed and why.

    Parameters
    ----------
    decision : RoutingDecision
        The recorded decision.

    Returns
    -------
    str
    """
    clause = f"{_subject(decision)} {_result(decision)}"
    return f"{clause}, under revision {decision.revision} of the configuration."


def explain_change(change: Change) -> str:
    """Return a sentence on what an accepted change did and when.

    Parameters
    ----------
    change : Change
        The change.

    Returns
    -------
    str
    """
    when = time.strftime("%Y-%m-%d at %H:%M:%S UTC", time.gmtime(change.at))
    text = (
        change.sentence
        or f"{capitalize_first(change.operator)} changed the configuration."
    )
    return f"{text.removesuffix('.')} (revision {change.revision}, {when})."


def explain_state(view: View, upstream: str, platform_labels: Labels) -> str:
    """Return a sentence on why an upstream drains, stands by or serves.

    Parameters
    ----------
    view : View
        The active configuration.
    upstream : str
        The upstream's name.
    platform_labels : mapping of str to str
        Labels of the upstream as the platform reports them.

    Returns
    -------
    str
    """
    state, selector = view.state(view.upstream_labels(upstream, platform_labels))
    status = f"{capitalize_first(upstream)} {STATE_PHRASES[state][0]}"
    if selector is None:
        return f"{status}, because no selector says otherwise."
    return f"{status}, because selector {selector.name} says: {selector.sentence()}"


def _subject(decision: RoutingDecision) -> str:
    workloads = [
        decision.labels[key] for key in WORKLOAD_LABELS if key in decision.labels
    ]
    purpose = f" for {workloads[0]}" if workloads else ""
    is_retry = decision.attempt > 1
    prefix = f"Attempt {decision.attempt} of request" if is_retry else "Request"
    return f"{prefix} {decision.request_id} of team {decision.team}{purpose}"


def _result(decision: RoutingDecision) -> str:
    if not decision.chosen:
        return f"was turned away, because {_rejection_reason(decision)}"
    if decision.eligible == 1:
        return (
            f"went to {decision.chosen}, the only upstream that {_allowed_by(decision)}"
        )
    return (
        f"went to {decision.chosen}, one of {decision.eligible} upstreams that "
        f"{_allowed_by(decision)} ({_candidates(decision)}), "
        f"chosen for {decision.reason}"
    )


def _rejection_reason(decision: RoutingDecision) -> str:
    if not decision.eligible:
        return f"no upstream that {_allowed_by(decision)} serves now"
    return (
        f"none of the {decision.eligible} upstreams that {_allowed_by(decision)} "
        f"({_candidates(decision)}) could take it ({decision.reason})"
    )


def _allowed_by(decision: RoutingDecision) -> str:
    if decision.selector:
        return f"selector {decision.selector} allows"
    return "its labels allow"


def _candidates(decision: RoutingDecision) -> str:
    omitted = decision.eligible - len(decision.candidates)
    names = [*decision.candidates, *([f"{omitted} more"] if omitted > 0 else [])]
    return join_words(names, len(names))

"""The operators' pages: records, changes, status, explanations."""

import time
from typing import Any

import falcon
import orjson
from pydantic import TypeAdapter, ValidationError

from toucanspool.config.diff import Description
from toucanspool.config.explanation import (
    explain_change,
    explain_decision,
    explain_state,
)
from toucanspool.config.failures import (
    ApplyBusy,
    ApplyError,
    ApplyUnavailable,
    ApplyUncertain,
    BadProposal,
    ChangeIdReused,
    RecordConflict,
    StaleBase,
)
from toucanspool.config.proposal import Proposal
from toucanspool.config.records import KINDS, BadRecord, Removal, encode, parse_record
from toucanspool.config.service import ConfigService
from toucanspool.config.view import View
from toucanspool.entry.access import Access
from toucanspool.entry.decisions import Decisions
from toucanspool.entry.presence import Presence
from toucanspool.entry.problems import Problem
from toucanspool.entry.router import Router
from toucanspool.settings.settings import Settings
from toucanspool.wire.gen.messages.ttypes import Outcome

MAX_CHANGE_BYTES = 1024 * 1024
MAX_HISTORY = 500
PLATFORM_RETRY_S = 5.0

_REMOVALS = TypeAdapter(tuple[Removal, ...])
_STATUS = {
    BadProposal: (422, "bad-change"),
    RecordConflict: (409, "conflict"),
    StaleBase: (409, "stale-base"),
    ChangeIdReused: (409, "change-id-reused"),
    ApplyUnavailable: (503, "platform-unavailable"),
    ApplyBusy: (503, "busy"),
    ApplyUncertain: (503, "change-uncertain"),
}


class AdminPages:
    """Serve the operators.

    Parameters
    ----------
    cfg : Settings
        The process's settings.
    access : Access
        Who calls.
    config : ConfigService
        The configuration.
    router : Router
        The upstreams.
    decisions : Decisions
        What was decided.
    presence : Presence
        Whether this entry leaves.
    """

    __slots__ = ("_access", "_cfg", "_config", "_decisions", "_presence", "_router")

    def __init__(
        self,
        cfg: Settings,
        access: Access,
        config: ConfigService,
        router: Router,
        decisions: Decisions,
        presence: Presence,
    ) -> None:
        self._cfg = cfg
        self._access = access
        self._config = config
        self._router = router
        self._decisions = decisions
        self._presence = presence

    def on_get_records(
        self, req: falcon.Request, resp: falcon.Response, kind: str
    ) -> None:
        """Answer with all records of a kind."""
        self._access.operator(req)
        if kind not in KINDS:
            raise Problem(404, "no-such-kind", f"Kinds are {', '.join(KINDS)}.")
        view = self._view()
        resp.media = {
            "revision": view.revision,
            "records": [orjson.loads(encode(r)) for r in view.records(kind)],
        }

    def on_post_changes(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Apply a change, or say what it would do."""
        operator = self._access.operator(req)
        body = _body(req)
        proposal = _proposal(body, operator.name)
        view = self._view() if self._config.ready else None
        store = self._config.store
        try:
            if body.get("dry_run"):
                told = store.dry_run(proposal, view=view, platform_labels=self._given())
                resp.media = {"dry_run": True, **_description(told)}
                return
            applied = store.apply(proposal, view=view, platform_labels=self._given())
        except ApplyError as exc:
            raise _problem(exc) from exc
        self._config.apply_local_change(applied.change)
        resp.media = {
            "revision": applied.change.revision,
            "repeated": applied.repeated,
            "sentence": applied.change.sentence,
        }

    def on_get_changes(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with the latest changes."""
        self._access.operator(req)
        limit = req.get_param_as_int("limit", min_value=1, max_value=MAX_HISTORY)
        changes = self._config.store.history(limit or 50)
        resp.media = {"changes": [_summary(change) for change in changes]}

    def on_get_status(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with what this entry knows."""
        self._access.operator(req)
        view = self._view()
        now = time.monotonic()
        resp.media = {
            "instance": self._cfg.instance,
            "failure_domain": self._cfg.failure_domain,
            "leaving": self._presence.leaving,
            "revision": view.revision,
            "upstreams": [
                self._upstream(target, view, now)
                for target in self._router.directory.targets
            ],
        }

    def on_get_explain_request(
        self, req: falcon.Request, resp: falcon.Response, request_id: str
    ) -> None:
        """Say where a request went and why."""
        self._access.operator(req)
        account = self._decisions.find(request_id)
        if account is None:
            raise Problem(
                404,
                "no-such-request",
                "This entry keeps no decision on that request; the part of the id "
                "before the last dash names the entry to ask.",
            )
        resp.media = {
            "request_id": request_id,
            "sentences": [explain_decision(item) for item in account.decisions],
            "result": account.result,
        }

    def on_get_explain_change(
        self, req: falcon.Request, resp: falcon.Response, revision: int
    ) -> None:
        """Say what a change means."""
        self._access.operator(req)
        change = self._config.store.change(revision)
        if change is None:
            raise Problem(404, "no-such-change", "There is no change of that revision.")
        resp.media = {**_summary(change), "sentence": explain_change(change)}

    def _view(self) -> View:
        return self._config.view if self._config.ready else View()

    def _given(self) -> dict[str, dict[str, str]]:
        targets = self._router.directory.targets
        return {target.instance.upstream: target.given for target in targets}

    def _upstream(self, target: Any, view: View, now: float) -> dict[str, Any]:
        labels = view.upstream_labels(target.instance.upstream, target.given)
        candidate = target.candidate
        age_s = now - candidate.reported_at if candidate.reported_at else None
        return {
            "name": target.instance.upstream,
            "failure_domain": target.instance.failure_domain,
            "state": self._router.directory.state(target, view),
            "why": explain_state(view, target.instance.upstream, target.given),
            "labels": labels,
            "running": candidate.running,
            "waiting": candidate.waiting,
            "step_ms": candidate.step_ms,
            "in_flight_here": candidate.in_flight,
            "report_age_s": age_s,
        }


def _body(req: falcon.Request) -> dict[str, Any]:
    raw = req.bounded_stream.read(MAX_CHANGE_BYTES + 1)
    if len(raw) > MAX_CHANGE_BYTES:
        raise Problem(413, "body-too-large", "A change has at most 1 MiB.")
    try:
        body = orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise Problem(400, "not-json", "The body is not JSON.") from exc
    if not isinstance(body, dict):
        raise Problem(422, "bad-change", "The body must be a JSON object.")
    return body


def _proposal(body: dict[str, Any], operator: str) -> Proposal:
    allowed = {"change_id", "base", "puts", "removals", "dry_run"}
    unknown = sorted(set(body) - allowed)
    if unknown:
        raise Problem(422, "bad-change", f"Unknown keys: {', '.join(unknown)}.")
    if not isinstance(body.get("base"), int):
        raise Problem(422, "bad-change", "base must be the revision that was seen.")
    try:
        return Proposal(
            change_id=str(body.get("change_id", "")),
            operator=operator,
            base=body["base"],
            puts=tuple(parse_record(item) for item in body.get("puts") or ()),
            removals=_REMOVALS.validate_python(body.get("removals") or ()),
        )
    except BadRecord as exc:
        raise Problem(422, "bad-change", f"{exc}.") from exc
    except (ValidationError, TypeError) as exc:
        raise Problem(422, "bad-change", "removals must name kind and name.") from exc


def _problem(exc: ApplyError) -> Problem:
    status, kind = _STATUS.get(type(exc), (503, "change-failed"))
    uncertain = isinstance(exc, ApplyUncertain)
    return Problem(
        status,
        kind,
        exc.sentence,
        outcome=Outcome.UNKNOWN if uncertain else Outcome.NOT_RUN,
        retry_after_s=PLATFORM_RETRY_S if status == 503 else 0.0,
    )


def _summary(change: Any) -> dict[str, Any]:
    return {
        "revision": change.revision,
        "change_id": change.change_id,
        "operator": change.operator,
        "at": change.at,
        "sentence": change.sentence,
    }


def _description(told: Description) -> dict[str, Any]:
    effects = [
        f"{effect.upstream} {singular}."
        for effect in told.effects
        for singular, _ in effect.phrases()
    ]
    return {"sentence": told.sentence, "effects": effects}

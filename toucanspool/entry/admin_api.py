"""The admin API: records, changes, status and explanations."""

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
from toucanspool.entry.authenticator import Authenticator
from toucanspool.entry.decision_log import DecisionLog
from toucanspool.entry.lifecycle import Lifecycle
from toucanspool.entry.problems import Problem
from toucanspool.entry.request_body import read_body
from toucanspool.entry.router import Router
from toucanspool.settings.settings import Settings
from toucanspool.wire.gen.messages.ttypes import Outcome

CHANGE_TIMEOUT_S = 10.0
MAX_CHANGE_BYTES = 1024 * 1024
MAX_LISTED_CHANGES = 500
RETRY_AFTER_S = 5.0

_REMOVALS = TypeAdapter(tuple[Removal, ...])
_STATUS_AND_KIND = {
    BadProposal: (422, "bad-change"),
    RecordConflict: (409, "conflict"),
    StaleBase: (409, "stale-base"),
    ChangeIdReused: (409, "change-id-reused"),
    ApplyUnavailable: (503, "platform-unavailable"),
    ApplyBusy: (503, "busy"),
    ApplyUncertain: (503, "change-uncertain"),
}


class AdminResource:
    """Serve the admin API; every method requires an operator's key.

    Parameters
    ----------
    cfg : Settings
        Settings of the process.
    authenticator : Authenticator
        Authenticates operators.
    config : ConfigService
        Configuration to read and change.
    router : Router
        Source of the state of upstreams.
    decision_log : DecisionLog
        Source of explanations of requests.
    lifecycle : Lifecycle
        Tells whether this entry is leaving.
    """

    __slots__ = (
        "_authenticator",
        "_cfg",
        "_config",
        "_decision_log",
        "_lifecycle",
        "_router",
    )

    def __init__(
        self,
        cfg: Settings,
        authenticator: Authenticator,
        config: ConfigService,
        router: Router,
        decision_log: DecisionLog,
        lifecycle: Lifecycle,
    ) -> None:
        self._cfg = cfg
        self._authenticator = authenticator
        self._config = config
        self._router = router
        self._decision_log = decision_log
        self._lifecycle = lifecycle

    def on_get_records(
        self, req: falcon.Request, resp: falcon.Response, kind: str
    ) -> None:
        """Return all records of a kind."""
        self._authenticator.authenticate_operator(req)
        if kind not in KINDS:
            raise Problem(404, "no-such-kind", f"Kinds are {', '.join(KINDS)}.")
        view = self._view()
        resp.media = {
            "revision": view.revision,
            "records": [orjson.loads(encode(r)) for r in view.records(kind)],
        }

    def on_post_changes(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Apply a change, or describe its effects on a dry run."""
        operator = self._authenticator.authenticate_operator(req)
        body = _read_body(req)
        proposal = _parse_proposal(body, operator.name)
        view = self._view() if self._config.ready else None
        store = self._config.store
        try:
            if body.get("dry_run"):
                description = store.dry_run(
                    proposal, view=view, platform_labels=self._platform_labels()
                )
                resp.media = {"dry_run": True, **_description(description)}
                return
            applied = store.apply(
                proposal, view=view, platform_labels=self._platform_labels()
            )
        except ApplyError as exc:
            raise _problem(exc) from exc
        self._config.apply_local_change(applied.change)
        resp.media = {
            "revision": applied.change.revision,
            "repeated": applied.repeated,
            "sentence": applied.change.sentence,
        }

    def on_get_changes(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the latest changes."""
        self._authenticator.authenticate_operator(req)
        limit = req.get_param_as_int("limit", min_value=1, max_value=MAX_LISTED_CHANGES)
        changes = self._config.store.history(limit or 50)
        resp.media = {"changes": [_summary(change) for change in changes]}

    def on_get_status(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the state of this entry and of its upstreams."""
        self._authenticator.authenticate_operator(req)
        view = self._view()
        now = time.monotonic()
        resp.media = {
            "instance": self._cfg.instance,
            "failure_domain": self._cfg.failure_domain,
            "leaving": self._lifecycle.leaving,
            "revision": view.revision,
            "upstreams": [
                self._upstream_status(target, view, now)
                for target in self._router.directory.targets
            ],
        }

    def on_get_explain_request(
        self, req: falcon.Request, resp: falcon.Response, request_id: str
    ) -> None:
        """Explain to which upstreams a request was sent and why."""
        self._authenticator.authenticate_operator(req)
        history = self._decision_log.find(request_id)
        if history is None:
            raise Problem(
                404,
                "no-such-request",
                "This entry keeps no decision on that request; the part of the id "
                "before the last dash names the entry to ask.",
            )
        resp.media = {
            "request_id": request_id,
            "sentences": [explain_decision(item) for item in history.decisions],
            "result": history.result,
        }

    def on_get_explain_change(
        self, req: falcon.Request, resp: falcon.Response, revision: int
    ) -> None:
        """Explain a change in a sentence."""
        self._authenticator.authenticate_operator(req)
        change = self._config.store.change(revision)
        if change is None:
            raise Problem(404, "no-such-change", "There is no change of that revision.")
        resp.media = {**_summary(change), "sentence": explain_change(change)}

    def _view(self) -> View:
        return self._config.view if self._config.ready else View()

    def _platform_labels(self) -> dict[str, dict[str, str]]:
        targets = self._router.directory.targets
        return {target.instance.upstream: target.platform_labels for target in targets}

    def _upstream_status(self, target: Any, view: View, now: float) -> dict[str, Any]:
        labels = view.upstream_labels(target.instance.upstream, target.platform_labels)
        candidate = target.candidate
        age_s = now - candidate.reported_at if candidate.reported_at else None
        return {
            "name": target.instance.upstream,
            "failure_domain": target.instance.failure_domain,
            "state": self._router.directory.state(target, view),
            "why": explain_state(
                view, target.instance.upstream, target.platform_labels
            ),
            "labels": labels,
            "running": candidate.running,
            "waiting": candidate.waiting,
            "step_ms": candidate.step_ms,
            "in_flight_here": candidate.in_flight,
            "report_age_s": age_s,
        }


def _read_body(req: falcon.Request) -> dict[str, Any]:
    raw = read_body(req, MAX_CHANGE_BYTES, CHANGE_TIMEOUT_S)
    try:
        body = orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise Problem(400, "not-json", "The body is not JSON.") from exc
    if not isinstance(body, dict):
        raise Problem(422, "bad-change", "The body must be a JSON object.")
    return body


def _parse_proposal(body: dict[str, Any], operator: str) -> Proposal:
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
    status, kind = _STATUS_AND_KIND.get(type(exc), (503, "change-failed"))
    uncertain = isinstance(exc, ApplyUncertain)
    return Problem(
        status,
        kind,
        exc.sentence,
        outcome=Outcome.UNKNOWN if uncertain else Outcome.NOT_RUN,
        retry_after_s=RETRY_AFTER_S if status == 503 else 0.0,
    )


def _summary(change: Any) -> dict[str, Any]:
    return {
        "revision": change.revision,
        "change_id": change.change_id,
        "operator": change.operator,
        "at": change.at,
        "sentence": change.sentence,
    }


def _description(description: Description) -> dict[str, Any]:
    effects = [
        f"{effect.upstream} {singular}."
        for effect in description.effects
        for singular, _ in effect.phrases()
    ]
    return {"sentence": description.sentence, "effects": effects}

"""Parsing and validation of callers' HTTP requests."""

import re
import uuid

import falcon
import orjson

from toucanspool.config.records import Team
from toucanspool.config.service import ConfigService
from toucanspool.entry.caller_request import CallerRequest
from toucanspool.entry.chat_body import parse_chat_body
from toucanspool.entry.directory import Directory
from toucanspool.entry.problems import Problem
from toucanspool.entry.request_body import read_body
from toucanspool.limits.share import parse_share
from toucanspool.membership.addresses import team_entry_count
from toucanspool.membership.service import InstancesService
from toucanspool.protected.clock import Clock
from toucanspool.retries.deadline import Deadline
from toucanspool.routing.policy import RoutingRequest
from toucanspool.routing.prefix import block_hashes
from toucanspool.settings.settings import Settings

TIMEOUT_HEADER = "Request-Timeout"
KEY_HEADER = "Idempotency-Key"
KEY_PATTERN = re.compile(r"^[\x21-\x7e]{1,200}$")
PRIORITIES = {"low": -1, "normal": 0, "high": 1}
MEAN_BYTES_PER_TOKEN = 4
SAFE_METHODS = frozenset({"GET", "HEAD"})
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})


class RequestReader:
    """Build validated requests from callers' HTTP requests.

    Parameters
    ----------
    cfg : Settings
        Settings of the process.
    config : ConfigService
        Source of the teams' and requests' labels.
    instances : InstancesService
        Source of the number of live entries.
    directory : Directory
        Source of the services and whether they are guarded.
    """

    __slots__ = ("_cfg", "_clock", "_config", "_directory", "_instances")

    def __init__(
        self,
        cfg: Settings,
        config: ConfigService,
        instances: InstancesService,
        directory: Directory,
        clock: Clock,
    ) -> None:
        self._cfg = cfg
        self._config = config
        self._instances = instances
        self._directory = directory
        self._clock = clock

    def chat(self, req: falcon.Request, team: Team, request_id: str) -> CallerRequest:
        """Return the request of a chat completion.

        Parameters
        ----------
        req : falcon.Request
            The HTTP request.
        team : Team
            The caller's team.
        request_id : str
            Id of the request.

        Returns
        -------
        CallerRequest

        Raises
        ------
        Problem
            The request is invalid.
        """
        body = self._body(req)
        fields = parse_chat_body(body)
        key = _idempotency_key(req)
        base_labels = {"model": fields["model"], "method": "POST"}
        base_labels["stream"] = "yes" if fields.get("stream") else "no"
        return self._build(
            req,
            team,
            request_id,
            base_labels=base_labels,
            path="/v1/chat/completions",
            body=body,
            streamed=bool(fields.get("stream")),
            idempotent=not key,
            key=key,
            prompt=orjson.dumps(fields["messages"]),
        )

    def service(
        self, req: falcon.Request, team: Team, request_id: str, name: str, path: str
    ) -> CallerRequest:
        """Return the request of a service call.

        Parameters
        ----------
        req : falcon.Request
            The HTTP request.
        team : Team
            The caller's team.
        request_id : str
            Id of the request.
        name : str
            Name of the service.
        path : str
            Path within the service, without the leading slash.

        Returns
        -------
        CallerRequest

        Raises
        ------
        Problem
            The request is invalid, or the service is unknown.
        """
        key = _idempotency_key(req)
        guarded = self._is_guarded(name)
        safe = req.method in SAFE_METHODS
        if guarded and not safe:
            _check_guarded(req.method, key)
        query = f"?{req.query_string}" if req.query_string else ""
        return self._build(
            req,
            team,
            request_id,
            base_labels={"service": name, "method": req.method},
            path=f"/{path}{query}",
            body=self._body(req),
            streamed=False,
            idempotent=req.method in IDEMPOTENT_METHODS,
            key=key if req.method == "POST" else "",
        )

    def _build(
        self,
        req: falcon.Request,
        team: Team,
        request_id: str,
        *,
        base_labels: dict[str, str],
        path: str,
        body: bytes,
        streamed: bool,
        idempotent: bool,
        key: str,
        prompt: bytes = b"",
    ) -> CallerRequest:
        labels = self._config.view.request_labels(base_labels, team)
        headers = {"accept": req.get_header("Accept") or "*/*"}
        if body:
            headers["content-type"] = req.content_type or "application/octet-stream"
        if key:
            headers["idempotency-key"] = key
        return CallerRequest(
            request_id=request_id,
            team=team,
            method=req.method,
            path=path,
            body=body,
            headers=headers,
            labels=labels,
            routing=self._routing(prompt),
            deadline=self._deadline(req),
            streamed=streamed,
            idempotent=idempotent and not key,
            idempotency_key=key,
            guarded=bool(key),
            priority=_priority(labels),
            share=self._share_per_entry(labels),
        )

    def _share_per_entry(self, labels: dict[str, str]) -> float:
        """Return the team's share divided by the entries that it is assigned."""
        share = parse_share(labels.get("team.share"))
        entries = team_entry_count(share, self._cfg.entry.addresses_per_team)
        return share / max(1, min(entries, self._instances.live_entries))

    def _routing(self, prompt: bytes) -> RoutingRequest:
        return RoutingRequest(
            failure_domain=self._cfg.failure_domain,
            prefixes=block_hashes(prompt),
            prompt_tokens=len(prompt) // MEAN_BYTES_PER_TOKEN,
        )

    def _is_guarded(self, name: str) -> bool:
        targets = [
            t
            for t in self._directory.targets
            if t.platform_labels.get("service") == name
        ]
        if not targets:
            raise Problem(404, "no-such-service", f"No service is named {name!r}.")
        return any(target.platform_labels.get("guarded") == "yes" for target in targets)

    def _body(self, req: falcon.Request) -> bytes:
        http = self._cfg.entry.http
        return read_body(req, http.max_body_bytes, http.body_timeout_s)

    def _deadline(self, req: falcon.Request) -> Deadline:
        entry = self._cfg.entry
        header = req.get_header(TIMEOUT_HEADER)
        if header is None:
            return Deadline.after(entry.default_timeout_s, self._clock.now())
        try:
            timeout_s = float(header)
        except ValueError:
            timeout_s = -1.0
        if not 0.0 < timeout_s <= entry.max_timeout_s:
            raise Problem(
                400,
                "bad-timeout",
                f"{TIMEOUT_HEADER} must be seconds from 0 to {entry.max_timeout_s:g}.",
            )
        return Deadline.after(timeout_s, self._clock.now())


def new_request_id(instance: str) -> str:
    """Return a new unique request id.

    Parameters
    ----------
    instance : str
        Name of this entry, the first part of the id.

    Returns
    -------
    str
    """
    return f"{instance}-{uuid.uuid4().hex[:16]}"


def _check_guarded(method: str, key: str) -> None:
    if method != "POST":
        raise Problem(
            405, "method-not-allowed", "This service takes only GET, HEAD and POST."
        )
    if not key:
        raise Problem(
            400,
            "idempotency-key-due",
            f"This service's calls may not be repeated, so {KEY_HEADER} is due.",
        )


def _idempotency_key(req: falcon.Request) -> str:
    key = req.get_header(KEY_HEADER)
    if key is None:
        return ""
    if not KEY_PATTERN.match(key):
        raise Problem(
            400,
            "bad-idempotency-key",
            f"{KEY_HEADER} must be 1 to 200 printable characters without spaces.",
        )
    return key


def _priority(labels: dict[str, str]) -> int:
    name = labels.get("priority") or labels.get("team.priority") or "normal"
    return PRIORITIES.get(name, 0)

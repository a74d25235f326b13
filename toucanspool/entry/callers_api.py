"""The callers' pages: addresses, chat completions, services, cancelling."""

import time
from collections.abc import Iterator

import falcon

from toucanspool.entry.access import Access
from toucanspool.entry.answer import Answer
from toucanspool.entry.caller_request import CallerRequest
from toucanspool.entry.dispatcher import Dispatcher
from toucanspool.entry.presence import Presence
from toucanspool.entry.problems import Problem
from toucanspool.entry.request_reader import RequestReader
from toucanspool.limits.share import parse_share
from toucanspool.membership.addresses import pick_entries, team_entry_count
from toucanspool.membership.service import InstancesService
from toucanspool.settings.settings import Settings
from toucanspool.telemetry.metrics import Metrics


class AddressPage:
    """Say which entries a team should use.

    Parameters
    ----------
    cfg : Settings
        The process's settings.
    access : Access
        Who calls.
    instances : InstancesService
        The entries known.
    presence : Presence
        Whether this entry leaves.
    """

    __slots__ = ("_access", "_cfg", "_instances", "_presence")

    def __init__(
        self,
        cfg: Settings,
        access: Access,
        instances: InstancesService,
        presence: Presence,
    ) -> None:
        self._cfg = cfg
        self._access = access
        self._instances = instances
        self._presence = presence

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer ``GET /v1/addresses``."""
        team = self._access.team(req)
        staying = [
            instance
            for instance in self._instances.instances
            if not (self._presence.leaving and instance.name == self._cfg.instance)
        ]
        share = parse_share(team.labels.get("share"))
        count = team_entry_count(share, self._cfg.entry.addresses_per_team)
        picked = pick_entries(team.name, staying, count)
        ttl_s = self._cfg.entry.address_ttl_s
        resp.set_header("Cache-Control", f"private, max-age={int(ttl_s)}")
        resp.media = {
            "addresses": [
                {
                    "url": f"http://{entry.host}:{entry.http_port}",
                    "failure_domain": entry.failure_domain,
                }
                for entry in picked
            ],
            "keep_for_s": ttl_s,
        }


class TimedAnswer:
    """Measure an answer while it is sent.

    Parameters
    ----------
    answer : Answer
        The answer.
    metrics : Metrics
        Where times go.
    started : float
        When the request came, in seconds on the monotonic clock.
    """

    __slots__ = ("_answer", "_metrics", "_started")

    def __init__(self, answer: Answer, metrics: Metrics, started: float) -> None:
        self._answer = answer
        self._metrics = metrics
        self._started = started

    def __iter__(self) -> Iterator[bytes]:
        first = True
        for piece in self._answer:
            if first:
                self._metrics.first_byte_time.record(time.monotonic() - self._started)
                first = False
            yield piece
        self._metrics.answer_time.record(time.monotonic() - self._started)

    def close(self) -> None:
        """Close the answer; called by the HTTP server."""
        self._answer.close()


class _AnswerPage:
    """Send dispatched answers."""

    __slots__ = ("_access", "_dispatcher", "_metrics", "_reader")

    def __init__(
        self,
        access: Access,
        reader: RequestReader,
        dispatcher: Dispatcher,
        metrics: Metrics,
    ) -> None:
        self._access = access
        self._reader = reader
        self._dispatcher = dispatcher
        self._metrics = metrics

    def _send(self, request: CallerRequest, resp: falcon.Response) -> None:
        started = time.monotonic()
        answer = self._dispatcher.begin(request)
        resp.status = answer.status
        resp.content_type = answer.content_type or "application/octet-stream"
        if answer.replayed:
            resp.set_header("Idempotent-Replayed", "true")
        resp.stream = TimedAnswer(answer, self._metrics, started)


class ChatPage(_AnswerPage):
    """Serve ``POST /v1/chat/completions``."""

    __slots__ = ()

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer a conversation, whole or streamed."""
        team = self._access.team(req)
        self._send(self._reader.chat(req, team, req.context.request_id), resp)


class ServicePage(_AnswerPage):
    """Serve ``/services/NAME/...``."""

    __slots__ = ()

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, name: str, path: str
    ) -> None:
        """Carry any method to the service."""
        team = self._access.team(req)
        request_id = req.context.request_id
        self._send(self._reader.service(req, team, request_id, name, path), resp)

    on_post = on_put = on_delete = on_head = on_patch = on_get


class RequestPage:
    """Serve ``DELETE /v1/requests/ID``.

    Parameters
    ----------
    access : Access
        Who calls.
    dispatcher : Dispatcher
        Where requests run.
    """

    __slots__ = ("_access", "_dispatcher")

    def __init__(self, access: Access, dispatcher: Dispatcher) -> None:
        self._access = access
        self._dispatcher = dispatcher

    def on_delete(
        self, req: falcon.Request, resp: falcon.Response, request_id: str
    ) -> None:
        """Cancel a team's own request."""
        team = self._access.team(req)
        if not self._dispatcher.cancel(team.name, request_id):
            raise Problem(
                404,
                "no-such-request",
                "This entry runs no such request of this team.",
            )
        resp.status = falcon.HTTP_202
        resp.media = {"request_id": request_id, "cancelling": True}

"""The HTTP API for callers: addresses, chat, services and cancellation."""

import time
from collections.abc import Iterator

import falcon

from toucanspool.entry.authenticator import Authenticator
from toucanspool.entry.caller_request import CallerRequest
from toucanspool.entry.dispatcher import Dispatcher
from toucanspool.entry.lifecycle import Lifecycle
from toucanspool.entry.problems import Problem
from toucanspool.entry.reply import Reply
from toucanspool.entry.request_reader import RequestReader
from toucanspool.limits.share import parse_share
from toucanspool.membership.addresses import pick_entries, team_entry_count
from toucanspool.membership.service import InstancesService
from toucanspool.settings.settings import Settings
from toucanspool.telemetry.metrics import Metrics
from toucanspool.wire.http_server import HANDLER_KEY, ReplyHandler


class AddressResource:
    """Serve ``/v1/addresses``: the entries that a team should use.

    Parameters
    ----------
    cfg : Settings
        Settings of the process.
    authenticator : Authenticator
        Authenticates the calling team.
    instances : InstancesService
        Source of the list of entries.
    lifecycle : Lifecycle
        Tells whether this entry is leaving; it is then left out of the list.
    """

    __slots__ = ("_authenticator", "_cfg", "_instances", "_lifecycle")

    def __init__(
        self,
        cfg: Settings,
        authenticator: Authenticator,
        instances: InstancesService,
        lifecycle: Lifecycle,
    ) -> None:
        self._cfg = cfg
        self._authenticator = authenticator
        self._instances = instances
        self._lifecycle = lifecycle

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the addresses of the team's entries."""
        team = self._authenticator.authenticate_team(req)
        candidates = [
            instance
            for instance in self._instances.instances
            if not (self._lifecycle.leaving and instance.name == self._cfg.instance)
        ]
        share = parse_share(team.labels.get("share"))
        count = team_entry_count(share, self._cfg.entry.addresses_per_team)
        picked = pick_entries(team.name, candidates, count)
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


class TimedReply:
    """Record the latency of a reply while it is sent.

    Parameters
    ----------
    reply : Reply
        Reply to send.
    metrics : Metrics
        Metrics to record the latency in.
    started_at : float
        Start of the request, in seconds on the monotonic clock.
    unframed_handler : ReplyHandler or None
        Told of the end of a reply without framing; None if the reply has framing.
    """

    __slots__ = ("_metrics", "_reply", "_started_at", "_unframed_handler")

    def __init__(
        self,
        reply: Reply,
        metrics: Metrics,
        started_at: float,
        unframed_handler: ReplyHandler | None,
    ) -> None:
        self._reply = reply
        self._unframed_handler = unframed_handler
        self._metrics = metrics
        self._started_at = started_at

    def __iter__(self) -> Iterator[bytes]:
        is_first = True
        for chunk in self._reply:
            if is_first:
                self._metrics.first_byte_time.record(
                    time.monotonic() - self._started_at
                )
                is_first = False
            yield chunk
        self._metrics.answer_time.record(time.monotonic() - self._started_at)
        if self._unframed_handler is not None:
            self._unframed_handler.finish_unframed_reply()

    def close(self) -> None:
        """Close the reply; called by the HTTP server."""
        self._reply.close()


class _DispatchingResource:
    """Dispatch requests and send the replies."""

    __slots__ = ("_authenticator", "_dispatcher", "_metrics", "_reader")

    def __init__(
        self,
        authenticator: Authenticator,
        reader: RequestReader,
        dispatcher: Dispatcher,
        metrics: Metrics,
    ) -> None:
        self._authenticator = authenticator
        self._reader = reader
        self._dispatcher = dispatcher
        self._metrics = metrics

    def _send(
        self, req: falcon.Request, request: CallerRequest, resp: falcon.Response
    ) -> None:
        started_at = time.monotonic()
        reply = self._dispatcher.dispatch(request)
        resp.status = reply.status
        resp.content_type = reply.content_type or "application/octet-stream"
        if reply.replayed:
            resp.set_header("Idempotent-Replayed", "true")
        handler = None
        if not reply.framed:
            handler = req.env[HANDLER_KEY]
            handler.begin_unframed_reply()
            resp.set_header("Connection", "close")
        resp.stream = TimedReply(reply, self._metrics, started_at, handler)


class ChatResource(_DispatchingResource):
    """Serve ``POST /v1/chat/completions``."""

    __slots__ = ()

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Run a chat completion; the reply is complete or streamed."""
        team = self._authenticator.authenticate_team(req)
        request = self._reader.chat(req, team, req.context.request_id)
        self._send(req, request, resp)


class ServiceResource(_DispatchingResource):
    """Serve ``/services/NAME/...``."""

    __slots__ = ()

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, name: str, path: str
    ) -> None:
        """Forward a request of any method to the service."""
        team = self._authenticator.authenticate_team(req)
        request_id = req.context.request_id
        request = self._reader.service(req, team, request_id, name, path)
        self._send(req, request, resp)

    on_post = on_put = on_delete = on_head = on_patch = on_get


class RequestResource:
    """Serve ``DELETE /v1/requests/ID``.

    Parameters
    ----------
    authenticator : Authenticator
        Authenticates the calling team.
    dispatcher : Dispatcher
        Dispatcher that runs the requests.
    """

    __slots__ = ("_authenticator", "_dispatcher")

    def __init__(self, authenticator: Authenticator, dispatcher: Dispatcher) -> None:
        self._authenticator = authenticator
        self._dispatcher = dispatcher

    def on_delete(
        self, req: falcon.Request, resp: falcon.Response, request_id: str
    ) -> None:
        """Cancel a request of the calling team."""
        team = self._authenticator.authenticate_team(req)
        if not self._dispatcher.cancel(team.name, request_id):
            raise Problem(
                404,
                "no-such-request",
                "This entry runs no such request of this team.",
            )
        resp.status = falcon.HTTP_202
        resp.media = {"request_id": request_id, "cancelling": True}

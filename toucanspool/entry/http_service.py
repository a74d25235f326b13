"""The HTTP service of an entry, with its graceful shutdown."""

import time
from contextlib import ExitStack
from typing import Any

import falcon
import gevent
import structlog

from toucanspool.backing.table import TableError
from toucanspool.config.service import ConfigService
from toucanspool.entry.admin_api import AdminResource
from toucanspool.entry.attempt import WHOLE_REPLIES
from toucanspool.entry.authenticator import Authenticator
from toucanspool.entry.callers_api import (
    AddressResource,
    ChatResource,
    RequestResource,
    ServiceResource,
)
from toucanspool.entry.decision_log import DecisionLog
from toucanspool.entry.dispatcher import Dispatcher
from toucanspool.entry.lifecycle import Lifecycle
from toucanspool.entry.problems import Problem
from toucanspool.entry.relayed import STREAM_MEMORY
from toucanspool.entry.request_reader import RequestReader, new_request_id
from toucanspool.entry.router import Router
from toucanspool.entry.status_api import HealthResource, MetricsResource, ReadyResource
from toucanspool.kernel.kernel import Kernel
from toucanspool.membership.service import InstancesService
from toucanspool.protected.clock import MonotonicClock
from toucanspool.settings.settings import Settings
from toucanspool.telemetry.metrics import Metrics
from toucanspool.wire.bounded_server import BoundedServer
from toucanspool.wire.client_limits import ClientLimits
from toucanspool.wire.gen.messages.ttypes import Outcome
from toucanspool.wire.request_limits import RequestLimits

REQUEST_ID_HEADER = "X-Request-Id"
FIRST_BYTES_S = 0.2
# Requests that come in this part of the grace period have most of it to end.
OPEN_SHARE = 0.25
# Time to tell callers of requests without an answer that this entry ends.
REFUSAL_S = 0.1
DRAIN_POLL_INTERVAL_S = 0.02
TABLE_RETRY_S = 5.0

_log = structlog.get_logger()


class RequestIdMiddleware:
    """Assign request ids and count responses; Falcon middleware.

    Parameters
    ----------
    instance : str
        Name of the entry, the first part of each request id.
    lifecycle : Lifecycle
        Tells whether the entry is leaving; it then closes connections.
    metrics : Metrics
        Metrics that count responses by status.
    """

    __slots__ = ("_instance", "_lifecycle", "_metrics")

    def __init__(self, instance: str, lifecycle: Lifecycle, metrics: Metrics) -> None:
        self._instance = instance
        self._lifecycle = lifecycle
        self._metrics = metrics

    def process_response(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        """Count the response by its status."""
        self._metrics.requests.labels(str(resp.status_code)).inc()

    def process_request(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Assign a request id and return it in a header."""
        req.context.request_id = new_request_id(self._instance)
        resp.set_header(REQUEST_ID_HEADER, req.context.request_id)
        if self._lifecycle.leaving:
            resp.set_header("Connection", "close")


class HttpService:
    """Serve the HTTP API for callers and operators.

    Parameters
    ----------
    cfg : Settings
        Settings of the process.
    decision_log : DecisionLog
        Log of routing decisions for the admin API.
    """

    __slots__ = (
        "_cfg",
        "_closing",
        "_decision_log",
        "_dispatcher",
        "_lifecycle",
        "_server",
    )

    def __init__(self, cfg: Settings, decision_log: DecisionLog) -> None:
        self._cfg = cfg
        self._decision_log = decision_log
        self._lifecycle = Lifecycle()
        self._closing = ExitStack()

    def start(self, kernel: Kernel) -> None:
        """Start the HTTP server; see `Service`."""
        self._dispatcher: Dispatcher = kernel.find("dispatcher")
        http = self._cfg.entry.http
        limits: ClientLimits = kernel.find("clients")
        WHOLE_REPLIES.max_bytes = min(WHOLE_REPLIES.max_bytes, limits.memory.max_bytes)
        STREAM_MEMORY.max_bytes = min(STREAM_MEMORY.max_bytes, limits.memory.max_bytes)
        self._server = BoundedServer(
            self._cfg.host,
            http.port,
            self._make_app(kernel),
            limits=RequestLimits(idle_timeout_s=http.idle_timeout_s),
            client_limits=limits,
        )
        self._server.start()
        self._closing.callback(self._server.stop, timeout=1.0)

    def stop(self) -> None:
        """Leave the address list, serve for its TTL, drain and stop; see `Service`."""
        ttl_s, grace_s = self._cfg.entry.address_ttl_s, self._cfg.drain.grace_s
        self._lifecycle.leaving = self._server.closing = True
        _log.info("leaving", keep_for_s=ttl_s)
        # Kept connections bring requests after the port has closed.
        self._dispatcher.graceful_stop.begin(
            time.monotonic(),
            open_s=ttl_s + OPEN_SHARE * grace_s,
            time_s=ttl_s + FIRST_BYTES_S + grace_s,
        )
        # Callers keep using this entry's address until its TTL expires.
        gevent.sleep(ttl_s)
        self._server.finish_accepting()
        # Connections accepted last have sent their request by then.
        gevent.sleep(FIRST_BYTES_S)
        self._wait_until_idle(grace_s)
        self._dispatcher.graceful_stop.end_unanswered()
        self._server.close_idle(REFUSAL_S)
        self._closing.close()

    def _wait_until_idle(self, timeout_s: float) -> None:
        with gevent.Timeout(timeout_s, False):
            while self._dispatcher.running or self._server.open_requests:
                gevent.sleep(DRAIN_POLL_INTERVAL_S)

    def _make_app(self, kernel: Kernel) -> falcon.App:
        config: ConfigService = kernel.find("config")
        router: Router = kernel.find("router")
        metrics = Metrics()
        authenticator = Authenticator(
            config, bootstrap_key_hash=self._cfg.entry.bootstrap_operator_key_hash
        )
        instances: InstancesService = kernel.find("instances")
        reader = RequestReader(
            self._cfg, config, instances, router.directory, MonotonicClock()
        )
        dependencies = (authenticator, reader, self._dispatcher, metrics)
        middleware = RequestIdMiddleware(self._cfg.instance, self._lifecycle, metrics)
        app = falcon.App(middleware=[middleware])
        app.req_options.strip_url_path_trailing_slash = False
        app.set_error_serializer(_serialize_http_error)
        app.add_error_handler(Exception, _handle_unexpected)
        app.add_error_handler(falcon.HTTPError, _handle_http_error)
        app.add_error_handler(Problem, _handle_problem)
        app.add_error_handler(TableError, _handle_table_error)
        app.add_route(
            "/v1/addresses",
            AddressResource(self._cfg, authenticator, instances, self._lifecycle),
        )
        app.add_route("/v1/chat/completions", ChatResource(*dependencies))
        app.add_route(
            "/v1/requests/{request_id}",
            RequestResource(authenticator, self._dispatcher),
        )
        app.add_route("/services/{name}/{path:path}", ServiceResource(*dependencies))
        app.add_route("/healthz", HealthResource())
        app.add_route("/readyz", ReadyResource(config, self._lifecycle))
        app.add_route("/metrics", MetricsResource(metrics, self._dispatcher, config))
        admin = AdminResource(
            self._cfg,
            authenticator,
            config,
            router,
            self._decision_log,
            self._lifecycle,
        )
        _add_admin_routes(app, admin)
        return app


def _add_admin_routes(app: falcon.App, admin: AdminResource) -> None:
    app.add_route("/admin/v1/records/{kind}", admin, suffix="records")
    app.add_route("/admin/v1/changes", admin, suffix="changes")
    app.add_route("/admin/v1/status", admin, suffix="status")
    app.add_route(
        "/admin/v1/explain/requests/{request_id}", admin, suffix="explain_request"
    )
    app.add_route(
        "/admin/v1/explain/changes/{revision:int}", admin, suffix="explain_change"
    )


def _request_id(req: falcon.Request) -> str:
    return getattr(req.context, "request_id", "")


def _handle_problem(
    req: falcon.Request, resp: falcon.Response, exc: Problem, params: Any
) -> None:
    exc.write(resp, _request_id(req))


def _handle_http_error(
    req: falcon.Request, resp: falcon.Response, exc: falcon.HTTPError, params: Any
) -> None:
    title = exc.title or "error"
    kind = title.split(" ", 1)[-1].lower().replace(" ", "-")
    detail = exc.description or f"{title}."
    Problem(exc.status_code, kind, detail).write(resp, _request_id(req))


def _handle_table_error(
    req: falcon.Request, resp: falcon.Response, exc: TableError, params: Any
) -> None:
    problem = Problem(
        503,
        "platform-unavailable",
        "The platform's table does not answer, so this can't be read now.",
        retry_after_s=TABLE_RETRY_S,
    )
    problem.write(resp, _request_id(req))


def _handle_unexpected(
    req: falcon.Request, resp: falcon.Response, exc: Exception, params: Any
) -> None:
    _log.error("unhandled exception", request_id=_request_id(req), exc_info=exc)
    problem = Problem(
        500,
        "internal-error",
        "The entry failed on this request; whether it ran is not known.",
        outcome=Outcome.UNKNOWN,
    )
    problem.write(resp, _request_id(req))


def _serialize_http_error(
    req: falcon.Request, resp: falcon.Response, exc: falcon.HTTPError
) -> None:
    _handle_http_error(req, resp, exc, {})

"""HTTP resources for probes and scrapers: health, readiness and metrics."""

import falcon

from toucanspool.config.service import ConfigService
from toucanspool.entry.dispatcher import Dispatcher
from toucanspool.entry.lifecycle import Lifecycle
from toucanspool.telemetry.metrics import CONTENT_TYPE, Metrics


class HealthResource:
    """Serve ``/healthz``: whether the process responds."""

    __slots__ = ()

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return that the process is running."""
        resp.media = {"ok": True}


class ReadyResource:
    """Serve ``/readyz``: whether the entry accepts requests.

    Parameters
    ----------
    config : ConfigService
        Configuration; nothing is served and the entry is not ready until it is loaded.
    lifecycle : Lifecycle
        Tells whether the entry is leaving; it is then not ready.
    """

    __slots__ = ("_config", "_lifecycle")

    def __init__(self, config: ConfigService, lifecycle: Lifecycle) -> None:
        self._config = config
        self._lifecycle = lifecycle

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return whether the entry accepts requests, and the reason if not."""
        reason = ""
        if self._lifecycle.leaving:
            reason = "This entry is leaving."
        elif not self._config.ready:
            reason = "This entry has no configuration yet."
        resp.media = {"ready": not reason, "reason": reason}
        if reason:
            resp.status = falcon.HTTP_503


class MetricsResource:
    """Serve ``/metrics``.

    Parameters
    ----------
    metrics : Metrics
        Metrics to expose.
    dispatcher : Dispatcher
        Source of the number of running requests.
    config : ConfigService
        Source of the revision in force.
    """

    __slots__ = ("_config", "_dispatcher", "_metrics")

    def __init__(
        self, metrics: Metrics, dispatcher: Dispatcher, config: ConfigService
    ) -> None:
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._config = config

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return all metrics in the text format."""
        self._metrics.running.set(self._dispatcher.running)
        self._metrics.revision.set(self._config.revision)
        resp.content_type = CONTENT_TYPE
        resp.data = self._metrics.render()

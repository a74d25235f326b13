"""Pages for probes and scrapers: health, readiness, metrics."""

import falcon

from toucanspool.config.service import ConfigService
from toucanspool.entry.dispatcher import Dispatcher
from toucanspool.entry.presence import Presence
from toucanspool.telemetry.metrics import CONTENT_TYPE, Metrics


class HealthPage:
    """Serve ``/healthz``: the process answers."""

    __slots__ = ()

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer that the process runs."""
        resp.media = {"ok": True}


class ReadyPage:
    """Serve ``/readyz``: the process takes work.

    Parameters
    ----------
    config : ConfigService
        Without a configuration nothing is served.
    presence : Presence
        A leaving entry is not ready.
    """

    __slots__ = ("_config", "_presence")

    def __init__(self, config: ConfigService, presence: Presence) -> None:
        self._config = config
        self._presence = presence

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer whether the entry takes work, and why not."""
        reason = ""
        if self._presence.leaving:
            reason = "This entry is leaving."
        elif not self._config.ready:
            reason = "This entry has no configuration yet."
        resp.media = {"ready": not reason, "reason": reason}
        if reason:
            resp.status = falcon.HTTP_503


class MetricsPage:
    """Serve ``/metrics``.

    Parameters
    ----------
    metrics : Metrics
        The metrics.
    dispatcher : Dispatcher
        Counts what runs.
    config : ConfigService
        Knows the revision.
    """

    __slots__ = ("_config", "_dispatcher", "_metrics")

    def __init__(
        self, metrics: Metrics, dispatcher: Dispatcher, config: ConfigService
    ) -> None:
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._config = config

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with all metrics as text."""
        self._metrics.running.set(self._dispatcher.running)
        self._metrics.revision.set(self._config.revision)
        resp.content_type = CONTENT_TYPE
        resp.data = self._metrics.render()

"""Flags, fault injection and serving shared by the stand-in processes."""

from typing import Any

import falcon
import orjson
from absl import flags

from standins.faults import FaultDown, FaultLostAnswer, Faults
from toucanspool.wire.http_server import HttpServer

HOST = flags.DEFINE_string("host", "127.0.0.1", "IP number to listen on.")
PORT = flags.DEFINE_integer("port", None, "Port to listen on.", required=True)


class FaultPage:
    """Set faults: ``PUT /faults`` with a JSON object of `Faults` attributes.

    Parameters
    ----------
    faults : Faults
        The active faults.
    """

    def __init__(self, faults: Faults) -> None:
        self._faults = faults

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Replace the active faults."""
        self._faults.clear()
        self._faults.set(**orjson.loads(req.bounded_stream.read()))


def make_app(faults: Faults) -> falcon.App:
    """Return an application that sets faults and maps injected errors to statuses.

    Parameters
    ----------
    faults : Faults
        The active faults.

    Returns
    -------
    falcon.App
    """
    app = falcon.App()
    app.add_route("/faults", FaultPage(faults))
    app.add_error_handler(FaultDown, _respond_unavailable)
    app.add_error_handler(FaultLostAnswer, _respond_timeout)
    return app


def serve(app: Any) -> None:
    """Serve until the process exits.

    Parameters
    ----------
    app : callable
        The WSGI application.
    """
    HttpServer(HOST.value, PORT.value, app, idle_timeout_s=600.0).serve_forever()


def _respond_unavailable(
    req: Any, resp: falcon.Response, exc: Exception, params: Any
) -> None:
    resp.status = falcon.HTTP_503


def _respond_timeout(
    req: Any, resp: falcon.Response, exc: Exception, params: Any
) -> None:
    resp.status = falcon.HTTP_504

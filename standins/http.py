"""What the stand-in processes share: flags, the fault page, serving."""

from typing import Any

import falcon
import orjson
from absl import flags

from standins.faults import FaultDown, FaultLostAnswer, Faults
from toucanspool.wire.http_server import HttpServer

HOST = flags.DEFINE_string("host", "127.0.0.1", "IP number to listen on.")
PORT = flags.DEFINE_integer("port", None, "Port to listen on.", required=True)


class FaultPage:
    """Take fault orders: ``PUT /faults`` with a JSON object of attributes.

    Parameters
    ----------
    faults : Faults
        The faults in force.
    """

    def __init__(self, faults: Faults) -> None:
        self._faults = faults

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Replace the faults in force."""
        self._faults.clear()
        self._faults.set(**orjson.loads(req.bounded_stream.read()))


def make_app(faults: Faults) -> falcon.App:
    """Return an application with the fault page and fault errors.

    Parameters
    ----------
    faults : Faults
        The faults in force.

    Returns
    -------
    falcon.App
    """
    app = falcon.App()
    app.add_route("/faults", FaultPage(faults))
    app.add_error_handler(FaultDown, _down)
    app.add_error_handler(FaultLostAnswer, _lost)
    return app


def serve(app: Any) -> None:
    """Serve until the process is ended.

    Parameters
    ----------
    app : callable
        The WSGI application.
    """
    HttpServer(HOST.value, PORT.value, app, idle_timeout_s=600.0).serve_forever()


def _down(req: Any, resp: falcon.Response, exc: Exception, params: Any) -> None:
    resp.status = falcon.HTTP_503


def _lost(req: Any, resp: falcon.Response, exc: Exception, params: Any) -> None:
    resp.status = falcon.HTTP_504

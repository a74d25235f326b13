"""The object store as a process: ``python -m standins.objects --port=N``."""

from gevent import monkey

monkey.patch_all()

import falcon
from absl import app as absl_app

from standins.http import make_app, serve
from standins.memory import MemoryObjects
from toucanspool.backing.objects import ObjectsUnavailable


class ObjectPage:
    """Store and return one object.

    Parameters
    ----------
    objects : MemoryObjects
        The store.
    """

    def __init__(self, objects: MemoryObjects) -> None:
        self._objects = objects

    def on_put(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Store the request body."""
        self._objects.put(name, req.bounded_stream.read())

    def on_get(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Return the content, or 404 if there is no such object."""
        data = self._objects.get(name)
        if data is None:
            raise falcon.HTTPNotFound
        resp.data = data
        resp.content_type = "application/octet-stream"


def _respond_unavailable(
    req: object, resp: falcon.Response, exc: Exception, params: object
) -> None:
    resp.status = falcon.HTTP_503


def main(argv: list[str]) -> None:
    """Serve the object store."""
    objects = MemoryObjects()
    app = make_app(objects.faults)
    app.add_error_handler(ObjectsUnavailable, _respond_unavailable)
    app.add_route("/objects/{name}", ObjectPage(objects))
    serve(app)


if __name__ == "__main__":
    absl_app.run(main)

"""HTTP API of the engines of an in-memory lock-step group."""

from typing import Any

import numpy as np
import orjson

from standins.pass_group import PassGroup
from toucanspool.groups.expert_map import EMPTY
from toucanspool.groups.rank_engine import UNSET, OrderLost, OrderRefused
from toucanspool.platform.engine import INSTANCE_ID
from toucanspool.wire.http_server import HttpServer


class EnginePages:
    """Serve one rank's engine; a WSGI application.

    Parameters
    ----------
    group : PassGroup
        The group that the rank belongs to.
    rank : int
        Number of the rank within the group.
    name : str
        The engine's name in the list of upstreams.
    places : int
        Maximum number of experts that a rank holds per layer set.
    """

    def __init__(self, group: PassGroup, rank: int, name: str, places: int) -> None:
        self._group = group
        self._rank = rank
        self._name = name
        self._places = places

    def __call__(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Handle a request."""
        path, engine = environ["PATH_INFO"], self._group.engine(self._rank)
        status, body = 200, None
        if path == "/report":
            body = self._report()
        elif path == "/picked" and environ["QUERY_STRING"]:
            body = {"map": {"experts": engine.experts()}}
        elif path == "/picked":
            picks = engine.expert_counts()
            body = {"epoch": picks.epoch, "counts": picks.counts.ravel().tolist()}
        elif path == "/order":
            status = self._order(orjson.loads(environ["wsgi.input"].read()))
        payload = b"" if body is None else orjson.dumps(body)
        headers = [("Content-Type", "application/json")]
        headers.append((INSTANCE_ID.title(), self._name))
        headers.append(("Content-Length", str(len(payload))))
        start_response(f"{status} X", headers)
        return [payload]

    def _report(self) -> dict[str, Any]:
        state = self._group.engine(self._rank).state()
        optional = {
            name: None if value == UNSET else value
            for name, value in (
                ("prepared", state.prepared),
                ("held", state.held),
            )
        }
        armed = {"version": state.armed, "step": state.armed_step}
        return {
            "group": {
                "name": state.group,
                "epoch": state.epoch,
                "rank": state.rank,
                "state": "open",
            },
            "size": state.size,
            "step": state.step,
            "map": state.map_version,
            "pace": 1.0,
            "sequence": state.sequence,
            "born": 1,
            "armed": None if state.armed == UNSET else armed,
            **optional,
        }

    def _order(self, order: dict[str, Any]) -> int:
        engine = self._group.engine(self._rank)
        epoch, name = order["epoch"], order["operation"]
        try:
            if name == "prepare":
                engine.prepare(order["version"], self._padded_map(order["map"]), epoch)
            elif name == "arm":
                engine.arm(
                    order["version"],
                    order["step"],
                    epoch,
                    sequence=order["expectedRevision"],
                )
            elif name == "disarm":
                engine.disarm(
                    order["version"], epoch, sequence=order["expectedRevision"]
                )
            else:
                getattr(engine, name)(order["step"], epoch)
        except OrderRefused:
            return 409
        except OrderLost as exc:
            raise ConnectionResetError(104, "injected fault: answer lost") from exc
        return 202

    def _padded_map(self, experts_by_set: list[list[list[int]]]) -> np.ndarray:
        shape = (len(experts_by_set), len(experts_by_set[0]), self._places)
        padded = np.full(shape, EMPTY, dtype=np.int16)
        for layer_set, ranks in enumerate(experts_by_set):
            for rank, experts in enumerate(ranks):
                padded[layer_set, rank, : len(experts)] = experts
        return padded


def serve_engine(pages: EnginePages) -> HttpServer:
    """Start a server of an engine's API on a free loopback port and return it."""
    server = HttpServer("127.0.0.1", 0, pages)
    server.start()
    return server

"""A lock-step rank group as a process: ``python -m standins.lockstep --port=N``."""

from base64 import b64decode
from typing import Any

import falcon
import gevent
import orjson
from absl import app as absl_app
from absl import flags

from standins.http import HOST, serve
from standins.lockstep_group import LockstepGroup, RankEngine
from standins.lockstep_work import WorkModel
from toucanspool.backing.http_client import CallLost, CallRefused, JsonClient
from toucanspool.groups.engine import NO_MAP, EngineRefused, EngineUnavailable

RANKS = flags.DEFINE_integer("ranks", 4, "Number of ranks.")
VERSION = flags.DEFINE_integer("version", 0, "Map version at first.")
TICK_MS = flags.DEFINE_float("tick_ms", 10.0, "Time of a step, in milliseconds.")
CHECKS_FENCE = flags.DEFINE_bool(
    "checks_fence", True, "Let every second rank refuse old fencing numbers."
)

WEIGHTS = flags.DEFINE_integer("weights", 0, "Port of the weight store; 0 for none.")
EXPERT_BYTES = flags.DEFINE_float("expert_bytes", 44e6, "Size of one expert.")

HTTP_OK = 200
# Keeps a load from finishing by ticks while its fetch is under way.
FETCH_PENDING_TICKS = 1 << 60
RETRY_S = 0.2


class WeightLoader:
    """Fetch expert weights from the weight store.

    Parameters
    ----------
    port : int
        Loopback port of the store.
    """

    def __init__(self, port: int) -> None:
        self._client = JsonClient(HOST.value, port, timeout_s=None)
        self._fetching: set[tuple[int, int]] = set()

    def load(self, rank: int, engine: RankEngine, copies: int) -> None:
        """Finish a rank's load once the store has delivered its weights.

        Parameters
        ----------
        rank : int
            Number of the rank.
        engine : RankEngine
            Its engine, which has started to load a map.
        copies : int
            Number of expert copies to fetch.
        """
        key = (rank, engine.loading_version)
        if key in self._fetching or engine.loading_version == NO_MAP:
            return
        self._fetching.add(key)
        engine.load_ticks_left = FETCH_PENDING_TICKS
        gevent.spawn(self._fetch, key, engine, int(copies * EXPERT_BYTES.value))

    def _fetch(self, key: tuple[int, int], engine: RankEngine, size: int) -> None:
        while not self._try_fetch(size):
            gevent.sleep(RETRY_S)
        self._fetching.discard(key)
        if engine.loading_version == key[1]:
            engine.load_ticks_left = 0

    def _try_fetch(self, size: int) -> bool:
        try:
            return self._client.call("GET", f"/weights?bytes={size}")[0] == HTTP_OK
        except (CallLost, CallRefused):
            return False


class RankPages:
    """Serve one rank's engine: ``GET /ranks/R`` and ``POST /ranks/R/ORDER``.

    Parameters
    ----------
    group : LockstepGroup
        The group to serve.
    weights : WeightLoader, optional
        Fetches weights from the weight store; without it a load takes a few ticks.
    """

    def __init__(
        self, group: LockstepGroup, *, weights: WeightLoader | None = None
    ) -> None:
        self._group = group
        self._weights = weights
        self._work = WorkModel(len(group.engines))

    def on_get_work(
        self, req: falcon.Request, resp: falcon.Response, rank: int
    ) -> None:
        """Return the work of the rank since the previous call."""
        state = self._group.engines[rank].state()
        resp.media = self._work.collect(rank, state.version, state.step)

    def on_get(self, req: falcon.Request, resp: falcon.Response, rank: int) -> None:
        """Return the rank's state."""
        state = self._group.engines[rank].state()
        resp.media = {
            "version": state.version,
            "spare": state.staged_version,
            "held": state.held,
            "step": state.step,
        }

    def on_post_order(
        self, req: falcon.Request, resp: falcon.Response, rank: int, order: str
    ) -> None:
        """Run an order; the body has ``fence`` and, where needed, ``version``."""
        body = orjson.loads(req.bounded_stream.read())
        if body.get("experts"):
            self._work.add_map(body["version"], b64decode(body["experts"]))
        engine = self._group.engines[rank]
        calls = {
            "load": lambda: engine.load(body["version"], b"", body["fence"]),
            "hold": lambda: engine.hold(body["fence"]),
            "switch": lambda: engine.switch(body["version"], body["fence"]),
            "resume": lambda: engine.resume(body["fence"]),
        }
        if order not in calls:
            raise falcon.HTTPNotFound
        calls[order]()
        if order == "load" and self._weights is not None:
            copies = self._work.new_copies(rank, engine.version, body["version"])
            self._weights.load(rank, engine, copies)
        self.on_get(req, resp, rank)

    def on_put_faults(
        self, req: falcon.Request, resp: falcon.Response, rank: int
    ) -> None:
        """Replace the faults of one rank's engine."""
        faults = self._group.engines[rank].faults
        faults.clear()
        faults.set(**orjson.loads(req.bounded_stream.read()))


class GroupPages:
    """Serve the step records; restart, lose or stall ranks.

    Parameters
    ----------
    group : LockstepGroup
        The group to serve.
    """

    def __init__(self, group: LockstepGroup) -> None:
        self._group = group

    def on_get_steps(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the steps from index ``?after=N`` on, with their map versions."""
        after = req.get_param_as_int("after", default=0)
        resp.media = [
            {"step": s.step, "incarnation": s.incarnation, "versions": s.versions}
            for s in self._group.steps[after:]
        ]

    def on_put_event(
        self, req: falcon.Request, resp: falcon.Response, rank: int, event: str
    ) -> None:
        """Restart, lose or stall a rank; ``?ticks=N`` is the length of a stall."""
        if event == "restart":
            self._group.restart(rank)
        elif event == "lose":
            self._group.lose(rank)
        elif event == "stall":
            self._group.stall(rank, req.get_param_as_int("ticks", default=10))
        else:
            raise falcon.HTTPNotFound


def make_app(
    group: LockstepGroup, *, weights: WeightLoader | None = None
) -> falcon.App:
    """Return the WSGI application of a group.

    Parameters
    ----------
    group : LockstepGroup
        The group to serve.
    weights : WeightLoader, optional
        Fetches weights from the weight store.

    Returns
    -------
    falcon.App
    """
    app = falcon.App()
    ranks, pages = RankPages(group, weights=weights), GroupPages(group)
    app.add_route("/ranks/{rank:int}", ranks)
    app.add_route("/ranks/{rank:int}/work", ranks, suffix="work")
    app.add_route("/ranks/{rank:int}/faults", ranks, suffix="faults")
    app.add_route("/ranks/{rank:int}/events/{event}", pages, suffix="event")
    app.add_route("/ranks/{rank:int}/orders/{order}", ranks, suffix="order")
    app.add_route("/steps", pages, suffix="steps")
    app.add_error_handler(EngineRefused, _respond_conflict)
    app.add_error_handler(EngineUnavailable, _respond_unavailable)
    return app


def _respond_conflict(
    req: falcon.Request, resp: falcon.Response, exc: EngineRefused, params: Any
) -> None:
    resp.status = falcon.HTTP_409
    resp.media = {"reason": exc.reason}


def _respond_unavailable(
    req: falcon.Request, resp: falcon.Response, exc: Exception, params: Any
) -> None:
    resp.status = falcon.HTTP_503


def _tick_forever(group: LockstepGroup, tick_s: float) -> None:
    while True:
        group.tick()
        gevent.sleep(tick_s)


def main(argv: list[str]) -> None:
    """Serve a group and advance it every ``--tick_ms``."""
    group = LockstepGroup(
        RANKS.value,
        version=VERSION.value,
        checks_fence=range(0, RANKS.value, 2) if CHECKS_FENCE.value else (),
    )
    gevent.spawn(_tick_forever, group, TICK_MS.value / 1000)
    weights = WeightLoader(WEIGHTS.value) if WEIGHTS.value else None
    serve(make_app(group, weights=weights))


if __name__ == "__main__":
    absl_app.run(main)

"""Kernel service that elects a group's coordinator and rebalances its experts."""

import time
from contextlib import ExitStack

import gevent
import numpy as np
import structlog
from gevent.queue import Empty, Queue

from toucanspool.backing.objects import ObjectsUnavailable
from toucanspool.backing.table import TableError
from toucanspool.config.exchange import ConfigExchange
from toucanspool.groups.coordinator import Coordinator
from toucanspool.groups.coordinator_task import CoordinatorTask
from toucanspool.groups.expert_map import ExpertMap
from toucanspool.groups.load import RankReport
from toucanspool.groups.orders import GreenletOrderSender
from toucanspool.groups.packing import pack
from toucanspool.groups.placement_settings import PlacementSettings
from toucanspool.groups.rank_links import RankLinks
from toucanspool.groups.rebalancer import RebalanceDecision, Rebalancer
from toucanspool.groups.record import MapStore, RecordStore
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.membership.service import InstancesService
from toucanspool.recovery.elected_duty import is_candidate
from toucanspool.recovery.lease import Lease
from toucanspool.settings.settings import Group, Settings

DECIDE_INTERVAL_S = 1.0
STOP_TIMEOUT_S = 10.0

_log = structlog.get_logger()


class CoordinatorService:
    """Take part in the election, and run the group's coordinator while elected.

    Parameters
    ----------
    cfg : Group
        Settings of the group.
    settings : Settings
        Settings of the process.
    """

    __slots__ = (
        "_cfg",
        "_exit_stack",
        "_instances",
        "_lease",
        "_links",
        "_maps",
        "_platform",
        "_proposal_pending",
        "_proposals",
        "_rebalancer",
        "_settings",
        "_stopping",
        "_task",
    )

    def __init__(self, cfg: Group, settings: Settings) -> None:
        self._cfg = cfg
        self._settings = settings
        self._exit_stack = ExitStack()
        self._proposals: Queue[ExpertMap] = Queue()
        self._rebalancer: Rebalancer | None = None
        self._task: gevent.Greenlet | None = None
        self._stopping = False
        self._proposal_pending = False

    def start(self, kernel: Kernel) -> None:
        """Start to take part in the election; see `Service`."""
        self._platform = kernel.find("platform")
        self._maps = MapStore(self._platform.objects, self._cfg.name)
        exchange = ConfigExchange(self._settings, kernel.find("config"))
        self._links = RankLinks(self._cfg.name, exchange, self._observe)
        self._exit_stack.callback(self._links.close)
        self._instances: InstancesService = kernel.find("instances")
        self._instances.on_update(self._links.update)
        self._links.update(self._instances.instances)
        self._lease = self._new_lease()
        rng = kernel.find("rng").named(f"group/{self._cfg.name}")
        self._exit_stack.callback(self._stop_task)
        self._start_ticker(self._lease.interval_s, self._elect, rng)
        self._start_ticker(DECIDE_INTERVAL_S, self._decide, rng)

    def stop(self) -> None:
        """Stop the coordinator and release the lease; see `Service`."""
        self._exit_stack.close()

    def _start_ticker(self, interval_s: float, func: object, rng: object) -> None:
        ticker = Ticker(f"group/{self._cfg.name}", interval_s, func, rng=rng)
        ticker.start()
        self._exit_stack.callback(ticker.stop)

    def _new_lease(self) -> Lease:
        return Lease(
            self._platform.table,
            f"group/{self._cfg.name}",
            self._settings.instance,
            ttl_s=self._cfg.lease_ttl_s,
            now=time.monotonic,
        )

    def _elect(self) -> None:
        now = time.monotonic()
        name = self._settings.instance
        candidate = is_candidate(
            f"group/{self._cfg.name}", name, self._instances.instances
        )
        if not candidate and not self._lease.held(now):
            return
        held = self._lease.step()
        if held and self._task is None and not self._stopping:
            _log.info(
                "elected", duty=f"group/{self._cfg.name}", token=self._lease.token
            )
            self._task = gevent.spawn(self._run_coordinator)
            self._task.link(self._on_task_end)

    def _on_task_end(self, task: gevent.Greenlet) -> None:
        self._task = None
        self._rebalancer = None

    def _stop_task(self) -> None:
        """Stop the coordinator between switches, so that no rank stays held."""
        self._stopping = True
        if self._task is not None:
            self._task.join(timeout=STOP_TIMEOUT_S)
        if self._task is not None:
            self._task.kill()
        try:
            self._lease.release()
        except TableError as exc:
            _log.info("could not release the lease", error=str(exc))

    def _run_coordinator(self) -> None:
        with GreenletOrderSender(self._links) as order_sender:
            coordinator = Coordinator(
                group=self._cfg.name,
                ranks=self._cfg.ranks,
                store=RecordStore(self._platform.table, self._cfg.name),
                maps=self._maps,
                lease=self._lease,
                order_sender=order_sender,
                clock=time.monotonic,
            )
            CoordinatorTask(
                coordinator,
                ranks=self._cfg.ranks,
                next_map=self._next_map,
                sleep=gevent.sleep,
            ).run()

    def _next_map(self, timeout_s: float) -> bytes | None:
        """Return the next proposed map, or a uniform one if the group has no map."""
        if self._stopping:
            raise gevent.GreenletExit
        if self._rebalancer is None:
            return self._load_committed_map()
        if self._proposal_pending:
            self._proposal_pending = False
            self._report_proposal_result(self._rebalancer)
        try:
            proposed = self._proposals.get(timeout=timeout_s)
        except Empty:
            return None
        self._proposal_pending = True
        # Encoding a map of many layers takes some milliseconds; use a worker thread.
        return gevent.get_hub().threadpool.apply(proposed.encode)

    def _report_proposal_result(self, rebalancer: Rebalancer) -> None:
        """Adopt the committed map if it is newer, or withdraw the pending plan."""
        record = RecordStore(self._platform.table, self._cfg.name).read().record
        if record.committed > rebalancer.map.version:
            self._adopt_stored_map(record.committed)
        else:
            rebalancer.withdraw()

    def _load_committed_map(self) -> bytes | None:
        stored = RecordStore(self._platform.table, self._cfg.name).read()
        version = stored.record.committed
        encoded = self._maps.get(version) if version else None
        if encoded is None:
            return uniform_map(self._cfg).encode()
        self._proposals = Queue()
        self._proposal_pending = False
        self._adopt(version, ExpertMap.decode(encoded))
        return None

    def _adopt(self, version: int, map_: ExpertMap) -> None:
        current = ExpertMap(
            version=version,
            n_experts=map_.n_experts,
            experts=map_.experts,
            weights=map_.weights,
        )
        if self._rebalancer is None:
            cfg = PlacementSettings(
                skew_weight=self._cfg.skew_weight,
                move_weight=self._cfg.move_weight,
                expert_bytes=self._cfg.expert_bytes,
                store_bytes_per_s=self._cfg.store_bytes_per_s,
            )
            self._rebalancer = Rebalancer(cfg, current, time.monotonic())
        elif version > self._rebalancer.map.version:
            self._rebalancer.adopt(current)

    def _observe(self, report: RankReport) -> None:
        rebalancer = self._rebalancer
        if rebalancer is None:
            return
        if report.version > rebalancer.map.version:
            self._adopt_stored_map(report.version)
        if self._rebalancer is not None:
            self._rebalancer.observe(report, time.monotonic())

    def _adopt_stored_map(self, version: int) -> None:
        try:
            encoded = self._maps.get(version)
        except ObjectsUnavailable as exc:
            _log.warning(
                "could not read the expert map", version=version, error=str(exc)
            )
            return
        if encoded is not None:
            self._adopt(version, ExpertMap.decode(encoded))

    def _decide(self) -> None:
        rebalancer = self._rebalancer
        if rebalancer is None or not self._lease.held(time.monotonic()):
            return
        slices = rebalancer.decide_slices(time.monotonic())
        while True:
            try:
                next(slices)
            except StopIteration as stop:
                self._propose(stop.value)
                return
            gevent.sleep(0)

    def _propose(self, decision: RebalanceDecision) -> None:
        if decision.reason:
            _log.info(
                "placement decision",
                group=self._cfg.name,
                reason=decision.reason,
                moves=len(decision.plan.moves) if decision.plan else 0,
            )
        if decision.plan is not None:
            self._proposals.put(decision.plan.map)


def uniform_map(cfg: Group) -> ExpertMap:
    """Return a map that spreads experts evenly, for a group with unknown load.

    Parameters
    ----------
    cfg : Group
        Settings of the group.

    Returns
    -------
    ExpertMap
    """
    loads = np.ones((cfg.layers, cfg.experts))
    return pack(loads, np.ones(cfg.ranks), cfg.slots)

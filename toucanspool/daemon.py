"""The daemon, one process in one role: ``toucanspoold --settings=FILE``.

``--check`` only checks the settings. SIGTERM stops gracefully.
"""

from gevent import monkey

monkey.patch_all()

import gc
import os
import signal
import sys

import gevent
import structlog
from absl import app, flags
from gevent.event import Event

from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.randoms import Randoms
from toucanspool.settings.settings import Settings, SettingsError, load
from toucanspool.telemetry.logs import set_up

SETTINGS = flags.DEFINE_string(
    "settings",
    os.environ.get("TOUCANSPOOL_SETTINGS"),
    "Settings file, YAML; TOUCANSPOOL_SETTINGS names the default.",
)
CHECK = flags.DEFINE_bool("check", False, "Only check the settings.")

EXIT_BAD_SETTINGS = 2

_log = structlog.get_logger()


def build(cfg: Settings) -> Kernel:
    """Return a kernel with the services of a role.

    Parameters
    ----------
    cfg : Settings
        The process's settings.

    Returns
    -------
    Kernel
    """
    kernel = Kernel()
    kernel.add("rng", Randoms(cfg.seed, cfg.instance))
    _ROLES[cfg.role](kernel, cfg)
    return kernel


def main(argv: list[str]) -> int:
    """Run until told to stop, then stop gracefully.

    Parameters
    ----------
    argv : list of str
        What is left of the command line.

    Returns
    -------
    int
        Exit status.
    """
    if not SETTINGS.value:
        print("--settings is due: the file with the settings", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        cfg = load(SETTINGS.value)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if CHECK.value:
        print(f"{SETTINGS.value}: good settings of a process in role {cfg.role}")
        return 0
    set_up(cfg.instance, level=cfg.log_level)
    told = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, told.set)
    kernel = build(cfg)
    kernel.start()
    gevent.signal_handler(signal.SIGHUP, _reload, kernel, SETTINGS.value)
    # What stands now stays: full collections need not look at it again.
    gc.collect()
    gc.freeze()
    _log.info("started", role=cfg.role, failure_domain=cfg.failure_domain)
    told.wait()
    _log.info("stopping")
    kernel.stop()
    _log.info("stopped")
    return 0


def _reload(kernel: Kernel, path: str) -> None:
    """Read the settings again; mistakes leave those in force."""
    try:
        cfg = load(path)
    except SettingsError as exc:
        _log.error("settings not reloaded", mistakes=exc.mistakes)
        return
    kernel.reload(cfg)
    _log.info("settings reloaded", path=path)


def run() -> None:
    """Run the daemon's command line."""
    # The program's help is this page, also where a script calls this function.
    sys.modules["__main__"].__doc__ = __doc__
    app.run(main)


def _add_backing(kernel: Kernel, cfg: Settings) -> None:
    from toucanspool.backing.service import PlatformService
    from toucanspool.config.service import ConfigService

    kernel.add("platform", PlatformService(cfg.platform))
    kernel.add("config", ConfigService(cfg.config_interval_s, told=cfg.role == "agent"))


def _add_entry(kernel: Kernel, cfg: Settings) -> None:
    from toucanspool.entry.decision_log import DecisionLog
    from toucanspool.entry.dispatcher import Dispatcher
    from toucanspool.entry.http_service import HttpService
    from toucanspool.entry.peers import PeersService
    from toucanspool.entry.router import Router
    from toucanspool.groups.coordinator_service import CoordinatorService
    from toucanspool.membership.service import InstancesService
    from toucanspool.recovery.duties import (
        CLEANUP_INTERVAL_S,
        SNAPSHOT_INTERVAL_S,
        ClaimsCleanup,
        SnapshotMaintenance,
    )
    from toucanspool.recovery.elected_duty import ElectedDuty

    _add_backing(kernel, cfg)
    decision_log = DecisionLog()
    kernel.add("instances", InstancesService(cfg.instances_interval_s))
    kernel.add("router", Router(cfg, decision_log))
    kernel.add("peers", PeersService(cfg))
    for group in cfg.entry.groups:
        kernel.add(f"group/{group.name}", CoordinatorService(group, cfg))
    claims = ElectedDuty("claims", cfg.instance, CLEANUP_INTERVAL_S, ClaimsCleanup())
    kernel.add("claims-upkeep", claims)
    snapshot = ElectedDuty(
        "snapshot", cfg.instance, SNAPSHOT_INTERVAL_S, SnapshotMaintenance()
    )
    kernel.add("snapshot-upkeep", snapshot)
    kernel.add("dispatcher", Dispatcher(cfg.entry, decision_log))
    kernel.add("http", HttpService(cfg, decision_log))


def _add_agent(kernel: Kernel, cfg: Settings) -> None:
    from toucanspool.agent.agent import Agent
    from toucanspool.agent.ranks import RanksService
    from toucanspool.protected.service import ClaimsService

    _add_backing(kernel, cfg)
    kernel.add("claims", ClaimsService(cfg.instance))
    if cfg.agent.ranks:
        kernel.add("ranks", RanksService(cfg.agent.ranks, cfg.agent.address))
    kernel.add("agent", Agent(cfg))


def _add_gateway(kernel: Kernel, cfg: Settings) -> None:
    from toucanspool.platform.gateway_role import GatewayRole

    kernel.add("gateway", GatewayRole(cfg))


def _add_rank_agent(kernel: Kernel, cfg: Settings) -> None:
    from toucanspool.platform.rank_role import RankRole

    kernel.add("rank_agent", RankRole(cfg))


_ROLES = {
    "entry": _add_entry,
    "agent": _add_agent,
    "gateway": _add_gateway,
    "rank_agent": _add_rank_agent,
}


if __name__ == "__main__":
    run()

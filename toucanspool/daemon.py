"""The daemon, one process in one role: ``toucanspoold --settings=FILE``.

``--check`` only checks the settings. SIGTERM stops gracefully.
"""

import signal

# The default action would end the process. Settings are read after the imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey

monkey.patch_all()

import gc
import os
import sys

import gevent
import structlog
from absl import app, flags
from gevent.event import Event

from toucanspool.kernel.allocator import return_large_blocks
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.random_sources import RandomSources
from toucanspool.settings.settings import Settings, SettingsError, load_settings
from toucanspool.telemetry.logs import configure_logging
from toucanspool.wire.client_limits import ClientLimits

SETTINGS = flags.DEFINE_string(
    "settings",
    os.environ.get("TOUCANSPOOL_SETTINGS"),
    "Settings file, YAML; TOUCANSPOOL_SETTINGS names the default.",
)
CHECK = flags.DEFINE_bool("check", False, "Only check the settings.")

EXIT_BAD_SETTINGS = 2

_log = structlog.get_logger()


def build_kernel(cfg: Settings) -> Kernel:
    """Create a kernel with the services of the role in the settings.

    Parameters
    ----------
    cfg : Settings
        Settings of the process.

    Returns
    -------
    Kernel
    """
    kernel = Kernel()
    kernel.add("rng", RandomSources(cfg.seed, cfg.instance))
    kernel.add("clients", ClientLimits.within(cfg.limits.resolve()))
    _ADD_ROLE_SERVICES[cfg.role](kernel, cfg)
    return kernel


def main(argv: list[str]) -> int:
    """Run until SIGTERM or SIGINT, then stop gracefully.

    Parameters
    ----------
    argv : list of str
        The command line without flags.

    Returns
    -------
    int
        Exit status.
    """
    if not SETTINGS.value:
        print("--settings is due: the file with the settings", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    reload_requested = Event()
    gevent.signal_handler(signal.SIGHUP, reload_requested.set)
    try:
        cfg = load_settings(SETTINGS.value)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if CHECK.value:
        print(f"{SETTINGS.value}: good settings of a process in role {cfg.role}")
        return 0
    return_large_blocks()
    configure_logging(cfg.instance, level=cfg.log_level)
    stop_requested = Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, stop_requested.set)
    kernel = build_kernel(cfg)
    kernel.start()
    gevent.spawn(_reload_on_request, kernel, SETTINGS.value, reload_requested)
    # Objects that exist now live until exit; freezing spares full collections the scan.
    gc.collect()
    gc.freeze()
    _log.info("started", role=cfg.role, failure_domain=cfg.failure_domain)
    stop_requested.wait()
    _log.info("stopping")
    kernel.stop()
    _log.info("stopped")
    return 0


def _reload_on_request(kernel: Kernel, path: str, requested: Event) -> None:
    """Reload the settings after each request, also one made while starting."""
    while True:
        requested.wait()
        requested.clear()
        try:
            _reload(kernel, path)
        except Exception:
            _log.exception("settings not reloaded")


def _reload(kernel: Kernel, path: str) -> None:
    """Reload the settings file; if it has errors, the current settings stay."""
    try:
        cfg = load_settings(path)
    except SettingsError as exc:
        _log.error("settings not reloaded", mistakes=exc.errors)
        return
    kernel.reload(cfg)
    _log.info("settings reloaded", path=path)


def run() -> None:
    """Run the daemon; the entry point of the console script."""
    # absl prints the docstring of __main__ as help; under the console script, __main__
    # is the script.
    sys.modules["__main__"].__doc__ = __doc__
    app.run(main)


def _add_shared_services(kernel: Kernel, cfg: Settings) -> None:
    from toucanspool.backing.service import PlatformService
    from toucanspool.config.service import ConfigService

    kernel.add("platform", PlatformService(cfg.platform))
    kernel.add(
        "config",
        ConfigService(cfg.config_interval_s, updated_by_peers=cfg.role == "agent"),
    )


def _add_entry_services(kernel: Kernel, cfg: Settings) -> None:
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

    _add_shared_services(kernel, cfg)
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


def _add_agent_services(kernel: Kernel, cfg: Settings) -> None:
    from toucanspool.agent.agent import Agent
    from toucanspool.agent.ranks import RanksService
    from toucanspool.protected.service import ClaimsService

    _add_shared_services(kernel, cfg)
    kernel.add("claims", ClaimsService(cfg.instance))
    if cfg.agent.ranks:
        kernel.add("ranks", RanksService(cfg.agent.ranks, cfg.agent.address))
    kernel.add("agent", Agent(cfg))


def _add_gateway_services(kernel: Kernel, cfg: Settings) -> None:
    from toucanspool.platform.gateway_role import GatewayRole

    kernel.add("gateway", GatewayRole(cfg))


def _add_rank_agent_services(kernel: Kernel, cfg: Settings) -> None:
    from toucanspool.platform.rank_role import RankRole

    kernel.add("rank_agent", RankRole(cfg))


_ADD_ROLE_SERVICES = {
    "entry": _add_entry_services,
    "agent": _add_agent_services,
    "gateway": _add_gateway_services,
    "rank_agent": _add_rank_agent_services,
}


if __name__ == "__main__":
    run()

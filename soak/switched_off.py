"""The daemon with one mechanism switched off, to show that the soak test detects it.

``python -m soak.switched_off --off="at most once" --settings=...`` runs a process of
the system. Mechanisms are named after the guarantees that they implement.
"""

import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from absl import app, flags

from toucanspool import daemon  # patches the standard library first
from toucanspool.gateway.attempt import Attempt
from toucanspool.gateway.call import RefusalCause
from toucanspool.gateway.core import GatewayCore
from toucanspool.groups import rank_member
from toucanspool.groups.armed_switch import ArmedSwitch
from toucanspool.groups.pass_holds import PassHolds
from toucanspool.platform import configuration, frontend, listings
from toucanspool.recovery import election
from toucanspool.retries.quarantine import Quarantine
from toucanspool.routing.cold_start import ColdStart
from toucanspool.routing.evacuation import Evacuations
from toucanspool.routing.request_limit import RequestLimit
from toucanspool.routing.routes import CallKind, Route, RouteTable
from toucanspool.settings.settings import RowStore
from toucanspool.wire import event_splitter, reply_parser
from toucanspool.wire.exchange import Exchange
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAsk

OFF = flags.DEFINE_string("off", "", "The promise whose mechanism is switched off.")
TIMEOUT_FACTOR = 10.0


def _repeat_all_calls() -> None:
    """Retry each call, whether or not it may have run."""
    _patch_routes(
        lambda route: replace(
            route,
            max_attempts=2,
            kind=CallKind.STREAM
            if route.kind is CallKind.STREAM
            else CallKind.IDEMPOTENT,
        )
    )


def _report_not_run() -> None:
    """Report each failure as a call that was not run."""
    frontend.STATUS_IF_MAY_HAVE_RUN.clear()
    for cause in (RefusalCause.MAYBE_RUN, RefusalCause.BROKEN):
        frontend._STATUS_BY_CAUSE[cause] = 503


def _accept_partial_bodies() -> None:
    """Accept a partial body as complete when its connection ends."""
    read_body = Exchange.read_body

    def read_partial(self: Exchange, until: float, max_bytes: int) -> bytes:
        try:
            return read_body(self, until, max_bytes)
        except Exception:
            return self.parser.take_body()

    Exchange.read_body = read_partial


def _trust_closed_connections() -> None:
    """Take any close for the end of a reply without framing."""
    Exchange._check_end = lambda self, until: None


def _read_without_limit() -> None:
    """Read replies of any size."""
    read_body = Exchange.read_body
    Exchange.read_body = lambda self, until, max_bytes: read_body(
        self, until, sys.maxsize
    )
    reply_parser.MAX_HEAD_BYTES = event_splitter.MAX_EVENT_BYTES = sys.maxsize


def _restart_streams() -> None:
    """Resume a broken stream from its first event."""
    begin = Attempt.begin

    def begin_from_start(
        self: Attempt, until: float, *, last_event_id: str = ""
    ) -> None:
        begin(self, until)

    Attempt.begin = begin_from_start


def _ignore_draining() -> None:
    """Treat a draining upstream as ready."""
    decode = listings._decode_fields

    def as_ready(name: str, data: dict[str, Any]) -> Any:
        return replace(decode(name, data), ready=True)

    listings._decode_fields = as_ready


def _extend_timeouts() -> None:
    """Give calls ten times the timeout of their route."""
    _patch_routes(
        lambda route: replace(route, timeout_s=TIMEOUT_FACTOR * route.timeout_s)
    )


def _wait_long_for_changes() -> None:
    """Let a silent connection to the store go unnoticed for half a minute."""
    RowStore.feed_wait_s = property(lambda self: 30.0)


def _take_any_version() -> None:
    """Put any configuration in force, also an older one."""
    set_routes = GatewayCore.set_routes

    def set_any(self: GatewayCore, routes: RouteTable) -> None:
        self.routes = None
        set_routes(self, routes)

    GatewayCore.set_routes = set_any


def _arm_without_hold() -> None:
    """Arm the ranks without holding a pass until all are armed."""

    def next_pass(self: ArmedSwitch, holds: PassHolds) -> int:
        request = RankAsk(action=RankAction.STATUS)
        return self._client.send(self._own_rank, request, self._epoch).step + 1

    ArmedSwitch._hold = next_pass


def _keep_passes_held() -> None:
    """Release no pass that is held."""
    ArmedSwitch.release = lambda self, holds: None


def _repeat_tokens() -> None:
    """Count tokens on from the store's last election, whatever it has lost."""
    elect = election.elect
    election.TOKENS_PER_ERA = 0
    rank_member.elect = lambda table, duty, holder, *, above: elect(
        table, duty, holder, above=0
    )


def _ignore_limits() -> None:
    """Send upstreams requests whatever they name."""
    RequestLimit.limited = property(lambda self: False)


def _ignore_cold_starts() -> None:
    """Send cold upstreams as many requests as warm ones."""
    ColdStart.update = lambda self, per_s, now: False


def _ignore_evacuations() -> None:
    """Evacuate nothing, whatever the rows say."""
    Evacuations.change = lambda self, domain, evacuated, now: None


def _ignore_crashes() -> None:
    """Block no calls, whatever crashes under them."""
    Quarantine.record_crash = lambda self, crash_id, calls, at: []
    Quarantine.adopt = lambda self, trait, at, now: False


def _patch_routes(change: Callable[[Route], Route]) -> None:
    route = configuration._decode_route
    configuration._decode_route = lambda data: change(route(data))


MECHANISMS: dict[str, Callable[[], None]] = {
    "at most once": _repeat_all_calls,
    "not run is true": _report_not_run,
    "one's own whole answer": _accept_partial_bodies,
    "no piece missing or twice": _restart_streams,
    "a cut stream does not look complete": _trust_closed_connections,
    "replies are bounded": _read_without_limit,
    "deadly requests are refused": _ignore_crashes,
    "cold upstreams are spared": _ignore_cold_starts,
    "evacuated domains get nothing": _ignore_evacuations,
    "limits are kept": _ignore_limits,
    "leaving": _ignore_draining,
    "held no longer than its route's time": _extend_timeouts,
    "one map in each pass": _arm_without_hold,
    "a held group goes on": _keep_passes_held,
    "no token twice": _repeat_tokens,
    "configuration in time": _wait_long_for_changes,
    "a configuration never goes back": _take_any_version,
}


def main(argv: list[str]) -> int:
    """Switch the mechanism off and run the daemon."""
    MECHANISMS[OFF.value]()
    return daemon.main(argv)


if __name__ == "__main__":
    app.run(main)

"""The daemon with one mechanism switched off, so that the soak can be seen red.

``python -m soak.switched_off --off="at most once" --settings=...`` runs a process of
the system. The names are those of the promises that the mechanisms keep.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from absl import app, flags

from toucanspool import daemon  # patches the standard library first
from toucanspool.gateway.attempt import Attempt
from toucanspool.gateway.call import RefusalCause
from toucanspool.gateway.exchange import Exchange
from toucanspool.groups.armed_switch import ArmedSwitch
from toucanspool.platform import configuration, frontend, listings
from toucanspool.routing.routes import CallKind, Route
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAsk

OFF = flags.DEFINE_string("off", "", "The promise whose mechanism is switched off.")
ROUTE_TIME_FACTOR = 10.0


def _repeat_all_calls() -> None:
    """Send each call again, whether or not it may have run."""
    _change_routes(
        lambda route: replace(
            route,
            max_attempts=2,
            kind=CallKind.STREAM
            if route.kind is CallKind.STREAM
            else CallKind.IDEMPOTENT,
        )
    )


def _promise_not_run() -> None:
    """Say of each failure that the call was not run."""
    frontend.STATUS_IF_MAY_HAVE_RUN.clear()
    for cause in (RefusalCause.MAYBE_RUN, RefusalCause.BROKEN):
        frontend._STATUS_BY_CAUSE[cause] = 503


def _take_partial_bodies() -> None:
    """Take a body for whole when its connection ends."""
    whole = Exchange.read_body

    def partial(self: Exchange, until: float) -> bytes:
        try:
            return whole(self, until)
        except Exception:
            return self.parser.take_body()

    Exchange.read_body = partial


def _start_streams_anew() -> None:
    """Go on with a broken stream from its first event."""
    begin = Attempt.begin

    def anew(self: Attempt, until: float, *, last_event_id: str = "") -> None:
        begin(self, until)

    Attempt.begin = anew


def _pass_over_leaving() -> None:
    """Take an upstream that leaves for one that stays."""
    listing = listings._decode_fields

    def staying(name: str, data: dict[str, Any]) -> Any:
        return replace(listing(name, data), ready=True)

    listings._decode_fields = staying


def _wait_for_ever() -> None:
    """Give calls ten times their route's time."""
    _change_routes(
        lambda route: replace(route, timeout_s=ROUTE_TIME_FACTOR * route.timeout_s)
    )


def _hold_no_pass() -> None:
    """Arm the ranks without a pass that waits for them."""

    def ahead(self: ArmedSwitch, holder: int) -> int:
        request = RankAsk(action=RankAction.STATUS)
        return self._client.send(holder, request, self._epoch).step + 1

    ArmedSwitch._hold = ahead


def _change_routes(change: Callable[[Route], Route]) -> None:
    route = configuration._decode_route
    configuration._decode_route = lambda data: change(route(data))


MECHANISMS: dict[str, Callable[[], None]] = {
    "at most once": _repeat_all_calls,
    "not run is true": _promise_not_run,
    "one's own whole answer": _take_partial_bodies,
    "no piece missing or twice": _start_streams_anew,
    "leaving": _pass_over_leaving,
    "held no longer than its route's time": _wait_for_ever,
    "one map in each pass": _hold_no_pass,
}


def main(argv: list[str]) -> int:
    """Switch the mechanism off and run the daemon."""
    MECHANISMS[OFF.value]()
    return daemon.main(argv)


if __name__ == "__main__":
    app.run(main)

"""Request limits of upstreams, as the entries share and tell each other about them."""

import math
import time
from typing import Any

import structlog

from toucanspool.backing.checked_values import (
    DECODING_ERRORS,
    integer,
    number,
    text,
)
from toucanspool.limits._ewma import ewma_weight
from toucanspool.membership.entries import Entries
from toucanspool.routing.limit_parts import divide_limits, weigh_entries
from toucanspool.routing.upstreams import UpstreamList

LOAD_TIME_CONSTANT_S = 3.0
# Other entries are told of limits that have been named, or have ended, this recently.
MAX_AGE_S = 30.0
MAX_REPORTED_LIMITS = 64
# Limits are named again at least each ten seconds while there are calls. One that is
# older has ended without this entry being told, as when it was cut off.
LAPSE_S = 60.0

_log = structlog.get_logger()


class LimitSharing:
    """Keep this entry's parts of the limits that upstreams name for all entries.

    Each entry works out the parts of all by itself, from the list of entries and the
    loads that they tell in the probes which they send each other anyway. The probes
    also tell what the upstreams have named, so that an entry knows it without having
    sent them a request.

    Parameters
    ----------
    upstreams : UpstreamList
        Upstreams, whose parts are kept up to date.
    entries : Entries
        The entries.
    """

    __slots__ = ("_calls", "_entries", "_loads", "_updated_at", "_upstreams")

    def __init__(self, upstreams: UpstreamList, entries: Entries) -> None:
        self._upstreams = upstreams
        self._entries = entries
        self._calls: dict[str, int] = {}
        self._loads: dict[str, float] = {}
        self._updated_at = time.monotonic()

    def record_call(self, service: str) -> None:
        """Count a call to a service."""
        self._calls[service] = self._calls.get(service, 0) + 1

    def update(self, now: float) -> None:
        """Update the loads, and this entry's parts of limits.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        self._update_loads(now)
        # Entries that are not known here have parts as well.
        known = self._entries.known_fraction(now)
        equal_part = known / self._entries.count(now)
        limited_services = set()
        for upstream in self._upstreams:
            limit = upstream.limit
            if limit.limited and now - limit.named_at > LAPSE_S:
                upstream.forget_limit(now)
            if limit.limited:
                limited_services.add(upstream.listing.service)
            else:
                # Holds from the first answer that names a limit to the next update.
                limit.set_part(equal_part, now)
        for service in limited_services:
            self._divide(service, known, now)

    def loads(self) -> dict[str, float]:
        """Return the recent calls a second by service, for the other entries."""
        return {name: round(load, 2) for name, load in self._loads.items()}

    def report(self) -> list[tuple[str, int, float | None, float]]:
        """Return what upstreams have named, for the other entries.

        Returns
        -------
        list of (str, int, float or None, float)
            Name and start time of the upstream, requests a second or None for no
            limit, and seconds since it named that; the latest ones.
        """
        now = time.monotonic()
        ages = [
            (now - upstream.limit.named_at, upstream) for upstream in self._upstreams
        ]
        recent = sorted(
            ((age_s, u) for age_s, u in ages if age_s < MAX_AGE_S),
            key=lambda pair: pair[0],
        )
        return [
            (
                *upstream.incarnation,
                upstream.limit.per_s if upstream.limit.limited else None,
                age_s,
            )
            for age_s, upstream in recent[:MAX_REPORTED_LIMITS]
        ]

    def adopt(self, report: Any, told_by: str, asked_at: float) -> None:
        """Take over what upstreams have named to another entry.

        Parameters
        ----------
        report : object
            As returned by `report`, decoded from JSON; invalid ones are logged.
        told_by : str
            Name of the entry.
        asked_at : float
            When it was asked, in seconds on the monotonic clock.
        """
        try:
            statements = [
                (
                    (text(name), integer(started_ms)),
                    math.inf if limit is None else number(limit),
                    number(age_s),
                )
                for name, started_ms, limit, age_s in report[:MAX_REPORTED_LIMITS]
            ]
        except DECODING_ERRORS as exc:
            _log.warning("unreadable limits", told_by=told_by, error=repr(exc))
            return
        now = time.monotonic()
        for incarnation, per_s, age_s in statements:
            upstream = self._upstreams.find(incarnation[0])
            if upstream is None or upstream.incarnation != incarnation:
                continue
            # An age counts from the question. Otherwise, with each exchange, a limit
            # that has ended would seem to have been named a little later.
            named_at = asked_at - age_s
            upstream.name_limit(per_s, named_at, now, told_by=told_by)

    def _update_loads(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0.0:
            return
        self._updated_at = now
        weight = ewma_weight(elapsed_s, LOAD_TIME_CONSTANT_S)
        for service in self._loads.keys() | self._calls.keys():
            per_s = self._calls.pop(service, 0) / elapsed_s
            load = self._loads.get(service, 0.0)
            self._loads[service] = load + weight * (per_s - load)

    def _divide(self, service: str, known: float, now: float) -> None:
        own_load = self._loads.get(service, 0.0)
        weights = weigh_entries(self._entries.loads(service, own_load, now))
        upstreams = self._upstreams.ready(service)
        parts = divide_limits(weights, self._entries.own_name, len(upstreams))
        for upstream, part in zip(upstreams, parts, strict=True):
            upstream.limit.set_part(known * part, now)

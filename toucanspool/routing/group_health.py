"""Stalls of lock-step groups, seen from the events of the streams that run on them."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

# Time over which stalls are remembered. A group whose rank fails and returns by turns
# stalls again within seconds.
MEMORY_S = 4.0
# A group is silent if none of its streams has an event for this multiple of the longest
# pause that is on time. Passes vary by less.
SILENCE_FACTOR = 3.0
# Weight of the fraction of time lost in stalls. With it, a group that stands still for
# a tenth of the time gets the most urgent calls only where others are full.
STALL_WEIGHT = 40.0


@dataclass(slots=True)
class _Group:
    streams: int = 0
    last_event_at: float = 0.0
    lost_s: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        self.lost_s *= math.exp(-max(0.0, now - self.updated_at) / MEMORY_S)
        self.updated_at = now


class GroupHealth:
    """Estimate how much time the streams of each lock-step group lose in stalls.

    Answers the load in which a group stalls, since one of its ranks has failed, while
    others run. All ranks of a group stall together, so that a silence of all streams of
    one group shows it before any of them fails.

    Parameters
    ----------
    max_pause_s : float, default=0.0
        Longest pause between two events that is on time, in seconds; 0 if not known.

    Attributes
    ----------
    max_pause_s : float
        As the parameter; may be changed.
    """

    __slots__ = ("_group_of", "_groups", "max_pause_s")

    def __init__(self, max_pause_s: float = 0.0) -> None:
        self.max_pause_s = max_pause_s
        self._group_of: dict[str, str] = {}
        self._groups: dict[str, _Group] = {}

    def set_groups(self, group_of: Mapping[str, str]) -> None:
        """Replace the groups of the upstreams.

        Parameters
        ----------
        group_of : mapping of str to str
            Group by upstream; upstreams that are missing belong to none.
        """
        self._group_of = dict(group_of)
        names = set(self._group_of.values())
        self._groups = {name: g for name, g in self._groups.items() if name in names}

    def start_stream(self, upstream: str, now: float) -> None:
        """Count a stream that is sent to an upstream.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        now : float
            Seconds on the monotonic clock.
        """
        group = self._find(upstream)
        if group is None:
            return
        if not group.streams:
            group.last_event_at = now
        group.streams += 1

    def end_stream(self, upstream: str) -> None:
        """Count the end of a stream."""
        group = self._find(upstream)
        if group is not None:
            group.streams = max(0, group.streams - 1)

    def record_event(self, upstream: str, now: float) -> None:
        """Count an event of a stream.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        now : float
            Seconds on the monotonic clock.
        """
        group = self._find(upstream)
        if group is None:
            return
        silent_s = self._silent_s(group, now)
        if silent_s:
            group.decay(now)
            group.lost_s += silent_s
        group.last_event_at = now

    def penalty(self, upstream: str, tolerance: float, now: float) -> float:
        """Return the factor by which an upstream counts as slower for a call.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        tolerance : float
            How little urgent the call is, from 0 to 1; with 1, stalls don't count.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            1 if its group has not stalled lately.
        """
        group = self._find(upstream)
        if group is None:
            return 1.0
        group.decay(now)
        lost = min(1.0, (group.lost_s + self._silent_s(group, now)) / MEMORY_S)
        return 1.0 + STALL_WEIGHT * lost * (1.0 - tolerance)

    def _silent_s(self, group: _Group, now: float) -> float:
        """Return the length of a silence that is too long for a pass, else 0."""
        silent_s = now - group.last_event_at
        too_long = silent_s > SILENCE_FACTOR * self.max_pause_s
        return silent_s if group.streams and self.max_pause_s and too_long else 0.0

    def _find(self, upstream: str) -> _Group | None:
        name = self._group_of.get(upstream)
        return self._groups.setdefault(name, _Group()) if name else None

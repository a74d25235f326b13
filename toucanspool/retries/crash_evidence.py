"""Evidence on which calls crash the upstreams that run them."""

import math
from collections import OrderedDict
from collections.abc import Container, Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

EVIDENCE_S = 600.0
# A trait that was sound this shortly before a crash, or after it, has not caused it.
SOUND_WINDOW_S = 5.0
MAX_CRASHES = 256
MAX_PARTS = 1024
MAX_REQUESTS = 4096
# Parts of prompts hold no colon.
REQUEST_PREFIX = "request:"

# What a call has in common with other calls: the shared parts of its prompt in order,
# and last the request itself, which may come again.
Traits = tuple[str, ...]


class CrashId(NamedTuple):
    """Identify a crash, alike at all entries that see it.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    started_ms : int
        Start time of its incarnation; see `Listing`.
    number : int, default=1
        Number of the crash, for an upstream that comes back as the same incarnation.
    """

    upstream: str
    started_ms: int
    number: int = 1


def request_trait(fingerprint: str) -> str:
    """Return the trait of a request by its fingerprint."""
    return REQUEST_PREFIX + fingerprint


def is_request(trait: str) -> bool:
    """Return whether a trait is a request, not a part of prompts."""
    return trait.startswith(REQUEST_PREFIX)


@dataclass(slots=True)
class Crash:
    """Hold one crash of an upstream.

    Parameters
    ----------
    at : float
        Time of the crash, in seconds on the monotonic clock.
    calls : set of tuple of str
        Traits of the calls that it may be due to.
    """

    at: float
    calls: set[Traits] = field(default_factory=set)

    @property
    def traits(self) -> set[str]:
        """Return the traits of all these calls."""
        return {trait for call in self.calls for trait in call}


@dataclass(slots=True)
class _Seen:
    calls: int = 0
    sound_at: float = -math.inf


class CrashEvidence:
    """Collect crashes, and which traits were seen in calls that ended without.

    Attributes
    ----------
    crashes : dict of CrashId to Crash
        Recent crashes, in the order recorded.
    """

    __slots__ = ("_parts", "_requests", "crashes")

    def __init__(self) -> None:
        self.crashes: OrderedDict[CrashId, Crash] = OrderedDict()
        # Kept apart, since most requests are seen once and would displace the parts.
        self._parts: OrderedDict[str, _Seen] = OrderedDict()
        self._requests: OrderedDict[str, _Seen] = OrderedDict()

    def record_call(self, traits: Iterable[str]) -> None:
        """Count a new call."""
        for trait in traits:
            self._seen(trait).calls += 1

    def record_sound(self, trait: str, at: float) -> None:
        """Record that an upstream has run a call with a trait and did not crash."""
        seen = self._seen(trait)
        seen.sound_at = max(seen.sound_at, at)

    def record_crash(
        self, crash_id: CrashId, calls: Iterable[Sequence[str]], at: float
    ) -> bool:
        """Add a crash, or further calls that a known crash may be due to.

        Parameters
        ----------
        crash_id : CrashId
            The crash.
        calls : iterable of sequence of str
            Traits of the calls.
        at : float
            Time of the crash, in seconds on the monotonic clock.

        Returns
        -------
        bool
            Whether any of this was not known before.
        """
        crash = self.crashes.setdefault(crash_id, Crash(at))
        known = len(crash.calls)
        crash.calls.update(tuple(call) for call in calls)
        while len(self.crashes) > MAX_CRASHES:
            self.crashes.popitem(last=False)
        return len(crash.calls) > known

    def suspects(self) -> dict[str, set[CrashId]]:
        """Return the crashes that each trait may have caused."""
        suspects: dict[str, set[CrashId]] = {}
        for crash_id, crash in self.crashes.items():
            for trait in crash.traits:
                if not self.is_cleared(trait, crash):
                    suspects.setdefault(trait, set()).add(crash_id)
        return suspects

    def crashes_without(self, traits: Container[str]) -> set[CrashId]:
        """Return the crashes that none of some traits was in."""
        return {
            crash_id
            for crash_id, crash in self.crashes.items()
            if not any(trait in traits for trait in crash.traits)
        }

    def is_cleared(self, trait: str, crash: Crash) -> bool:
        """Return whether a trait has not caused a crash."""
        return self.sound_at(trait) > crash.at - SOUND_WINDOW_S

    def sound_at(self, trait: str) -> float:
        """Return when a trait was last sound, in seconds on the monotonic clock."""
        seen = self._requests if is_request(trait) else self._parts
        return seen[trait].sound_at if trait in seen else -math.inf

    def call_count(self, trait: str) -> int:
        """Return the number of calls with a trait."""
        seen = self._requests if is_request(trait) else self._parts
        return seen[trait].calls if trait in seen else 0

    def depth(self, trait: str) -> int:
        """Return the last position that a trait has in calls that were in a crash."""
        calls = (call for crash in self.crashes.values() for call in crash.calls)
        return max((call.index(trait) for call in calls if trait in call), default=0)

    def expire(self, now: float) -> None:
        """Drop old crashes."""
        old = [key for key, c in self.crashes.items() if c.at + EVIDENCE_S <= now]
        for crash_id in old:
            del self.crashes[crash_id]

    def _seen(self, trait: str) -> _Seen:
        if is_request(trait):
            table, most = self._requests, MAX_REQUESTS
        else:
            table, most = self._parts, MAX_PARTS
        seen = table.setdefault(trait, _Seen())
        table.move_to_end(trait)
        if len(table) > most:
            table.popitem(last=False)
        return seen

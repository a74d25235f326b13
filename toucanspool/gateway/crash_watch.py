"""Detection of upstreams that crash while they answer calls."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import gevent
import structlog

from toucanspool.routing.upstream import Listing, Upstream
from toucanspool.wire.reachability import Reachability, check_reachability

# The replies that a crash breaks end within milliseconds of each other.
CHECK_DELAY_S = 0.1
CONNECT_TIMEOUT_S = 0.5

Prompt = tuple[str, ...]

_log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class Crash:
    """Hold the crash of one upstream.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    started_ms : int
        Start time of its incarnation; see `Listing`.
    prompts : tuple of tuple of str
        Shared parts of the prompt of each call whose reply the crash broke off.
    """

    upstream: str
    started_ms: int
    prompts: tuple[Prompt, ...]


class CrashWatch:
    """Find out whether upstreams have crashed when replies break off.

    A broken reply alone may be a lost connection. An upstream has crashed if it
    refuses a connection right after that.

    Parameters
    ----------
    on_crash : callable
        Called with each `Crash`; more than once for an incarnation if more replies
        break after the first check.
    """

    __slots__ = ("_on_crash", "_suspects")

    def __init__(self, on_crash: Callable[[Crash], None]) -> None:
        self._on_crash = on_crash
        self._suspects: dict[tuple[str, int], list[Prompt]] = {}

    def record_break(self, upstream: Upstream, prompt: Sequence[str]) -> None:
        """Record a reply that broke off, and check the upstream in the background.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        prompt : sequence of str
            Shared parts of the prompt.
        """
        suspects = self._suspects.setdefault(upstream.incarnation, [])
        suspects.append(tuple(prompt))
        if len(suspects) == 1:
            gevent.spawn_later(CHECK_DELAY_S, self._check, upstream.listing)

    def _check(self, listing: Listing) -> None:
        prompts = tuple(self._suspects.pop((listing.name, listing.started_ms)))
        reachability = check_reachability(listing.host, listing.port, CONNECT_TIMEOUT_S)
        if reachability is Reachability.REFUSES:
            _log.warning(
                "upstream crashed",
                upstream=listing.name,
                service=listing.service,
                prompts=prompts,
            )
            known = tuple(prompt for prompt in prompts if prompt)
            if known:
                self._on_crash(Crash(listing.name, listing.started_ms, known))

"""Kernel service that owns the claims of an agent."""

from contextlib import ExitStack

from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.protected.claims import Claims
from toucanspool.protected.committer import Committer

RETRY_INTERVAL_S = 1.0
CLOSE_TIMEOUT_S = 3.0


class ClaimsService:
    """Own an agent's claims and the committer of their writes.

    Parameters
    ----------
    instance : str
        Name of the agent's instance.

    Attributes
    ----------
    claims : Claims
        Available after `start`.
    """

    __slots__ = ("_exit_stack", "_instance", "claims")

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._exit_stack = ExitStack()

    def start(self, kernel: Kernel) -> None:
        """Start the committer and the retries; see `Service`."""
        platform = kernel.find("platform")
        randoms = kernel.find("rng")
        committer = Committer(platform.table, rng=randoms.named("committer"))
        self.claims = Claims(
            committer, platform.table, platform.objects, self._instance
        )
        committer.start()
        self._exit_stack.callback(committer.close, timeout_s=CLOSE_TIMEOUT_S)
        ticker = Ticker(
            "claims",
            RETRY_INTERVAL_S,
            self._retry,
            rng=randoms.named("claims"),
        )
        ticker.start()
        self._exit_stack.callback(self.claims.pending.flush, CLOSE_TIMEOUT_S)
        self._exit_stack.callback(ticker.stop)

    def stop(self) -> None:
        """Flush pending writes and stop; see `Service`."""
        self._exit_stack.close()

    def _retry(self) -> None:
        self.claims.retry_pending()

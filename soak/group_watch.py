"""Check, from outside, the coordination of a group: held passes and elections."""

import time
from collections import defaultdict
from collections.abc import Sequence

import orjson

from soak.oracle import Oracle
from soak.process import Process
from standins.pass_group import PassGroup

# Processes that were left alone for this long can reach each other and the store.
CONTACT_S = 3.0
# Connected coordinators hold a pass no longer than this.
MAX_HELD_S = 1.0
ELECTION_PREFIX = "duty/"


class GroupWatch:
    """Look for passes that stay held and for tokens that are given twice.

    Parameters
    ----------
    group : PassGroup
        The group.
    agents : sequence of Process
        Its rank agents.
    oracle : Oracle
        Records violations.

    Attributes
    ----------
    coordinator : str
        Name of the agent that was elected last; empty before the first election.
    """

    def __init__(
        self, group: PassGroup, agents: Sequence[Process], oracle: Oracle
    ) -> None:
        self._group = group
        self._agents = agents
        self._oracle = oracle
        self.coordinator = ""
        self._held_since: float | None = None
        self._tokens: dict[str, set[int]] = defaultdict(set)

    def check_held(self) -> None:
        """Check for how long the next pass has been held; called at each tick."""
        if not self._group.held or self._disturbed():
            self._held_since = None
            return
        now = time.monotonic()
        if self._held_since is None:
            self._held_since = now
        elif now - self._held_since > MAX_HELD_S:
            self._oracle.record_held(self._group.step + 1, now - self._held_since)
            self._held_since = None

    def record_commit(self, key: str, value: bytes) -> None:
        """Record a row that a process has written to the store.

        Parameters
        ----------
        key : str
            Key of the row.
        value : bytes
            Its value; that of an election names the token.
        """
        if not key.startswith(ELECTION_PREFIX):
            return
        election = orjson.loads(value)
        tokens = self._tokens[key]
        if election["token"] in tokens:
            self._oracle.record_token(election["token"], election["holder"])
        tokens.add(election["token"])
        self.coordinator = election["holder"]

    def _disturbed(self) -> bool:
        undisturbed_s = min(
            self._oracle.undisturbed_s(),
            *(agent.undisturbed_s() for agent in self._agents),
        )
        return self._group.delayed_share > 0.0 or undisturbed_s < CONTACT_S

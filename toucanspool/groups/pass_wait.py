"""Waiting for a pass to begin."""

import time

import gevent

from toucanspool.groups.group_client import GroupClient
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAsk

POLL_INTERVAL_S = 0.02
# An idle group begins no pass.
MAX_WAIT_S = 0.6


def wait_for_pass(
    client: GroupClient, epoch: int, rank: int, step: int, timeout_s: float
) -> None:
    """Return once a pass has begun, or after a time limit.

    Parameters
    ----------
    client : GroupClient
        Sends the requests.
    epoch : int
        The group's epoch.
    rank : int
        The rank to ask, on the coordinator's machine.
    step : int
        The pass.
    timeout_s : float
        Time limit, in seconds; `MAX_WAIT_S` at most.

    Raises
    ------
    Replaced
        Another coordinator has been elected.
    GroupChanged
        The group was formed again.
    """
    deadline = time.monotonic() + min(timeout_s, MAX_WAIT_S)
    while time.monotonic() < deadline:
        status = RankAsk(action=RankAction.STATUS)
        answer = client.send_all([rank], status, epoch)[rank]
        if answer is None or answer.step >= step:
            return
        gevent.sleep(POLL_INTERVAL_S)

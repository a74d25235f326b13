"""Whether the end of a connection is the end of the reply on it."""

import time

from toucanspool.wire.reachability import Reachability, check_reachability
from toucanspool.wire.reply_parser import BrokenReply
from toucanspool.wire.reply_reader import ReplyReader

CHECK_TIMEOUT_S = 0.5
# An upstream that crashed does not accept connections again within this time.
MIN_RESTART_S = 0.5


def check_end(host: str, port: int, reader: ReplyReader, until: float) -> None:
    """Check that an upstream, which has closed a connection, has not crashed.

    Parameters
    ----------
    host : str
        IP address of the upstream.
    port : int
        TCP port of the upstream.
    reader : ReplyReader
        Has read the reply to the end of its connection.
    until : float
        Time limit, in seconds on the monotonic clock.

    Raises
    ------
    BrokenReply
        The upstream may have crashed.
    """
    timeout_s = min(CHECK_TIMEOUT_S, max(0.0, until - time.monotonic()))
    reachability = check_reachability(host, port, timeout_s)
    if reachability is not Reachability.ACCEPTS:
        raise BrokenReply(
            "the connection was closed without an end of the reply, and the "
            f"reachability of the upstream is: {reachability.value}"
        )
    if reader.max_close_age_s > MIN_RESTART_S:
        raise BrokenReply(
            "the connection was closed without an end of the reply, so long ago "
            "that the upstream may have been restarted"
        )

"""One attempt at a call: an exchange with one upstream, and what came of it."""

import time
from collections.abc import Iterator

from toucanspool.gateway.call import Call
from toucanspool.gateway.dialect import Dialect, ReplyHead
from toucanspool.gateway.exchange import Exchange, Silent
from toucanspool.gateway.reply_parser import BrokenReply
from toucanspool.routing.upstreams import Upstream

MS_PER_S = 1000.0
SUCCESS = range(200, 300)


class TurnedAway(Exception):
    """Report that an upstream said that it did not run the call.

    Parameters
    ----------
    status : int
        The upstream's status.
    retry_after_s : float
        When it asks to come back; 0 if not told.
    """

    def __init__(self, status: int, retry_after_s: float) -> None:
        super().__init__(f"the upstream answered {status} and did not run the call")
        self.status = status
        self.retry_after_s = retry_after_s


class Attempt:
    """Carry a call to one upstream; to be closed.

    Parameters
    ----------
    call : Call
        The call.
    upstream : Upstream
        Where it goes.
    dialect : Dialect
        Translates headers.

    Attributes
    ----------
    reply_head : ReplyHead
        What the reply's head told; set by `begin`.
    """

    __slots__ = ("_call", "_dialect", "_exchange", "_upstream", "reply_head")

    def __init__(self, call: Call, upstream: Upstream, dialect: Dialect) -> None:
        self._call = call
        self._dialect = dialect
        self._upstream = upstream
        listing = upstream.listing
        self._exchange = Exchange(listing.host, listing.port, call.method)
        self.reply_head: ReplyHead
        upstream.in_flight += 1

    @property
    def status(self) -> int:
        """Return the reply's status; 0 before its head."""
        return self._exchange.parser.status

    @property
    def sent(self) -> bool:
        """Return whether the upstream may have seen the call."""
        return self._exchange.sent

    def begin(self, until: float, *, last_event_id: str = "") -> None:
        """Send the call and wait for the reply's head.

        Parameters
        ----------
        until : float
            Seconds on the monotonic clock.
        last_event_id : str, default=""
            The event after which a stream goes on.

        Raises
        ------
        Unreachable
            The upstream saw nothing.
        TurnedAway
            The upstream did not run the call.
        Silent, BrokenReply
            It may have run.
        """
        call = self._call
        now = time.monotonic()
        headers = self._dialect.request_headers(
            call,
            upstream=self._upstream.name,
            left_ms=call.deadline.left_ms(now),
            last_event_id=last_event_id,
        )
        self._exchange.send(call.target, headers, call.body)
        self._exchange.read_head(until)
        parser = self._exchange.parser
        self.reply_head = self._dialect.parse_reply_head(parser.status, parser.headers)
        self._note_load()
        if self.reply_head.not_run:
            raise TurnedAway(parser.status, self.reply_head.retry_after_s)
        if self.reply_head.call_id and self.reply_head.call_id != call.id:
            raise BrokenReply("the reply belongs to another call")
        if parser.status in SUCCESS and not self.reply_head.signed:
            raise BrokenReply("the upstream does not vouch for the reply")

    def read_body(self, until: float) -> bytes:
        """Return the reply's whole body; see `Exchange.read_body`."""
        return self._exchange.read_body(until)

    def iter_body(self, idle_timeout_s: float, until: float) -> Iterator[bytes]:
        """Yield the reply's body as it comes; see `Exchange.iter_body`."""
        return self._exchange.iter_body(idle_timeout_s, until)

    def close(self) -> None:
        """End the exchange, which stops the upstream's work."""
        self._exchange.close()
        self._upstream.in_flight -= 1

    def _note_load(self) -> None:
        facts = self.reply_head
        if facts.running is not None and facts.waiting is not None:
            self._upstream.report_load(facts.running, facts.waiting, time.monotonic())


Failure = BrokenReply | Silent

"""Messages of entries to an agent."""

from toucanspool.wire.gen.messages.ttypes import Open


def make_open(
    *, key: str = "k1", guarded: bool = True, deadline_ms: int = 5000
) -> Open:
    """Return the message with which an entry opens a booking call."""
    return Open(
        call=1,
        request_id="r",
        attempt=1,
        team="clerks",
        upstream="desk-1",
        method="POST",
        path="/bookings",
        headers={},
        body=b"{}",
        deadline_ms=deadline_ms,
        idempotency_key=key,
        guarded=guarded,
        priority=0,
        revision=1,
        window=8,
    )

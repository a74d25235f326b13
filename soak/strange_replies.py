"""Replies of faulty upstreams that are easily taken for something else."""

import random

from standins.raw_upstream import ReceivedRequest, reply
from toucanspool.platform import headers as names

KINDS = ("earlier refusal", "failure", "embedded")
# Answers of an upstream that has run a call; none of them says that it has not.
FAILURES = ("500 Failed", "502 Failed", "503 Full", "429 Many")
# What an upstream may answer where a stream is to go on.
CONTINUATIONS = ("200 OK", "201 Created", "204 No Content", "404 None", "500 Failed")
JSON = "Content-Type: application/json"
TEXT = b'{"title":"failed"}\n\n'


def earlier_refusal(rng: random.Random, request: ReceivedRequest) -> bytes:
    """Return the refusal of an earlier call, whole or cut off inside its head.

    It has another call's id, or none.
    """
    refusal = reply(
        request,
        b"",
        status="503 Full",
        headers=f"{names.NOT_EXECUTED}: 1",
        signed=False,
    )
    own = f"{names.ATTEMPT_ID.title()}: {request.header(names.ATTEMPT_ID)}".encode()
    other = rng.choice((b"X-Other: 1", b"%s: other" % names.ATTEMPT_ID.encode()))
    refusal = refusal.replace(own, other)
    if rng.random() < 0.5:
        refusal = refusal[: rng.randrange(1, refusal.index(b"\r\n\r\n") + 4)]
    return refusal


def failure(rng: random.Random, request: ReceivedRequest, *, resumed: bool) -> bytes:
    """Return a complete answer that is no success, or no rest of a stream."""
    status = rng.choice(CONTINUATIONS if resumed else FAILURES)
    body = b"" if status.startswith("204") else TEXT
    return reply(request, body, status=status, headers=JSON)


def embedded_reply(rng: random.Random, request: ReceivedRequest) -> bytes:
    """Return another reply behind a part of an event."""
    event = b"id: 9\ndata: piece\n\n"
    part = event[: rng.randrange(len(event) - 2)]
    return part + reply(request, TEXT, status=rng.choice(FAILURES), headers=JSON)

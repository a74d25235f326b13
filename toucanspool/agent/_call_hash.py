"""Hash of a protected call, which detects an idempotency key used for another call."""

import xxhash

from toucanspool.wire.gen.messages.ttypes import Open


def call_hash(scope: str, request: Open) -> str:
    """Return the hash of a call's scope, method, path and body.

    Parameters
    ----------
    scope : str
        Service or model; equal requests to two services hash differently.
    request : Open
        Message that opened the call.

    Returns
    -------
    str
        Hexadecimal digest.
    """
    digest = xxhash.xxh3_128()
    for part in (scope, request.method, request.path):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()

"""The hash by which a protected call is told from another under its key."""

import xxhash

from toucanspool.wire.gen.messages.ttypes import Open


def call_hash(scope: str, opened: Open) -> str:
    """Return the hash of what a call asks for.

    Parameters
    ----------
    scope : str
        Whose keys are apart from all others.
    opened : Open
        The call.

    Returns
    -------
    str
    """
    digest = xxhash.xxh3_128()
    for part in (scope, opened.method, opened.path):
        digest.update(part.encode() + b"\0")
    digest.update(opened.body)
    return digest.hexdigest()

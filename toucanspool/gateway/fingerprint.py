"""Identification of requests that come again."""

import hashlib

DIGEST_BYTES = 16


def fingerprint(team: str, host: str, method: str, target: str, body: bytes) -> str:
    """Return a digest by which a request is known again.

    Logs and other entries get the digest in place of the request, whose body may be
    private. Callers can't find another request with the same digest.

    Parameters
    ----------
    team : str
        Team of the caller; empty on a public route.
    host, method, target : str
        Host, method, and path with query.
    body : bytes
        The body.

    Returns
    -------
    str
        Hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (team, host, method, target):
        data = part.encode()
        digest.update(len(data).to_bytes(8, "big") + data)
    digest.update(body)
    return digest.hexdigest()

"""Check, from outside, which configurations are in force at the gateways."""

import random
import time
from collections import defaultdict
from collections.abc import Sequence
from contextlib import suppress

import gevent
from gevent import socket

from soak.callers import HOST
from soak.oracle import Oracle
from soak.process import Process

# A process that can reach the store has its changes this long after they were written.
APPLY_S = 2.0
# A process counts as connected if it was undisturbed for this long.
CONTACT_S = 3.0
ASK_INTERVAL_S = 0.05
ASK_TIMEOUT_S = 1.0
# The answers to a request without a key: the route is known, or is not.
KEY_REQUIRED, NOT_FOUND = 401, 404


def version_prefix(version: int) -> str:
    """Return the prefix of the route that a version adds."""
    return f"/version-{version}/"


class ConfigWatch:
    """Ask gateways for the routes that versions added.

    Parameters
    ----------
    gateways : sequence of Process
        The gateways.
    oracle : Oracle
        Records violations.
    rng : random.Random
        Random source of the questions.
    """

    def __init__(
        self, gateways: Sequence[Process], oracle: Oracle, rng: random.Random
    ) -> None:
        self._gateways = gateways
        self._oracle = oracle
        self._rng = rng
        self._written_at: dict[int, float] = {}
        self._seen: dict[tuple[str, int], set[int]] = defaultdict(set)

    @property
    def versions(self) -> list[int]:
        """Return the versions that have been written."""
        return list(self._written_at)

    def record_write(self, version: int) -> None:
        """Record that the store has acknowledged a version."""
        self._written_at[version] = time.monotonic()

    def run(self) -> None:
        """Ask random gateways until killed."""
        while True:
            gevent.sleep(ASK_INTERVAL_S)
            gevent.spawn(self._ask, self._rng.choice(self._gateways))

    def _ask(self, gateway: Process) -> None:
        # Half of the questions are for the newest version.
        version = max(self._written_at)
        if self._rng.random() < 0.5:
            version = self._rng.choice(self.versions)
        asked_at = time.monotonic()
        connected = self._oracle.store_undisturbed_s() > CONTACT_S
        connected &= gateway.undisturbed_s() > CONTACT_S
        incarnation = gateway.name, gateway.starts
        status = _request_status(gateway.callers, version_prefix(version))
        if (gateway.name, gateway.starts) != incarnation:
            return
        if status == KEY_REQUIRED:
            self._seen[incarnation].add(version)
        if status != NOT_FOUND:
            return
        if version in self._seen[incarnation]:
            self._oracle.record_config(
                "a configuration never goes back", gateway.name, version, 0.0
            )
        elif connected and asked_at > self._written_at[version] + APPLY_S:
            self._oracle.record_config(
                "configuration in time",
                gateway.name,
                version,
                asked_at - self._written_at[version],
            )


def _request_status(port: int, path: str) -> int:
    """Return the status of a request without a key; 0 without an answer."""
    request = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n"
    with suppress(OSError, ValueError, IndexError):
        sock = socket.create_connection(("127.0.0.1", port), timeout=ASK_TIMEOUT_S)
        sock.sendall(request.encode())
        answer = sock.recv(4096)
        sock.close()
        return int(answer.split(b" ")[1])
    return 0

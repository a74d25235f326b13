"""What other entries answer to probes is used only where it can be read."""

import random

import pytest

from tests.gateway.gateways import gateway
from toucanspool.backing.table import Row
from toucanspool.membership.entries import Entries, EntryRecord
from toucanspool.platform import probes
from toucanspool.platform.peer_status import decode_peer_status
from toucanspool.platform.probes import Prober
from toucanspool.platform.unpooled_client import JsonResponse

JUNK = [5, -1, 1e300, "x", None, True, [], [[]], {}, {"s": "x"}, {"s": -1}, {"s": [1]}]
FIELDS = ["carried", "loads", "limits", "count", "lost"]


def test_a_status():
    status = decode_peer_status(
        {"carried": {"s": 1.5}, "loads": {"s": 2}, "count": 3, "lost": ["e2"]}
    )
    assert (status.streams, status.loads) == ({"s": 1.5}, {"s": 2.0})
    assert (status.count, status.lost, status.limits) == (3, ("e2",), ())


@pytest.mark.parametrize("body", JUNK + [{name: v} for name in FIELDS for v in JUNK])
def test_a_malformed_answer_ends_neither_probes_nor_ticks(monkeypatch, body):
    """Guards against an answer that stops the limits or hides a lost entry."""
    monkeypatch.setattr(
        probes, "_send_probe", lambda *args: JsonResponse(200, {}, body)
    )
    entries = Entries(EntryRecord("e1", "10.0.0.1:1", "10.0.0.1:2"))
    record = EntryRecord("e2", "10.0.0.2:1", "10.0.0.2:2")
    entries.put(Row("entry/e2", record.encode(), 1))
    with gateway() as gw:
        core = gw.core
        core._entries = core.limit_sharing._entries = entries
        Prober(entries, core, random.Random(1))._probe_entry(record)
        core.tick()
        core.limits()
        assert entries.count(0.0) == 2
        assert 0.3 <= entries.known_fraction(0.0) <= 1.0


@pytest.mark.parametrize("probe", ["nowhere", "10.0.0.2:http", "a..b:80", ":80"])
def test_an_entry_that_can_not_be_probed_is_lost(probe):
    """Guards against an entry that callers are told of though nobody can reach it."""
    entries = Entries(EntryRecord("e1", "10.0.0.1:1", "10.0.0.1:2"))
    record = EntryRecord("e2", "10.0.0.2:1", probe)
    entries.put(Row("entry/e2", record.encode(), 1))
    with gateway() as gw:
        prober = Prober(entries, gw.core, random.Random(1))
        for _ in range(2):
            prober._probe_entry(record)
    assert entries.lost == ["e2"]

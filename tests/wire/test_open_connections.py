"""Which connections are closed for others."""

import pytest

from toucanspool.wire import open_connections
from toucanspool.wire.open_connections import OpenConnections, Phase


class Conn:
    """Record that it was closed."""

    def __init__(self, transferred_bytes: int = 0) -> None:
        self.transferred_bytes = transferred_bytes
        self.evicted_in: Phase | None = None

    def evict(self, phase: Phase) -> None:
        """Record the phase."""
        self.evicted_in = phase


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(open_connections.time, "monotonic", lambda: now[0])
    return now


def filled(clock, *phases: Phase) -> tuple[OpenConnections, list[Conn]]:
    """Return connections in phases, each one second longer than the next."""
    connections, conns = OpenConnections(len(phases)), []
    for phase in phases:
        conns.append(Conn())
        assert connections.add(conns[-1])
        connections.move(conns[-1], phase)
        clock[0] += 1.0
    return connections, conns


def test_idle_connections_are_closed_before_others_the_oldest_first(clock):
    connections, conns = filled(clock, Phase.ARRIVING, Phase.IDLE, Phase.IDLE)
    assert connections.add(Conn())
    assert [conn.evicted_in for conn in conns] == [None, Phase.IDLE, None]
    assert len(connections) == 3


def test_of_clients_that_keep_the_process_waiting_the_slowest_is_closed(clock):
    connections, conns = filled(clock, Phase.SENDING, Phase.SENDING, Phase.ARRIVING)
    conns[0].transferred_bytes = 3_000_000
    conns[1].transferred_bytes = 10_000
    conns[2].transferred_bytes = 20_000
    assert connections.evict_slow()
    assert conns[1].evicted_in is Phase.SENDING


def test_connections_at_work_or_new_keep_their_places(clock):
    connections, conns = filled(clock, Phase.RUNNING, Phase.RUNNING)
    assert not connections.add(Conn())
    connections.move(conns[0], Phase.SENDING)
    assert not connections.evict_slow()
    clock[0] += open_connections.MIN_CLIENT_S
    assert connections.evict_slow()
    assert not connections.evict_any()


def test_a_closed_connection_has_no_phase_any_longer(clock):
    connections, conns = filled(clock, Phase.IDLE)
    assert connections.evict_any()
    connections.move(conns[0], Phase.SENDING)
    connections.remove(conns[0])
    assert len(connections) == 0
    assert not connections.evict_any()


def test_a_phase_that_begins_anew_is_the_youngest(clock):
    connections, conns = filled(clock, Phase.SENDING, Phase.SENDING)
    connections.move(conns[0], Phase.SENDING, renew=True)
    clock[0] += 1.0
    assert connections.evict_slow()
    assert conns[1].evicted_in is Phase.SENDING

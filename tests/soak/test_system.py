"""What a soak leaves behind."""

import gevent

from soak import system as soak_system
from soak.system import World


def test_no_harm_goes_on_once_the_world_is_closed(monkeypatch):
    done = []

    def late(world: World) -> None:
        gevent.sleep(0.5)
        done.append(world)

    monkeypatch.setattr(soak_system, "HARMS", {"late": late})
    with World(1) as world:
        world._harm()
        gevent.sleep(0.01)
    gevent.sleep(1.0)
    assert done == []

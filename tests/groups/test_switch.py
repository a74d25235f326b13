"""Promise 1: in every step all ranks use one expert map, whatever fails."""

from tests.groups.switch_world import World


def test_switch_brings_all_ranks_to_one_map():
    world = World()
    world.elect(b"map a", b"map b")
    world.run(100)
    used = {step.versions for step in world.group.steps}
    assert len(used) == 2
    assert not world.group.mixed_steps()

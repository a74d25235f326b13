"""Repair of a group whose ranks use different maps."""

from collections.abc import Mapping

from toucanspool.groups.armed_switch import ArmedSwitch, SwitchEnd
from toucanspool.groups.expert_map import IntArray
from toucanspool.groups.group_client import GroupClient
from toucanspool.groups.group_state import armed_versions, passes_to_hold
from toucanspool.groups.map_preparation import MapPreparation, VersionedMap
from toucanspool.groups.rank_engine import UNSET
from toucanspool.wire.gen.messages.ttypes import RankAnswer

# Passes ahead to try if one of the next is to be held: the first ones may begin
# meanwhile.
HOLD_SOON = (1, 2, 4, 8)


def repair_group(
    switch: ArmedSwitch,
    client: GroupClient,
    answers: Mapping[int, RankAnswer],
    complete: IntArray,
    copy_timeout_s: float,
) -> SwitchEnd:
    """Bring a group whose ranks use different maps back to one.

    The group is held meanwhile, since its passes give wrong results.

    Parameters
    ----------
    switch : ArmedSwitch
        A switch of the group.
    client : GroupClient
        Sends the requests.
    answers : mapping of int to RankAnswer
        The latest answer of each rank, given to this coordinator's token.
    complete : ndarray of int, shape (layer_sets, ranks, slots)
        A map close to what the ranks hold.
    copy_timeout_s : float
        The longest time for all ranks to copy their experts, in seconds.

    Returns
    -------
    SwitchEnd

    Raises
    ------
    Replaced
        Another coordinator has been elected.
    GroupChanged
        The group was formed again.
    """
    holds = switch.new_holds()
    holds.adopt_all(answers)
    latest = max(answer.step for answer in answers.values())
    next_passes = [latest + ahead for ahead in HOLD_SOON]
    passes = passes_to_hold(answers) or next_passes
    step = holds.place_before(switch.holders(), passes)
    if step == UNSET:
        return SwitchEnd.NOT_HELD
    new = VersionedMap(switch.next_version(answers), complete)
    switch.fence(new, armed_versions(answers))
    epoch = next(iter(answers.values())).epoch
    if MapPreparation(client, epoch, new).wait(answers, copy_timeout_s):
        return switch.arm_and_release(new, step, holds, complete)
    switch.release(holds)
    return SwitchEnd.NOT_COPIED

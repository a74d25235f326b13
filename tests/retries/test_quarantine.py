"""Calls that crash upstreams are told from those that are near when it happens."""

import pytest

from toucanspool.retries.crash_evidence import SOUND_WINDOW_S, request_trait
from toucanspool.retries.quarantine import (
    BLOCK_S,
    CRASHES_TO_BLOCK,
    OTHER_CRASHES_TO_BLOCK,
    PROBATION_S,
    Quarantine,
)

FIRST, DEADLY = "first", "deadly"


def crashed(
    quarantine: Quarantine, times: int, *, start: int = 0, gap_s: float = 10.0
) -> float:
    """Record crashes of distinct upstreams, each with a bystander; return the time."""
    at = 0.0
    for number in range(start, start + times):
        at = gap_s * number
        prompts = [(FIRST, f"s{number}", DEADLY), (FIRST, f"b{number}")]
        quarantine.record_crash((f"u{number}", 1), prompts, at)
    return at


def test_the_part_that_all_crashes_share_is_blocked_after_enough_of_them():
    quarantine = Quarantine()
    at = crashed(quarantine, CRASHES_TO_BLOCK - 1)
    assert not quarantine.blocked
    quarantine.record_sound((FIRST,), at + 1.0)
    at = crashed(quarantine, 1, start=CRASHES_TO_BLOCK - 1)
    assert set(quarantine.blocked) == {DEADLY}
    assert quarantine.remaining_s((FIRST, "other", DEADLY), at) == BLOCK_S
    assert quarantine.remaining_s((FIRST, "s0"), at) == 0.0


def test_crashes_of_one_incarnation_count_once():
    quarantine = Quarantine()
    for _ in range(CRASHES_TO_BLOCK):
        quarantine.record_crash(("u", 1), [(FIRST, DEADLY)], 0.0)
    assert not quarantine.blocked


@pytest.mark.parametrize("sound_s", [1.0 - SOUND_WINDOW_S, 1.0])
def test_a_part_that_is_sound_near_a_crash_has_not_caused_it(sound_s):
    quarantine = Quarantine()
    for number in range(2 * CRASHES_TO_BLOCK):
        at = 20.0 * number
        quarantine.record_crash((f"u{number}", 1), [(FIRST,)], at)
        quarantine.record_sound((FIRST,), at + sound_s)
        quarantine.record_crash((f"u{number}", 1), [(FIRST,)], at)
    assert not quarantine.blocked


def test_without_other_evidence_the_rarest_part_is_blocked():
    quarantine = Quarantine()
    for _ in range(50):
        quarantine.record_call((FIRST, "subject"))
    quarantine.record_call((FIRST, "subject", DEADLY))
    crashed(quarantine, CRASHES_TO_BLOCK)
    assert set(quarantine.blocked) == {DEADLY}


def test_crashes_that_a_blocked_part_explains_count_against_no_other():
    quarantine = Quarantine()
    crashed(quarantine, 3 * CRASHES_TO_BLOCK)
    assert set(quarantine.blocked) == {DEADLY}


def test_a_sound_answer_ends_a_block():
    quarantine = Quarantine()
    at = crashed(quarantine, CRASHES_TO_BLOCK)
    quarantine.record_sound((DEADLY,), at - SOUND_WINDOW_S)
    assert quarantine.blocked
    quarantine.record_sound((DEADLY,), at + 1.0)
    assert not quarantine.blocked


def test_a_part_whose_block_has_ended_is_blocked_again_at_its_next_crash():
    quarantine = Quarantine()
    at = crashed(quarantine, CRASHES_TO_BLOCK) + BLOCK_S
    quarantine.expire(at)
    assert not quarantine.blocked
    quarantine.record_crash(("u9", 1), [(FIRST, DEADLY), (FIRST, "b9")], at + 1.0)
    assert set(quarantine.blocked) == {DEADLY}


def test_evidence_ends():
    quarantine = Quarantine()
    at = crashed(quarantine, CRASHES_TO_BLOCK)
    quarantine.expire(at + BLOCK_S + PROBATION_S)
    quarantine.record_crash(("u9", 1), [(FIRST, DEADLY)], at + BLOCK_S + PROBATION_S)
    assert not quarantine.blocked


def test_a_block_of_other_entries_is_adopted_unless_the_part_is_sound_here():
    quarantine = Quarantine()
    quarantine.record_sound((FIRST,), 10.0)
    assert quarantine.adopt(DEADLY, 11.0, 12.0)
    assert not quarantine.adopt(FIRST, 11.0, 12.0)
    assert not quarantine.adopt("old", 11.0, 11.0 + BLOCK_S)
    assert set(quarantine.blocked) == {DEADLY}


REQUEST, OTHER = request_trait("deadly"), request_trait("other")


def crash_under(
    quarantine: Quarantine, *calls: tuple[str, ...], first: int, times: int = 3
) -> None:
    """Record crashes of distinct upstreams, numbered from `first`, under calls."""
    for number in range(first, first + times):
        quarantine.record_crash((f"u{number}", 1), calls, 10.0 + 0.1 * number)


def test_a_request_that_comes_again_is_blocked_and_not_what_its_prompt_shares():
    quarantine = Quarantine()
    crash_under(quarantine, (FIRST, "s1", REQUEST), first=0, times=CRASHES_TO_BLOCK)
    assert set(quarantine.blocked) == {REQUEST}


def test_a_request_without_a_prompt_is_blocked_and_sound_ones_beside_it_are_not():
    quarantine = Quarantine()
    quarantine.record_sound((OTHER,), 9.0)
    crash_under(quarantine, (REQUEST,), (OTHER,), first=0)
    assert set(quarantine.blocked) == {REQUEST}


def test_a_request_that_was_near_all_crashes_is_released_at_the_next_one():
    for deadly, near in ((REQUEST, OTHER), (OTHER, REQUEST)):
        quarantine = Quarantine()
        crash_under(quarantine, (deadly,), (near,), first=0)
        assert len(quarantine.blocked) == 1
        crash_under(quarantine, (deadly,), first=3, times=1)
        assert set(quarantine.blocked) == {deadly}
        assert not quarantine.adopt(near, 10.0, 11.0)


def test_two_deadly_requests_are_both_blocked():
    quarantine = Quarantine()
    crash_under(quarantine, (REQUEST,), first=0)
    crash_under(quarantine, (OTHER,), first=3)
    assert set(quarantine.blocked) == {REQUEST, OTHER}


def test_a_part_that_several_deadly_requests_share_is_blocked_in_their_place():
    quarantine = Quarantine()
    crash_under(quarantine, (FIRST, "s1", DEADLY, request_trait("r1")), first=0)
    assert set(quarantine.blocked) == {request_trait("r1")}
    quarantine.record_sound((FIRST,), 12.0)
    crash_under(
        quarantine,
        (FIRST, "s2", DEADLY, request_trait("r2")),
        first=3,
        times=OTHER_CRASHES_TO_BLOCK,
    )
    assert set(quarantine.blocked) == {DEADLY}


def test_a_request_that_all_callers_send_is_not_blocked_for_a_rare_part():
    quarantine = Quarantine()
    for _ in range(50):
        quarantine.record_call((FIRST, "s", REQUEST))
    quarantine.record_call((FIRST, "s", DEADLY, REQUEST))
    for number in range(CRASHES_TO_BLOCK):
        calls = [(FIRST, f"s{number}", DEADLY, REQUEST), (FIRST, f"b{number}", REQUEST)]
        quarantine.record_crash((f"u{number}", 1), calls, 10.0)
    assert set(quarantine.blocked) == {DEADLY}


def test_one_crash_more_is_not_put_on_a_part_that_a_blocked_request_shares():
    quarantine = Quarantine()
    crash_under(quarantine, (FIRST, "s1", REQUEST), first=0)
    crash_under(quarantine, (FIRST, "s2", OTHER), first=3, times=1)
    assert set(quarantine.blocked) == {REQUEST}


def test_many_requests_do_not_displace_what_is_known_of_parts():
    quarantine = Quarantine()
    quarantine.record_sound((FIRST,), 100.0)
    for number in range(10_000):
        quarantine.record_sound((request_trait(str(number)),), 100.0)
    for number in range(CRASHES_TO_BLOCK):
        quarantine.record_crash((f"u{number}", 1), [(FIRST,)], 101.0)
    assert not quarantine.blocked

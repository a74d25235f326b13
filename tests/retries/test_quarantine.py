"""Prompts that crash upstreams are told from those that are near when it happens."""

import pytest

from toucanspool.retries.quarantine import (
    BLOCK_S,
    CRASHES_TO_BLOCK,
    PROBATION_S,
    SOUND_WINDOW_S,
    PromptQuarantine,
)

FIRST, DEADLY = "first", "deadly"


def crashed(
    quarantine: PromptQuarantine, times: int, *, start: int = 0, gap_s: float = 10.0
) -> float:
    """Record crashes of distinct upstreams, each with a bystander; return the time."""
    at = 0.0
    for number in range(start, start + times):
        at = gap_s * number
        prompts = [(FIRST, f"s{number}", DEADLY), (FIRST, f"b{number}")]
        quarantine.record_crash((f"u{number}", 1), prompts, at)
    return at


def test_the_part_that_all_crashes_share_is_blocked_after_enough_of_them():
    quarantine = PromptQuarantine()
    at = crashed(quarantine, CRASHES_TO_BLOCK - 1)
    assert not quarantine.blocked
    quarantine.record_sound((FIRST,), at + 1.0)
    at = crashed(quarantine, 1, start=CRASHES_TO_BLOCK - 1)
    assert set(quarantine.blocked) == {DEADLY}
    assert quarantine.remaining_s((FIRST, "other", DEADLY), at) == BLOCK_S
    assert quarantine.remaining_s((FIRST, "s0"), at) == 0.0


def test_crashes_of_one_incarnation_count_once():
    quarantine = PromptQuarantine()
    for _ in range(CRASHES_TO_BLOCK):
        quarantine.record_crash(("u", 1), [(FIRST, DEADLY)], 0.0)
    assert not quarantine.blocked


@pytest.mark.parametrize("sound_s", [1.0 - SOUND_WINDOW_S, 1.0])
def test_a_part_that_is_sound_near_a_crash_has_not_caused_it(sound_s):
    quarantine = PromptQuarantine()
    for number in range(2 * CRASHES_TO_BLOCK):
        at = 20.0 * number
        quarantine.record_crash((f"u{number}", 1), [(FIRST,)], at)
        quarantine.record_sound((FIRST,), at + sound_s)
        quarantine.record_crash((f"u{number}", 1), [(FIRST,)], at)
    assert not quarantine.blocked


def test_without_other_evidence_the_rarest_part_is_blocked():
    quarantine = PromptQuarantine()
    for _ in range(50):
        quarantine.record_call((FIRST, "subject"))
    quarantine.record_call((FIRST, "subject", DEADLY))
    crashed(quarantine, CRASHES_TO_BLOCK)
    assert set(quarantine.blocked) == {DEADLY}


def test_crashes_that_a_blocked_part_explains_count_against_no_other():
    quarantine = PromptQuarantine()
    crashed(quarantine, 3 * CRASHES_TO_BLOCK)
    assert set(quarantine.blocked) == {DEADLY}


def test_a_sound_answer_ends_a_block():
    quarantine = PromptQuarantine()
    at = crashed(quarantine, CRASHES_TO_BLOCK)
    quarantine.record_sound((DEADLY,), at - SOUND_WINDOW_S)
    assert quarantine.blocked
    quarantine.record_sound((DEADLY,), at + 1.0)
    assert not quarantine.blocked


def test_a_part_whose_block_has_ended_is_blocked_again_at_its_next_crash():
    quarantine = PromptQuarantine()
    at = crashed(quarantine, CRASHES_TO_BLOCK) + BLOCK_S
    quarantine.expire(at)
    assert not quarantine.blocked
    quarantine.record_crash(("u9", 1), [(FIRST, DEADLY), (FIRST, "b9")], at + 1.0)
    assert set(quarantine.blocked) == {DEADLY}


def test_evidence_ends():
    quarantine = PromptQuarantine()
    at = crashed(quarantine, CRASHES_TO_BLOCK)
    quarantine.expire(at + BLOCK_S + PROBATION_S)
    quarantine.record_crash(("u9", 1), [(FIRST, DEADLY)], at + BLOCK_S + PROBATION_S)
    assert not quarantine.blocked


def test_a_block_of_other_entries_is_adopted_unless_the_part_is_sound_here():
    quarantine = PromptQuarantine()
    quarantine.record_sound((FIRST,), 10.0)
    assert quarantine.adopt(DEADLY, 11.0, 12.0)
    assert not quarantine.adopt(FIRST, 11.0, 12.0)
    assert not quarantine.adopt("old", 11.0, 11.0 + BLOCK_S)
    assert set(quarantine.blocked) == {DEADLY}

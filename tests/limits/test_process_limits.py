"""Bounds on clients that follow from a process's memory and descriptors."""

import resource

import pytest

from toucanspool.limits.process_limits import (
    BASE_BYTES,
    CONNECTION_BYTES,
    RESERVED_DESCRIPTORS,
    ProcessLimits,
)

MB = 10**6
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_REPLY_BYTES = 8 * 1024 * 1024


@pytest.mark.parametrize("memory_mb", [128, 160, 168, 200, 300, 552])
def test_the_bounds_fit_into_the_memory_with_a_copy_of_what_is_held(memory_mb):
    limits = ProcessLimits(memory_mb * MB, 4096)
    held = 2 * limits.held_bytes + limits.socket_bytes
    held += limits.connections * CONNECTION_BYTES
    assert BASE_BYTES + held <= memory_mb * MB


@pytest.mark.parametrize("memory_mb", [160, 200, 300, 552])
def test_a_request_and_a_reply_within_the_limits_can_be_held(memory_mb):
    limits = ProcessLimits(memory_mb * MB, 4096)
    assert 0.75 * limits.held_bytes >= MAX_BODY_BYTES
    assert 0.5 * limits.held_bytes >= MAX_REPLY_BYTES + 64 * 1024


@pytest.mark.parametrize("descriptors", [64, 128, 1124, 4100, 10_250])
def test_each_connection_can_have_one_to_an_upstream(descriptors):
    limits = ProcessLimits(10**12, descriptors)
    assert 2 * limits.connections + RESERVED_DESCRIPTORS <= descriptors
    assert limits.connections >= 1


def test_what_the_system_allows_is_the_default():
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert ProcessLimits.of(None, None).descriptors == soft
    assert ProcessLimits.of(None, 10 * soft).descriptors == soft
    assert ProcessLimits.of(None, None).memory_bytes > 500 * MB
    assert ProcessLimits.of(160, 100).memory_bytes == 160 * MB

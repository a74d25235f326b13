"""Settings of the C library's allocator."""

import ctypes

# Parameters of mallopt(3).
TRIM_THRESHOLD, MMAP_THRESHOLD = -1, -3
LARGE_BYTES = 128 * 1024


def return_large_blocks() -> None:
    """Let the allocator return large blocks to the system once they are freed.

    By default, glibc takes the first large block that is freed as a sign to keep all
    further ones, up to 32 MiB each, and then can't return them while a smaller block
    lies above. Other C libraries don't have this call, and nothing is set.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(MMAP_THRESHOLD, LARGE_BYTES)
        mallopt(TRIM_THRESHOLD, LARGE_BYTES)

"""Settings of the C library's heap."""

import ctypes

# Blocks of this many bytes or more are returned to the system as soon as they are freed; by
# default the bound grows with the first large block that is freed, up to 32 MB.
LARGE_BLOCK_BYTES = 64 << 10
# Free bytes at the end of the heap beyond which they are returned.
MAX_FREE_BYTES = 256 << 10
# Parameters of `mallopt` in the GNU C library.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3


def return_large_blocks() -> bool:
    """Have large blocks returned to the system once they are freed.

    Otherwise the memory of a process that buffered bodies of callers stays large, and grows
    with each time that it does so.

    Returns
    -------
    bool
        Whether the C library has such settings.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        return False
    large = mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    free = mallopt(_M_TRIM_THRESHOLD, MAX_FREE_BYTES)
    return bool(large and free)

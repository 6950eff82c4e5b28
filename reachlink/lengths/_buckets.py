"""Length buckets whose width grows with the length."""

from bisect import bisect_right

_STARTS = [0, 4, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256, 384, 512, 768, 1024]
_STARTS += [1536, 2048, 3072, 4096, 6144, 8192, 12288, 16384, 24576, 32768, 49152, 65536]

BUCKET_COUNT = len(_STARTS)


def bucket_of(length: int) -> int:
    """Return the index of the bucket that contains a length in tokens."""
    return bisect_right(_STARTS, length) - 1


def bucket_start(bucket: int) -> int:
    """Return the shortest length in a bucket, in tokens."""
    return _STARTS[min(bucket, BUCKET_COUNT - 1)]


def bucket_width(bucket: int) -> int:
    """Return the width of a bucket in tokens; the width of the last one equals its start."""
    if bucket + 1 < BUCKET_COUNT:
        return _STARTS[bucket + 1] - _STARTS[bucket]
    return _STARTS[-1]

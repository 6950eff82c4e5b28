"""Tracks which prompt blocks a replica's prefix cache may hold, from late and lossy events."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

MAX_BLOCKS = 8192
# Prompt tokens per block of the prefix cache.
BLOCK_TOKENS = 16


class CacheIndex:
    """Approximate content of one replica's prefix cache.

    Parameters
    ----------
    max_blocks : int
        Maximum number of blocks remembered; the least recently stored are dropped first.

    Attributes
    ----------
    sequence : int
        Sequence number of the last event that was applied; maintained by the caller.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.sequence = 0

    def stored(self, blocks: Iterable[int]) -> None:
        """Record blocks that entered the cache, or will once a placed request has run."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def evicted(self, block: int) -> None:
        """Record that a block was evicted from the cache."""
        self._blocks.pop(block, None)

    def cached_tokens(self, blocks: Sequence[int]) -> int:
        """Return the length in tokens of the prompt prefix that may be cached."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hits += 1
        return hits * BLOCK_TOKENS

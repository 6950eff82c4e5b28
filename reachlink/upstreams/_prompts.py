"""Sizes and block hashes of prompts, computed once per request."""

import hashlib
from dataclasses import dataclass

BLOCK_TOKENS = 16
CHARACTERS_PER_TOKEN = 4
MAX_BLOCKS = 64


@dataclass(slots=True, frozen=True)
class PromptDigest:
    """Properties of a prompt that placement uses.

    Attributes
    ----------
    tokens : int
        Estimated size in tokens.
    blocks : tuple of int
        Chained hashes of the complete blocks from the start, at most `MAX_BLOCKS`.
    """

    tokens: int
    blocks: tuple[int, ...]


def digest_prompt(text: str) -> PromptDigest:
    """Return the digest of a prompt.

    Parameters
    ----------
    text : str
        Prompt as the engine receives it.

    Returns
    -------
    PromptDigest
        Size and block hashes.

    Examples
    --------
    >>> digest_prompt("a" * 64).tokens
    16
    """
    size = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    last = min(len(text) - size + 1, size * MAX_BLOCKS)
    blocks: list[int] = []
    chain = b""
    for start in range(0, last, size):
        block = text[start : start + size].encode()
        chain = hashlib.blake2b(chain + block, digest_size=6).digest()
        blocks.append(int.from_bytes(chain, "big"))
    tokens = max(1, -(-len(text) // CHARACTERS_PER_TOKEN))
    return PromptDigest(tokens, tuple(blocks))

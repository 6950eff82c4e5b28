"""Parts of a prompt that other prompts may share."""

from collections.abc import Sequence

from reachlink.entry._chat_models import GenerationBody

# Numbers of prompt blocks from the start whose hashes stand for the beginning of a prompt.
_PREFIX_BLOCKS = (1, 2, 4, 8, 16, 32, 64)


def prompt_parts(body: GenerationBody, blocks: Sequence[int]) -> list[str]:
    """Return texts that identify the parts of a prompt.

    These are its messages, and its beginning at several lengths: prompts may share the
    beginning of one message.

    Parameters
    ----------
    body : GenerationBody
        Body of the request.
    blocks : sequence of int
        Chained hashes of the blocks of the prompt from its start.
    """
    beginnings = [f"blocks {blocks[n - 1]:x}" for n in _PREFIX_BLOCKS if n <= len(blocks)]
    messages = [f"{message.role}: {message.text()}" for message in body.messages]
    return beginnings + messages

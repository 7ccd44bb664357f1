"""Splits prompts into the blocks that identify prefix cache entries."""

import hashlib

BLOCK_CHARS = 512
BLOCK_TOKENS = 128
"""Estimated tokens of one block."""
MAX_BLOCKS = 32
"""Leading blocks that routing considers; later ones are ignored."""
DIGEST_BYTES = 8


def prompt_blocks(prompt: str) -> tuple[str, ...]:
    """Returns the digest of the prompt's prefix up to the end of each block.

    An incomplete last block is left out. Two prompts have as many leading
    digests in common as they have leading blocks in common. The prompt of a
    chat is its messages as `role: content`, one per line.
    """
    whole = min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    blocks = []
    for number in range(whole):
        start = number * BLOCK_CHARS
        text = prompt[start : start + BLOCK_CHARS]
        digest.update(text.encode("utf-8", "surrogatepass"))
        blocks.append(digest.copy().hexdigest())
    return tuple(blocks)

"""Blocks of prompts, by which engines' prefix caches are known."""

import hashlib

BLOCK_CHARS = 512
BLOCK_TOKENS = 128
"""Estimate of the tokens of one block."""
MAX_BLOCKS = 32
"""Blocks that are told apart; what is beyond has no part in routing."""
DIGEST_BYTES = 8


def prompt_blocks(prompt: str) -> tuple[str, ...]:
    """Returns the digest of a prompt up to the end of each whole block.

    Two prompts share as many digests as they share whole blocks from their
    beginning. A chat's prompt is its messages as `role: content`, one a line.
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

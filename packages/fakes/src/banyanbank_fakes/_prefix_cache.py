"""Prefix cache of a stand-in engine, and the events that it publishes."""

import collections
import hashlib
import typing

import attrs

BLOCK_CHARS = 512
BLOCK_TOKENS = 128


@attrs.define
class PrefixCache:
    """Holds blocks of prompts; the one used longest ago goes first."""

    capacity: int = 1_024
    """Blocks that fit."""
    sequence: int = 0
    """Number of the next event."""
    pending: list[dict[str, typing.Any]] = attrs.field(factory=list)
    """Events that have not been published."""
    _blocks: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def use(self, text: str) -> int:
        """Runs a prompt through the cache; returns the tokens found in it."""
        blocks = blocks_of(text)
        found = 0
        while found < len(blocks) and blocks[found] in self._blocks:
            found += 1
        for block in reversed(blocks):
            if block not in self._blocks:
                self._note(block, stored=True)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity:
            self._note(self._blocks.popitem(last=False)[0], stored=False)
        return found * BLOCK_TOKENS

    def take_batch(self) -> dict[str, typing.Any]:
        """Returns the events since the last call, numbered."""
        events, self.pending = self.pending, []
        return {
            "first_sequence": self.sequence - len(events),
            "events": events,
        }

    def _note(self, block: str, stored: bool) -> None:
        self.pending.append({"block": block, "stored": stored})
        self.sequence += 1


def blocks_of(text: str) -> list[str]:
    """Returns the digest of a text up to the end of each whole block."""
    ends = range(BLOCK_CHARS, len(text) + 1, BLOCK_CHARS)
    return [
        hashlib.blake2b(text[:end].encode(), digest_size=8).hexdigest()
        for end in ends
    ]

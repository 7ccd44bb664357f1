"""Sample slots, version stretches and sample bodies."""

import hashlib

import attrs
import banyanbank_base as base


@attrs.frozen(order=True)
class SampleSlot:
    """Names one sample that a trainer waits for."""

    trainer: base.TrainerId
    """Trainer that asked for the sample."""
    step: int
    """Training step, counted by the trainer."""
    group: int
    """Group of samples of one prompt, from 0 within the step."""
    index: int
    """Place within the group, from 0."""

    def __str__(self) -> str:
        return f"{self.trainer}/{self.step}/{self.group}/{self.index}"


@attrs.frozen
class VersionStretch:
    """Consecutive tokens that one weight version produced."""

    version: base.WeightVersion
    """Version that the engine reported for these tokens."""
    token_count: int
    """How many tokens; positive."""


@attrs.frozen
class SampleBody:
    """Content of a sample: inline bytes, or a reference into body stores."""

    digest: bytes
    """SHA-256 of the content."""
    size: int
    """Length of the content in bytes."""
    data: bytes | None = None
    """The content; None when a quorum of body stores holds it synced."""

    @classmethod
    def inline(cls, data: bytes) -> "SampleBody":
        """Returns a body that travels and lives in the replicated log."""
        return cls(hashlib.sha256(data).digest(), len(data), data)

    @classmethod
    def stored(cls, data: bytes) -> "SampleBody":
        """Returns a reference to content that body stores hold synced."""
        return cls(hashlib.sha256(data).digest(), len(data))


def oldest_version(
    stretches: tuple[VersionStretch, ...],
) -> base.WeightVersion:
    """Returns the oldest version that produced any token.

    Raises:
        ValueError: There is no stretch.
    """
    return min(stretch.version for stretch in stretches)


def is_full_report(
    stretches: tuple[VersionStretch, ...], token_count: int
) -> bool:
    """Tells whether the stretches cover exactly the tokens of a sample."""
    if not stretches:
        return False
    if any(stretch.token_count <= 0 for stretch in stretches):
        return False
    return sum(stretch.token_count for stretch in stretches) == token_count

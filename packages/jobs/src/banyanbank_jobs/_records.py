"""Batch jobs, their items and results."""

import enum

import attrs
import banyanbank_base as base


class ItemOutcome(enum.Enum):
    """Outcome of an item."""

    COMPLETED = "completed"
    """Its text is complete."""
    DEAD = "dead"
    """It was abandoned."""


@attrs.frozen
class ScorerCall:
    """Request to a scorer that grades the text of an item."""

    request_id: str
    """Id of the request."""
    host: str
    """Host of its route."""
    path: str
    """Path and query."""
    body: bytes
    """Body to send."""


@attrs.frozen
class JobItem:
    """One request of a batch job."""

    item: str
    """Id of the item and of its request."""
    path: str
    """Path and query of the request to the engine."""
    headers: tuple[tuple[str, str], ...]
    """Headers of the request to the engine."""
    body: bytes
    """Body of the request to the engine."""
    tokens: int
    """Prompt tokens plus the maximum number of output tokens."""
    group: str = ""
    """Group of samples with the same prompt; empty if there is none."""
    scorer: ScorerCall | None = None
    """Request that grades the text; None if the text is not graded."""
    prefix: str = ""
    """Identifies the prompt prefix that the group shares."""
    length_hint: int = 0
    """Output tokens that the client expects; 0 for no hint."""


@attrs.frozen
class Job:
    """A batch job as it was accepted."""

    job: str
    """Id of the job."""
    account: base.AccountId
    """Client account that submitted it; empty if requests need no key."""
    host: str
    """Host that it was submitted to."""
    route: str
    """Path prefix of its route."""
    items: tuple[JobItem, ...]
    """Items to run."""
    accepted_at: float
    """Unix time of its first submission."""
    due_at: float
    """Unix time at which all results are due."""
    give_up_at: float
    """Unix time from which items may be abandoned."""
    max_attempts: int
    """Number of failed runs after which an item is abandoned."""
    step: int | None = None
    """Training step; None for a job without a trainer."""
    model: str = ""
    """Model that is trained; empty for a job without a trainer."""
    least_version: int = 0
    """Minimum weight version that may generate a text."""
    wanted_groups: int = 0
    """Complete groups after which the trainer ends the job; 0 for all."""
    is_single_version: bool = False
    """Whether one weight version must generate an entire text."""
    priority: int = 0
    """Priority of its account, or else of its route, when it was accepted; 0 is
    the most urgent."""


@attrs.frozen
class TextPart:
    """Events of an item that were generated since the previous part."""

    item: str
    """Id of the item."""
    first_event: int
    """Id of the first event of the entire text."""
    begins_at: int
    """Number of events of the text before this part."""
    pieces: tuple[str, ...]
    """Data of the events."""
    versions: tuple[int, ...]
    """Weight versions that generated the text up to the end of this part."""


DEFAULT_OUTPUT_TOKENS = 500
"""Expected number of output tokens of an item without a length hint."""


def expected_tokens(job: Job) -> int:
    """Returns the expected number of output tokens of a job."""
    return sum(item.length_hint or DEFAULT_OUTPUT_TOKENS for item in job.items)


@attrs.frozen
class ItemResult:
    """Result of an item."""

    item: str
    """Id of the item."""
    outcome: ItemOutcome
    """Outcome of the item."""
    text: str
    """Data of all events in order, separated by line feeds."""
    versions: tuple[int, ...]
    """Weight versions that generated at least one event of the text."""
    score: str
    """Signature of the scorer's response; empty without one."""

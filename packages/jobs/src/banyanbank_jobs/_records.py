"""Batch jobs, their items and results."""

import enum

import attrs
import banyanbank_base as base


class ItemOutcome(enum.Enum):
    """How an item ended."""

    COMPLETED = "completed"
    """Its whole text is there."""
    DEAD = "dead"
    """It was given up."""


@attrs.frozen
class ScorerCall:
    """Request that grades the text of an item."""

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
    """Id of the item, which is the id of its request too."""
    path: str
    """Path and query at the engine."""
    headers: tuple[tuple[str, str], ...]
    """Headers for the engine."""
    body: bytes
    """Body for the engine."""
    tokens: int
    """Prompt tokens and the most output tokens."""
    group: str = ""
    """Group of samples with one prompt; empty when there is none."""
    scorer: ScorerCall | None = None
    """Grades the text; None when nothing does."""
    prefix: str = ""
    """Names the beginning of the prompt that its group shares."""
    length_hint: int = 0
    """Output tokens that the client expects; 0 when it said nothing."""


@attrs.frozen
class Job:
    """A batch job as it was accepted."""

    job: str
    """Id of the job."""
    account: base.AccountId
    """Client account that submitted it; empty where no keys are asked for."""
    host: str
    """Host that it was submitted to."""
    route: str
    """Path prefix of its route."""
    items: tuple[JobItem, ...]
    """What to run."""
    accepted_at: float
    """Unix time at which it was first submitted."""
    due_at: float
    """Unix time at which all results are due."""
    give_up_at: float
    """Unix time from which an item may be given up."""
    max_attempts: int
    """Failed runs after which an item is given up."""
    step: int | None = None
    """Step of a trainer; None for a job without one."""
    model: str = ""
    """Model that the trainer trains; empty for a job without a trainer."""
    least_version: int = 0
    """Oldest weight version that may generate a text."""
    wanted_groups: int = 0
    """Complete groups after which the trainer ends the job; 0: all."""
    is_single_version: bool = False
    """Whether one version must generate a whole text."""
    priority: int = 0
    """Rank of its route; 0 is the most urgent."""


@attrs.frozen
class TextPart:
    """Events of an item that have been generated since the part before."""

    item: str
    """Id of the item."""
    first_event: int
    """Id of the first event of the item's whole text."""
    begins_at: int
    """Number of events that stand before this part."""
    pieces: tuple[str, ...]
    """Data of the events."""
    versions: tuple[int, ...]
    """Weight versions that generated the text up to here."""


TOKENS_WITHOUT_HINT = 500
"""Output tokens that an item is expected to need when nothing is said."""


def expected_tokens(job: Job) -> int:
    """Returns the output tokens that a job is expected to need."""
    return sum(item.length_hint or TOKENS_WITHOUT_HINT for item in job.items)


@attrs.frozen
class ItemResult:
    """A result at its position."""

    item: str
    """Id of the item."""
    outcome: ItemOutcome
    """How it ended."""
    text: str
    """Data of all events in order, separated by line feeds."""
    versions: tuple[int, ...]
    """Weight versions that generated an event of the text."""
    score: str
    """Signature of the scorer's answer; empty without one."""

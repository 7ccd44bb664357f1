"""Settings of a queue and what it tells about itself."""

import enum

import attrs
import banyanbank_base as base

from banyanbank_dispatch import _work


@attrs.frozen
class QueueSettings:
    """Bounds of one queue."""

    slots: int
    """Requests that may run at the endpoint at once."""
    interactive_reserve: int = 0
    """Slots that rollout work never takes."""
    max_waiting: int = 4096
    """Requests that may wait."""
    rollout_share: float = 0.2
    """Least share of dispatched tokens for rollout work while it waits."""
    tail_share: float = 0.8
    """Largest share of rollout tokens that tails may take from the rest."""
    initial_tokens_per_s: float = 1000.0
    """Assumed service rate before any request has finished."""


class CancelOutcome(enum.Enum):
    """What a cancellation found."""

    DROPPED = "dropped"
    """It waited and is gone; it has not run."""
    RUNNING = "running"
    """It runs; the caller of `cancel` has to stop it and call `finish`."""
    UNKNOWN = "unknown"
    """It is not here."""


@attrs.frozen
class Withdrawal:
    """Work of a withdrawn key."""

    dropped: tuple[_work.Work, ...]
    """Waited and is gone; it has not run."""
    running: tuple[_work.Work, ...]
    """Runs; the caller has to stop it and call `finish` for each."""


@attrs.frozen
class QueueStatus:
    """What other instances may know about the queue."""

    endpoint_id: base.EndpointId
    """Whose queue."""
    waiting: int
    """Requests that wait."""
    running: int
    """Requests that run."""
    waiting_tokens: float
    """Estimated tokens that wait."""
    running_tokens: float
    """Estimated tokens of what runs, counted whole until it finishes."""
    slots: int
    """Requests that may run at once."""
    tokens_per_s: float
    """Smoothed service rate."""
    retired: bool
    """Whether the endpoint has left."""
    token_s: float = 0.0
    """Smoothed seconds between tokens of one stream; 0 before any ended."""

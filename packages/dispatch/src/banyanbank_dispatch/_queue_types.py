"""Settings, status and results of endpoint queues."""

import enum

import attrs
import banyanbank_base as base

from banyanbank_dispatch import _work


@attrs.frozen
class QueueSettings:
    """Slots, limits and class shares of one queue."""

    slots: int
    """Requests that may run concurrently at the endpoint."""
    reserved_interactive_slots: int = 0
    """Slots reserved for interactive work."""
    max_waiting: int = 4096
    """Maximum number of waiting requests."""
    min_rollout_share: float = 0.2
    """Minimum share of dispatched tokens for rollout work while it waits."""
    max_tail_share: float = 0.8
    """Maximum share of rollout tokens for tail work while the rest waits."""
    initial_tokens_per_s: float = 1000.0
    """Service rate assumed before the first measurement."""


class CancelOutcome(enum.Enum):
    """State in which a cancellation found the work."""

    DROPPED = "dropped"
    """It was waiting and has been removed; it has not run."""
    RUNNING = "running"
    """It is running; the caller must stop it and call `finish`."""
    UNKNOWN = "unknown"
    """It is neither waiting nor running in this queue."""


@attrs.frozen
class Withdrawal:
    """Work that was waiting or running when its key was withdrawn."""

    dropped: tuple[_work.Work, ...]
    """Waiting work that has been removed; it has not run."""
    running: tuple[_work.Work, ...]
    """Running work; the caller must stop each and call `finish` for it."""


@attrs.frozen
class QueueStatus:
    """Load of a queue as reported to other instances."""

    endpoint_id: base.EndpointId
    """Endpoint that the queue serves."""
    waiting: int
    """Number of waiting requests."""
    running: int
    """Number of running requests."""
    waiting_tokens: float
    """Estimated cost of the waiting requests, in tokens."""
    running_tokens: float
    """Estimated cost of the running requests, in tokens; a request counts with
    its full estimate until it finishes."""
    slots: int
    """Requests that may run concurrently."""
    tokens_per_s: float
    """Smoothed service rate."""
    retired: bool
    """Whether the queue has been closed by `EngineQueue.retire`."""
    token_s: float = 0.0
    """Smoothed seconds between tokens of a stream; 0 before the first sample.
    """

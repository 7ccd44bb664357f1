"""Commands and replies about declarations and keys."""

import attrs
import banyanbank_base as base

from banyanbank_control import declarations


@attrs.frozen
class ApplyDeclarations:
    """Replaces all declarations if the expected revision is in force."""

    request_id: base.RequestId
    """Id of the operator's request; a retry gets the first reply."""
    operator: str
    """Operator to name in the history and in conflicts."""
    expected_revision: int
    """Revision that the operator's declarations are based on."""
    declared: declarations.Declarations
    """The complete set; if it has no keys, the keys in force stay."""


@attrs.frozen
class ApplyChanges:
    """Applies the changed items if the expected revision is in force.

    The leader derives it from `ApplyDeclarations`, see `derive_changes`; its
    size depends on the change, not on the size of the complete set.
    """

    request_id: base.RequestId
    """Id of the operator's request; a retry gets the first reply."""
    operator: str
    """Operator to name in the history and in conflicts."""
    expected_revision: int
    """Revision that the changes were computed against."""
    digest: bytes
    """Digest of the operator's command; detects a reused request id."""
    puts: declarations.Declarations
    """Items to add or replace."""
    removed: tuple[declarations.ItemRef, ...]
    """Items to remove."""


@attrs.frozen
class CreateKey:
    """Adds one key."""

    request_id: base.RequestId
    """Id of the operator's request; a retry gets the first reply."""
    operator: str
    """Operator who makes the request."""
    key: declarations.Key
    """Key to add, with the hash of its secret."""


@attrs.frozen
class WithdrawKey:
    """Withdraws one key permanently."""

    request_id: base.RequestId
    """Id of the operator's request; a retry gets the first reply."""
    operator: str
    """Operator who makes the request."""
    key_id: base.KeyId
    """Key to withdraw."""


@attrs.frozen
class ConfigAccepted:
    """The requested configuration is in force."""

    revision: int
    """Revision in force after the request."""
    changes: int
    """Number of changed items; 0 if nothing had to change."""


@attrs.frozen
class RevisionConflict:
    """The expected revision is not the one in force."""

    expected_revision: int
    """Revision that the request expected."""
    revision: int
    """Revision in force."""
    winner_revision: int
    """Revision of the change that took precedence; the newest if the history
    no longer holds that change."""
    winner_operator: str
    """Operator of that change; empty if the history has no change."""
    winner_request_id: str
    """Request id of that change; empty if the history has no change."""
    detail: str
    """One sentence for the operator: what conflicts and what to do."""

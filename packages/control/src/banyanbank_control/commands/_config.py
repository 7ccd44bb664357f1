"""Commands and replies about declarations and keys."""

import attrs
import banyanbank_base as base

from banyanbank_control import declarations


@attrs.frozen
class ApplyDeclarations:
    """Puts a whole set of declarations in force, if the revision fits."""

    request_id: base.RequestId
    """The operator's request; a resend gets the first reply."""
    operator: str
    """Who asks, for the history and for conflicts."""
    expected_revision: int
    """Revision that the operator has seen."""
    declared: declarations.Declarations
    """The whole set; without keys, the keys in force stay."""


@attrs.frozen
class ApplyChanges:
    """The same as a compare-and-set of what changes, however large the set.

    The leader makes it of `ApplyDeclarations`, see `compact`.
    """

    request_id: base.RequestId
    """The operator's request; a resend gets the first reply."""
    operator: str
    """Who asks, for the history and for conflicts."""
    expected_revision: int
    """Revision that the changes were worked out against."""
    digest: bytes
    """Digest of what the operator sent; tells another request apart."""
    puts: declarations.Declarations
    """Items to add or replace."""
    removed: tuple[declarations.ItemRef, ...]
    """Items to remove."""


@attrs.frozen
class CreateKey:
    """Adds one key."""

    request_id: base.RequestId
    """The operator's request; a resend gets the first reply."""
    operator: str
    """Who asks."""
    key: declarations.Key
    """The key with the hash of its secret."""


@attrs.frozen
class WithdrawKey:
    """Withdraws one key for ever."""

    request_id: base.RequestId
    """The operator's request; a resend gets the first reply."""
    operator: str
    """Who asks."""
    key_id: base.KeyId
    """The key."""


@attrs.frozen
class ConfigAccepted:
    """The change is in force as of a revision."""

    revision: int
    """Revision in force after the request."""
    changes: int
    """How many items changed; 0 when all was in force already."""


@attrs.frozen
class RevisionConflict:
    """Another change came first under the same number."""

    expected_revision: int
    """Revision that the request was made for."""
    revision: int
    """Revision in force."""
    winner_revision: int
    """Revision of the change that came first; the newest if forgotten."""
    winner_operator: str
    """Operator of that change; empty when none was ever made."""
    winner_request_id: str
    """Request of that change; empty when none was ever made."""
    detail: str
    """One sentence for people."""
